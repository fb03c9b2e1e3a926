//! Crash tests of the [store](crate::store): seeded sequences ("histories") of saves on a
//! [simulated disk](crate::simulated_disk), with a power loss at every step. The store has to pass
//! the checks, and with an injected fault they have to fail.

mod progress;

use std::ops::Add;

use oorandom::Rand64;
use thiserror::Error;
use tidescale_policy::types::{BuildNumber, Timestamp};

use crate::format::{self, FormatError, HEADER_BYTES, Snapshot};
use crate::records::{KeyBuildRecord, Record};
use crate::simulated_disk::{FaultPlan, InjectedFault, SimulatedDisk};
use crate::store::{Decoder, Store};

use progress::Progress;
pub use progress::Violation;

/// Maximum number of records in a snapshot. Small snapshots are written in one step, large ones in
/// several.
const MAX_RECORDS: u64 = 60;
/// Maximum number of saves in the first run of a history.
const MAX_FIRST_RUN_SAVES: u64 = 3;
/// Number of second runs simulated after each first power loss. For each of them, a different
/// subset of the changes that were not synced survives.
const SECOND_RUNS: u64 = 4;
/// The second power loss is at a random step, at most this many times the step of the first one.
const SECOND_LOSS_FACTOR: u64 = 4;
/// Number of saves in a second run.
const SECOND_RUN_SAVES: u64 = 2;

/// Counts of events, summed over histories.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashStats {
    /// Power losses.
    pub crashes: u64,
    /// Saves that were reported as done.
    pub saves: u64,
    /// Saves that were reported as failed.
    pub failed_saves: u64,
    /// Runs that started with a snapshot whose save had not been reported as done.
    pub unreported_snapshots_found: u64,
    /// Files that could not be read or decoded.
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

/// A history in which the store violated its guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("seed {seed}, power lost at step {step}: {violation}")]
pub struct CrashHistoryError {
    /// Seed of the history.
    pub seed: u64,
    /// Step of the first power loss, counted from 1.
    pub step: u64,
    /// The violation that was found.
    #[source]
    pub violation: Violation,
}

/// Returns the records of the snapshot with this number. Their count and content are derived from
/// the number, so that a file that mixes the content of two snapshots is detected.
pub fn records_of(number: u64) -> Vec<Record> {
    let mut rng = Rand64::new(u128::from(number));
    let count = 1 + rng.rand_u64() % MAX_RECORDS;
    let draw_record = |_| {
        Record::KeyBuild(KeyBuildRecord {
            observed_at: Timestamp::from_micros(number),
            key: format!("{:016x}", rng.rand_u64()),
            build: BuildNumber::new(1),
        })
    };
    (0..count).map(draw_record).collect()
}

/// Simulates one seeded history. The first run, a number of saves, is repeated with the power loss
/// at each step in turn. Each power loss is followed by second runs with another power loss at a
/// random step. After each power loss, the snapshot that is read back is checked against the saves
/// that were reported as done.
///
/// # Errors
///
/// The first violation that is found.
pub fn simulate(
    seed: u64,
    injected_fault: InjectedFault,
    decode: Decoder,
) -> Result<CrashStats, CrashHistoryError> {
    let mut rng = Rand64::new(u128::from(seed));
    let first_run_saves = 1 + rng.rand_u64() % MAX_FIRST_RUN_SAVES;
    let mut history = History {
        seed,
        faults: FaultPlan {
            random_faults: rng.rand_u64().is_multiple_of(2),
            injected_fault,
            power_loss_at: None,
        },
        first_run_saves,
        decode,
        rng,
        stats: CrashStats::default(),
    };
    for step in 1.. {
        let power_lost =
            history
                .simulate_power_loss_at(step)
                .map_err(|violation| CrashHistoryError {
                    seed,
                    step,
                    violation,
                })?;
        if !power_lost {
            break;
        }
    }
    Ok(history.stats)
}

/// One seeded history.
struct History {
    seed: u64,
    /// Faults of the disk in the first run, without the power loss.
    faults: FaultPlan,
    first_run_saves: u64,
    decode: Decoder,
    /// Generates the steps of the second power losses.
    rng: Rand64,
    stats: CrashStats,
}

impl History {
    /// Simulates the first run with a power loss at this step, and the second runs after it.
    /// Returns whether the first run was long enough to reach the step.
    fn simulate_power_loss_at(&mut self, step: u64) -> Result<bool, Violation> {
        let faults = FaultPlan {
            power_loss_at: Some(step),
            ..self.faults
        };
        let mut progress = Progress {
            bit_rot: faults.injected_fault == InjectedFault::BitRot,
            ..Progress::default()
        };
        let new_disk = SimulatedDisk::new(self.seed, faults);
        let disk = self.simulate_run(new_disk, self.first_run_saves, &mut progress)?;
        for second_run in 0..SECOND_RUNS {
            let second_loss_at = 1 + self.rng.rand_u64() % (SECOND_LOSS_FACTOR * step);
            let survival_seed = self.seed ^ (step << 8) ^ second_run;
            let second_disk = disk
                .clone()
                .after_power_loss(survival_seed, Some(second_loss_at));
            self.stats.crashes += 1;
            let final_seed = self.seed ^ (step << 16) ^ second_run;
            self.simulate_second_run(second_disk, final_seed, progress)?;
        }
        Ok(disk.power_lost())
    }

    /// Simulates a run after a power loss, and checks what is read after the next one.
    fn simulate_second_run(
        &mut self,
        disk: SimulatedDisk,
        final_seed: u64,
        mut progress: Progress,
    ) -> Result<(), Violation> {
        let disk = self.simulate_run(disk, SECOND_RUN_SAVES, &mut progress)?;
        let disk_at_end = disk.after_power_loss(final_seed, None);
        let (_, contents) = Store::open_with(disk_at_end, self.decode);
        progress.check(contents.snapshot.as_ref())?;
        Ok(())
    }

    /// Simulates one run of a process: opens the store, checks the snapshot read and attempts a
    /// number of saves. Returns the disk.
    fn simulate_run(
        &mut self,
        disk: SimulatedDisk,
        saves: u64,
        progress: &mut Progress,
    ) -> Result<SimulatedDisk, Violation> {
        let (mut store, contents) = Store::open_with(disk, self.decode);
        if store.disk().power_lost() {
            return Ok(store.into_disk());
        }
        let number_read = progress.check(contents.snapshot.as_ref())?;
        self.stats.unreported_snapshots_found += u64::from(number_read > progress.last_saved);
        self.stats.unusable_files += contents.unusable_files.len() as u64;
        progress.record_read(number_read);
        for _ in 0..saves {
            self.save_next(&mut store, progress);
        }
        Ok(store.into_disk())
    }

    fn save_next(&mut self, store: &mut Store<SimulatedDisk>, progress: &mut Progress) {
        let number = progress.begin_save();
        match store.save(Timestamp::from_micros(number), records_of(number)) {
            Ok(_) => {
                progress.finish_save();
                self.stats.saves += 1;
            }
            Err(_) => self.stats.failed_saves += 1,
        }
    }
}

/// Decodes a file without verifying its checksum. Used as an injected fault.
///
/// # Errors
///
/// Fails if the header or the records cannot be decoded.
pub fn decode_without_checksum(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    if bytes.len() < HEADER_BYTES {
        Err(FormatError::Torn)
    } else {
        format::decode_records(bytes)
    }
}
