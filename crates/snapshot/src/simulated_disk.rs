//! A simulated disk with the faults that a real one shows once a year. Every write, sync, rename and sync of names is a step at
//! which the power may fail; of what was not synced any part survives, sector by sector and name by name.
//!
//! Deterministic: the same seed and the same calls give the same faults.

mod file_content;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use oorandom::Rand64;

use crate::disk::Disk;

use file_content::{FileContent, SECTOR_BYTES};

/// With random faults on, one step in so many fails: often enough for every kind of fault to come up, rarely enough
/// for some saves to succeed.
const STEPS_PER_FAULT: u64 = 12;
/// The disk takes so many bytes at a time, so that a file is many steps.
const MAX_WRITE_BYTES: usize = 3 * SECTOR_BYTES;
/// Separates the random numbers for what survives a power loss from those for faults after it.
const SURVIVAL_SEED_MASK: u128 = 0x5eed;

/// A fault planted on purpose, to show that the tests can fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlantedFault {
    /// No planted fault.
    #[default]
    None,
    /// Syncs of files do nothing.
    SkippedFileSync,
    /// Syncs of names do nothing.
    SkippedNameSync,
    /// The first power loss also turns one bit of what was durable: the one fault that only a checksum shows.
    BitRot,
}

/// Which faults a disk has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Single steps fail at random, short of a power loss.
    pub random_faults: bool,
    /// What the disk does wrong on purpose.
    pub planted_fault: PlantedFault,
    /// The step at which the power fails, counted from 1; never if there is none.
    pub power_loss_at: Option<u64>,
}

/// A change of names that is not durable yet. Files are named by their index.
#[derive(Clone)]
enum NameChange {
    Created {
        name: String,
        file: usize,
    },
    Renamed {
        from: String,
        to: String,
        file: usize,
    },
    Removed {
        name: String,
    },
}

/// A disk with one directory.
#[derive(Clone)]
pub struct SimulatedDisk {
    files: Vec<FileContent>,
    /// Names that a reader sees, with the index of the file of each.
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Changes since the names were durable, in order.
    name_changes: Vec<NameChange>,
    rng: Rand64,
    faults: FaultPlan,
    /// Steps since the power came on.
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

    /// Whether the power has failed, after which every call fails.
    pub fn power_lost(&self) -> bool {
        self.power_lost
    }

    /// The disk as it is found once the power is on again, until it fails anew at step `power_loss_at`.
    pub fn after_power_loss(mut self, seed: u64, power_loss_at: Option<u64>) -> SimulatedDisk {
        let mut rng = Rand64::new(u128::from(seed) ^ SURVIVAL_SEED_MASK);
        for change in std::mem::take(&mut self.name_changes) {
            if coin(&mut rng) {
                self.make_durable(change);
            }
        }
        for file in &mut self.files {
            *file = file.after_power_loss(|| coin(&mut rng));
        }
        if self.faults.planted_fault == PlantedFault::BitRot {
            self.rot_one_bit(&mut rng);
            // Two generations survive one bad bit, not one in each.
            self.faults.planted_fault = PlantedFault::None;
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
    fn rot_one_bit(&mut self, rng: &mut Rand64) {
        let named_files: Vec<usize> = self.durable_names.values().copied().collect();
        if named_files.is_empty() {
            return;
        }
        let drawn = named_files[rng.rand_u64() as usize % named_files.len()];
        let file = &mut self.files[drawn];
        let bits = file.durable_bits();
        if bits > 0 {
            file.flip_bit(rng.rand_u64() as usize % bits);
        }
    }

    /// Begins one step. Returns a random number if it is to fail, which picks the kind of fault.
    ///
    /// The step at which the power fails may still be carried out, but its caller never learns of it.
    fn begin_step(&mut self) -> io::Result<Option<u64>> {
        self.check_power()?;
        self.steps += 1;
        let fault = self.draw_fault();
        if self.faults.power_loss_at != Some(self.steps) {
            return Ok(fault);
        }
        self.power_lost = true;
        if coin(&mut self.rng) {
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
        Ok(&mut self.files[file])
    }
}

fn coin(rng: &mut Rand64) -> bool {
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
        let file = self.files.len() - 1;
        let name = name.to_owned();
        self.names.insert(name.clone(), file);
        self.name_changes.push(NameChange::Created { name, file });
        self.check_power()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        let mut length = bytes.len().min(MAX_WRITE_BYTES);
        match self.begin_step()? {
            Some(fault) if fault % 3 == 0 => return Err(ErrorKind::StorageFull.into()),
            Some(fault) if fault % 3 == 1 => return Err(ErrorKind::Interrupted.into()),
            Some(fault) => length = 1 + (fault as usize / 3) % length,
            None => {}
        }
        self.file(name)?.append(&bytes[..length]);
        self.check_power()?;
        Ok(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let fails = self.begin_step()?.is_some();
        let is_skipped =
            self.faults.planted_fault == PlantedFault::SkippedFileSync || self.power_lost;
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

    fn sync_names(&mut self) -> io::Result<()> {
        if self.begin_step()?.is_some() {
            return Err(io::Error::other("input/output error"));
        }
        if self.faults.planted_fault != PlantedFault::SkippedNameSync && !self.power_lost {
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
