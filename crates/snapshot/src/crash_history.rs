//! Histories of saves on a [simulated disk](crate::simulated_disk), with the power failing at every step: the checker
//! that the [store](crate::store) has to pass, and planted faults have to fail.

use std::ops::Add;

use oorandom::Rand64;
use thiserror::Error;
use tidescale_policy::types::Timestamp;

use crate::format::{self, FormatError, HEADER_BYTES, Snapshot};
use crate::records::{KeyBuildRecord, Record};
use crate::simulated_disk::{FaultPlan, PlantedFault, SimulatedDisk};
use crate::store::{Decoder, Store};

/// Most records of a snapshot: small ones are written in one step, large ones in several.
const MAX_RECORDS: u64 = 60;
/// Second lives played after each power loss, each with a different part of the disk surviving.
const SECOND_LIVES: u64 = 4;
/// The power fails again at a random step, within so many times the steps of the first life.
const SECOND_LOSS_WITHIN: u64 = 4;
/// Saves in a second life.
const SECOND_LIFE_SAVES: u64 = 2;

/// Totals over histories.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashStats {
    /// Power losses.
    pub crashes: u64,
    /// Saves that were reported as done.
    pub saves: u64,
    /// Saves that were reported as failed.
    pub failed_saves: u64,
    /// Crashes after which a snapshot that was never reported as saved was found whole.
    pub unreported_snapshots_found: u64,
    /// Files that were not used.
    pub unusable_files: u64,
}

impl Add for CrashStats {
    type Output = CrashStats;

    fn add(self, other: CrashStats) -> CrashStats {
        CrashStats {
            crashes: self.crashes + other.crashes,
            saves: self.saves + other.saves,
            failed_saves: self.failed_saves + other.failed_saves,
            unreported_snapshots_found: self.unreported_snapshots_found
                + other.unreported_snapshots_found,
            unusable_files: self.unusable_files + other.unusable_files,
        }
    }
}

/// A read that must never happen. Snapshots are identified by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// No snapshot is found although one was reported as saved.
    #[error("snapshot {0} is lost")]
    Lost(u64),
    /// The snapshot found is neither the last one saved nor one begun since.
    #[error("snapshot {found} where {saved} was saved last")]
    WrongSnapshot {
        /// What is found.
        found: u64,
        /// What was reported as saved last.
        saved: u64,
    },
    /// The snapshot found was never written with this content.
    #[error("snapshot {0} is a mixture")]
    Mixture(u64),
}

/// A history with a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("seed {seed}, power lost at step {step}: {violation}")]
pub struct BrokenHistory {
    /// Seed of the history.
    pub seed: u64,
    /// The step at which the power failed first.
    pub step: u64,
    /// What was wrong.
    #[source]
    pub violation: Violation,
}

/// Records of the snapshot of this number. Count and content are derived from it, so that a mixture of two snapshots
/// is detected.
pub fn records_of(number: u64) -> Vec<Record> {
    let mut rng = Rand64::new(u128::from(number));
    let count = 1 + rng.rand_u64() % MAX_RECORDS;
    let draw_record = |_| {
        Record::KeyBuild(KeyBuildRecord {
            observed_at: Timestamp::from_micros(number),
            key: format!("{:016x}", rng.rand_u64()),
            build: 1,
        })
    };
    (0..count).map(draw_record).collect()
}

/// What is known of the snapshots while a history goes on.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// The last one reported as saved.
    saved: u64,
    /// The one reported as saved before it.
    saved_before: u64,
    /// The last one begun.
    begun: u64,
    /// One generation may have gone bad.
    bit_rot: bool,
}

impl Progress {
    /// Checks that the snapshot found is the last one saved or one begun since, unchanged. Returns its number.
    fn check(&self, found: Option<&Snapshot>) -> Result<u64, Violation> {
        let oldest_allowed = if self.bit_rot {
            self.saved_before
        } else {
            self.saved
        };
        let Some(snapshot) = found else {
            return if oldest_allowed == 0 {
                Ok(0)
            } else {
                Err(Violation::Lost(oldest_allowed))
            };
        };
        let number = snapshot.written_at.as_micros();
        if !(oldest_allowed.max(1)..=self.begun).contains(&number) {
            return Err(Violation::WrongSnapshot {
                found: number,
                saved: self.saved,
            });
        }
        if snapshot.records != records_of(number) {
            return Err(Violation::Mixture(number));
        }
        Ok(number)
    }
}

/// One life of a process: it opens the store, checks what it finds and tries so many saves.
fn play_life(
    disk: SimulatedDisk,
    decode: Decoder,
    saves: u64,
    progress: &mut Progress,
    stats: &mut CrashStats,
) -> Result<SimulatedDisk, Violation> {
    let (mut store, opened) = Store::open_with(disk, decode);
    if store.disk().power_lost() {
        return Ok(store.into_disk());
    }
    let found = progress.check(opened.snapshot.as_ref())?;
    stats.unreported_snapshots_found += u64::from(found > progress.saved);
    stats.unusable_files += opened.unusable_files.len() as u64;
    // A snapshot that was read once must be readable from now on.
    progress.saved = found;
    progress.saved_before = 0;
    for _ in 0..saves {
        progress.begun += 1;
        let number = progress.begun;
        match store.save(Timestamp::from_micros(number), records_of(number)) {
            Ok(_) => {
                progress.saved_before = progress.saved;
                progress.saved = number;
                stats.saves += 1;
            }
            Err(_) => stats.failed_saves += 1,
        }
    }
    Ok(store.into_disk())
}

/// One seeded history: some saves, the power failing at each step in turn, and after it a second life that fails at a
/// random step too. What is read back is checked against what was reported as saved.
///
/// # Errors
///
/// The first violation.
pub fn play(
    seed: u64,
    planted_fault: PlantedFault,
    decode: Decoder,
) -> Result<CrashStats, BrokenHistory> {
    let mut rng = Rand64::new(u128::from(seed));
    let saves = 1 + rng.rand_u64() % 3;
    let random_faults = rng.rand_u64().is_multiple_of(2);
    let mut stats = CrashStats::default();
    for step in 1.. {
        let broken = |violation| BrokenHistory {
            seed,
            step,
            violation,
        };
        let faults = FaultPlan {
            random_faults,
            planted_fault,
            power_loss_at: Some(step),
        };
        let disk = SimulatedDisk::new(seed, faults);
        let mut progress = Progress {
            bit_rot: planted_fault == PlantedFault::BitRot,
            ..Progress::default()
        };
        let disk = play_life(disk, decode, saves, &mut progress, &mut stats).map_err(broken)?;
        for draw in 0..SECOND_LIVES {
            let second_loss_at = 1 + rng.rand_u64() % (SECOND_LOSS_WITHIN * step);
            let second_disk = disk
                .clone()
                .after_power_loss(seed ^ (step << 8) ^ draw, Some(second_loss_at));
            stats.crashes += 1;
            let end_seed = seed ^ (step << 16) ^ draw;
            play_second_life(second_disk, decode, end_seed, progress, &mut stats)
                .map_err(broken)?;
        }
        if !disk.power_lost() {
            break;
        }
    }
    Ok(stats)
}

/// Plays a life after a power loss, and checks what is found after the next one.
fn play_second_life(
    disk: SimulatedDisk,
    decode: Decoder,
    end_seed: u64,
    mut progress: Progress,
    stats: &mut CrashStats,
) -> Result<(), Violation> {
    let disk = play_life(disk, decode, SECOND_LIFE_SAVES, &mut progress, stats)?;
    let disk_at_end = disk.after_power_loss(end_seed, None);
    let (_, opened) = Store::open_with(disk_at_end, decode);
    progress.check(opened.snapshot.as_ref())?;
    Ok(())
}

/// A decoder that ignores the checksum: a planted fault.
///
/// # Errors
///
/// If header or records cannot be decoded.
pub fn decode_without_checksum(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    if bytes.len() < HEADER_BYTES {
        Err(FormatError::Torn)
    } else {
        format::decode_records(bytes)
    }
}
