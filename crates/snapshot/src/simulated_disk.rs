//! An in-memory [`Disk`] with injected faults that are rare on a real one. The power may fail at
//! every step, that is in every call that changes the disk. After a power loss, a random subset of
//! the changes that were not synced survives: each sector and each change of a name on its own.
//!
//! Deterministic: the same seed and the same calls give the same faults.

mod file_content;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use oorandom::Rand64;

use crate::disk::Disk;

use file_content::{FileContent, SECTOR_BYTES};

/// With random faults, one in this many steps fails on average: often enough that every kind of
/// fault occurs, and rarely enough that some saves succeed.
const STEPS_PER_FAULT: u64 = 12;
/// Number of kinds of write faults.
const WRITE_FAULT_KINDS: u64 = 3;
/// Maximum number of bytes per write, so that writing a large file takes many steps.
const MAX_WRITE_BYTES: usize = 3 * SECTOR_BYTES;
/// Separates the random numbers that select what survives a power loss from those that select the
/// faults after it, which have the same seed.
const SURVIVAL_SEED_MASK: u128 = 0x5eed;

/// A fault that is injected to verify that the crash tests detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No injected fault.
    #[default]
    None,
    /// File syncs have no effect.
    SkippedFileSync,
    /// Directory syncs have no effect.
    SkippedDirectorySync,
    /// The first power loss also flips one durable bit, which only a checksum can detect.
    BitRot,
}

/// The faults that a disk simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Whether steps fail at random without a power loss.
    pub random_faults: bool,
    /// The fault that the crash tests have to detect.
    pub injected_fault: InjectedFault,
    /// The step at which the power fails, counted from 1; `None` if it never fails.
    pub power_loss_at: Option<u64>,
}

/// Index of a file in the list of all files ever created.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileIndex(usize);

/// A change to the directory's names that is not durable yet.
#[derive(Clone)]
enum NameChange {
    Created {
        name: String,
        file: FileIndex,
    },
    Renamed {
        from: String,
        to: String,
        file: FileIndex,
    },
    Removed {
        name: String,
    },
}

/// A simulated disk with one directory.
#[derive(Clone)]
pub struct SimulatedDisk {
    files: Vec<FileContent>,
    /// Names that are visible to a reader.
    names: BTreeMap<String, FileIndex>,
    /// Names that survive any power loss.
    durable_names: BTreeMap<String, FileIndex>,
    /// Changes since the last directory sync, in order.
    name_changes: Vec<NameChange>,
    rng: Rand64,
    faults: FaultPlan,
    /// Number of steps since the power was last switched on.
    steps: u64,
    power_lost: bool,
}

fn power_loss() -> io::Error {
    io::Error::other("power lost")
}

impl SimulatedDisk {
    /// Creates an empty disk.
    pub fn new(seed: u64, faults: FaultPlan) -> SimulatedDisk {
        SimulatedDisk {
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            name_changes: Vec::new(),
            rng: Rand64::new(u128::from(seed)),
            faults,
            steps: 0,
            power_lost: false,
        }
    }

    /// Returns whether the power has failed. After a power loss, every call fails.
    pub fn power_lost(&self) -> bool {
        self.power_lost
    }

    /// Returns the disk after power is restored. The seed selects which unsynced changes survive
    /// and which faults follow; the next power loss is at step `power_loss_at`.
    pub fn after_power_loss(mut self, seed: u64, power_loss_at: Option<u64>) -> SimulatedDisk {
        let mut rng = Rand64::new(u128::from(seed) ^ SURVIVAL_SEED_MASK);
        for change in std::mem::take(&mut self.name_changes) {
            if random_bool(&mut rng) {
                self.make_durable(change);
            }
        }
        for file in &mut self.files {
            *file = file.after_power_loss(|| random_bool(&mut rng));
        }
        if self.faults.injected_fault == InjectedFault::BitRot {
            self.flip_random_bit(&mut rng);
            // Two generations tolerate a flipped bit in one of them, but not in both.
            self.faults.injected_fault = InjectedFault::None;
        }
        self.faults.power_loss_at = power_loss_at;
        SimulatedDisk {
            names: self.durable_names.clone(),
            rng: Rand64::new(u128::from(seed)),
            steps: 0,
            power_lost: false,
            ..self
        }
    }

    fn make_durable(&mut self, change: NameChange) {
        match change {
            NameChange::Created { name, file } => {
                self.durable_names.insert(name, file);
            }
            NameChange::Renamed { from, to, file } => {
                if self.durable_names.get(&from) == Some(&file) {
                    self.durable_names.remove(&from);
                }
                self.durable_names.insert(to, file);
            }
            NameChange::Removed { name } => {
                self.durable_names.remove(&name);
            }
        }
    }

    /// Flips one durable bit in one of the files that still have a name, if there are any.
    fn flip_random_bit(&mut self, rng: &mut Rand64) {
        let named_files: Vec<FileIndex> = self.durable_names.values().copied().collect();
        if named_files.is_empty() {
            return;
        }
        let drawn = named_files[rng.rand_u64() as usize % named_files.len()];
        let file = &mut self.files[drawn.0];
        let bits = file.durable_bits();
        if bits > 0 {
            file.flip_bit(rng.rand_u64() as usize % bits);
        }
    }

    /// Begins a step. If the step has to fail, returns a random number that selects the kind of
    /// fault.
    ///
    /// The step at which the power fails may still take effect, but its caller gets an error.
    fn begin_step(&mut self) -> io::Result<Option<u64>> {
        self.check_power()?;
        self.steps += 1;
        let drawn_fault = self.draw_fault();
        if self.faults.power_loss_at != Some(self.steps) {
            return Ok(drawn_fault);
        }
        self.power_lost = true;
        if random_bool(&mut self.rng) {
            Ok(None)
        } else {
            Err(power_loss())
        }
    }

    fn draw_fault(&mut self) -> Option<u64> {
        if !self.faults.random_faults {
            return None;
        }
        let drawn = self.rng.rand_u64();
        drawn
            .is_multiple_of(STEPS_PER_FAULT)
            .then_some(drawn / STEPS_PER_FAULT)
    }

    fn check_power(&self) -> io::Result<()> {
        if self.power_lost {
            Err(power_loss())
        } else {
            Ok(())
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut FileContent> {
        let file = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[file.0])
    }
}

/// Simulates a write that fails, is interrupted, or writes only some of the bytes. Returns the
/// number of bytes written.
fn faulty_write(drawn: u64, requested: usize) -> io::Result<usize> {
    match drawn % WRITE_FAULT_KINDS {
        0 => Err(ErrorKind::StorageFull.into()),
        1 => Err(ErrorKind::Interrupted.into()),
        _ => Ok(1 + (drawn / WRITE_FAULT_KINDS) as usize % requested),
    }
}

/// Returns `true` with a probability of one half.
fn random_bool(rng: &mut Rand64) -> bool {
    rng.rand_u64().is_multiple_of(2)
}

impl Disk for SimulatedDisk {
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        self.check_power()?;
        let visible = self.file(name)?.visible();
        Ok(visible[..visible.len().min(max_bytes + 1)].to_vec())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.begin_step()?.is_some() {
            return Err(ErrorKind::StorageFull.into());
        }
        self.files.push(FileContent::default());
        let file = FileIndex(self.files.len() - 1);
        let name = name.to_owned();
        self.names.insert(name.clone(), file);
        self.name_changes.push(NameChange::Created { name, file });
        self.check_power()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        let requested = bytes.len().min(MAX_WRITE_BYTES);
        let length = match self.begin_step()? {
            None => requested,
            Some(drawn) => faulty_write(drawn, requested)?,
        };
        self.file(name)?.append(&bytes[..length]);
        self.check_power()?;
        Ok(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let fails = self.begin_step()?.is_some();
        let is_skipped =
            self.faults.injected_fault == InjectedFault::SkippedFileSync || self.power_lost;
        let file = self.file(name)?;
        if fails {
            file.drop_dirty();
            return Err(io::Error::other("input/output error"));
        }
        if !is_skipped {
            file.sync();
        }
        self.check_power()
    }

    fn close(&mut self, _name: &str) {}

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.begin_step()?.is_some() {
            return Err(ErrorKind::PermissionDenied.into());
        }
        let file = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
        self.names.insert(to.into(), file);
        self.name_changes.push(NameChange::Renamed {
            from: from.into(),
            to: to.into(),
            file,
        });
        self.check_power()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.begin_step()?.is_some() {
            return Err(ErrorKind::PermissionDenied.into());
        }
        self.names.remove(name).ok_or(ErrorKind::NotFound)?;
        self.name_changes
            .push(NameChange::Removed { name: name.into() });
        self.check_power()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if self.begin_step()?.is_some() {
            return Err(io::Error::other("input/output error"));
        }
        if self.faults.injected_fault != InjectedFault::SkippedDirectorySync && !self.power_lost {
            self.durable_names = self.names.clone();
            self.name_changes.clear();
        }
        self.check_power()
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        self.check_power()?;
        Ok(self.names.keys().cloned().collect())
    }
}
