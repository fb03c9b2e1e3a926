//! A simulated disk with the faults that a real one rarely shows. The power may fail at every step:
//! a write, a sync, a rename or a sync of names. Of the changes that were not synced, any part
//! survives, sector by sector and name by name.
//!
//! Deterministic: the same seed and the same calls give the same faults.

mod file_content;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use oorandom::Rand64;

use crate::disk::Disk;

use file_content::{FileContent, SECTOR_BYTES};

/// With random faults, one step in this many fails: often enough for every kind of fault to occur,
/// rarely enough for some saves to succeed.
const STEPS_PER_FAULT: u64 = 12;
/// Kinds of faults of a write.
const WRITE_FAULT_KINDS: u64 = 3;
/// Most bytes of one write, so that a file takes many steps.
const MAX_WRITE_BYTES: usize = 3 * SECTOR_BYTES;
/// Makes the random numbers that decide what survives a power loss differ from those that decide on
/// faults after it.
const SURVIVAL_SEED_MASK: u128 = 0x5eed;

/// A fault planted on purpose, to show that the tests can fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No planted fault.
    #[default]
    None,
    /// Syncs of files do nothing.
    SkippedFileSync,
    /// Syncs of names do nothing.
    SkippedDirectorySync,
    /// The first power loss also flips one durable bit: the one fault that only a checksum detects.
    BitRot,
}

/// The faults of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Whether single steps fail at random without a power loss.
    pub random_faults: bool,
    /// The fault that is planted on purpose.
    pub injected_fault: InjectedFault,
    /// The step at which the power fails, counted from 1; `None` for never.
    pub power_loss_at: Option<u64>,
}

/// Position of a file in the list of all files that were ever created.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileIndex(usize);

/// A change of names that is not durable yet.
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

/// A disk with one directory.
#[derive(Clone)]
pub struct SimulatedDisk {
    files: Vec<FileContent>,
    /// Names as a reader sees them.
    names: BTreeMap<String, FileIndex>,
    /// Names that survive any power loss.
    durable_names: BTreeMap<String, FileIndex>,
    /// Changes since the last sync of names, in order.
    name_changes: Vec<NameChange>,
    rng: Rand64,
    faults: FaultPlan,
    /// Number of steps since the power is on.
    steps: u64,
    power_lost: bool,
}

fn power_loss() -> io::Error {
    io::Error::other("power lost")
}

impl SimulatedDisk {
    /// An empty disk.
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

    /// Whether the power has failed; after that, every call fails.
    pub fn power_lost(&self) -> bool {
        self.power_lost
    }

    /// The disk after the power is on again. The next power loss is at step `power_loss_at`.
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
            // Two generations tolerate one flipped bit, not one in each of them.
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

    /// Flips one durable bit of one file that still has a name, if there is any.
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

    /// Begins one step. If the step is to fail, returns a random number that selects the kind of
    /// fault.
    ///
    /// The step at which the power fails may still be carried out, but its caller gets an error.
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

/// A write that fails, is interrupted, or writes a part of the bytes. Returns the number of bytes
/// that it writes.
fn faulty_write(drawn: u64, requested: usize) -> io::Result<usize> {
    match drawn % WRITE_FAULT_KINDS {
        0 => Err(ErrorKind::StorageFull.into()),
        1 => Err(ErrorKind::Interrupted.into()),
        _ => Ok(1 + (drawn / WRITE_FAULT_KINDS) as usize % requested),
    }
}

/// True in one of two cases.
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
