//! `disk`: checks that snapshots survive power losses on a simulated disk, and that the check
//! detects injected faults.

use clap::Args;
use rayon::prelude::*;
use tidescale_snapshot::crash_history::{self, CrashStats};
use tidescale_snapshot::format;
use tidescale_snapshot::simulated_disk::InjectedFault;
use tidescale_snapshot::store::Decoder;

use crate::error::ExperimentError;

/// Each injected fault has to be detected within this number of save histories.
const MAX_HISTORIES: u64 = 200;

/// Which save histories `disk` simulates: consecutive seeds from a first one.
#[derive(Args)]
pub struct DiskArgs {
    /// Number of histories.
    #[arg(long, default_value_t = 1000)]
    histories: u64,
    /// Seed of the first history; it increases by one for each further history.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// An injected fault, and the decoder with which snapshots are read.
struct FaultCase {
    name: &'static str,
    injected_fault: InjectedFault,
    decode: Decoder,
}

/// The injected faults that have to be detected.
const FAULT_CASES: [FaultCase; 3] = [
    FaultCase {
        name: "a file sync left out",
        injected_fault: InjectedFault::SkippedFileSync,
        decode: format::decode,
    },
    FaultCase {
        name: "a sync of names left out",
        injected_fault: InjectedFault::SkippedDirectorySync,
        decode: format::decode,
    },
    FaultCase {
        name: "a checksum over the header alone",
        injected_fault: InjectedFault::BitRot,
        decode: crash_history::decode_without_checksum,
    },
];

/// Runs the save histories with and without bit rot, checks that injected faults are detected, and
/// returns the summary line.
///
/// # Errors
///
/// Returns an error if a wrong snapshot is read back after a power loss, or if an injected fault is
/// not detected.
pub fn run(args: &DiskArgs) -> Result<String, ExperimentError> {
    let mut stats = CrashStats::default();
    for injected_fault in [InjectedFault::None, InjectedFault::BitRot] {
        stats = run_histories(args, injected_fault)? + stats;
    }
    for case in &FAULT_CASES {
        let history = first_detecting_history(case, args.seed)?;
        println!("{}: caught in history {}", case.name, history + 1);
    }
    Ok(summary(args, stats))
}

fn summary(args: &DiskArgs, stats: CrashStats) -> String {
    let CrashStats {
        crashes,
        saves,
        failed_saves,
        unreported_snapshots_found,
        unusable_files,
    } = stats;
    format!(
        "disk: {} histories twice, {crashes} losses of power, {saves} saves and {failed_saves} failed, \
         {unreported_snapshots_found} times a state newer than the last reported, {unusable_files} files set aside, \
         none torn or mixed",
        args.histories
    )
}

fn run_histories(
    args: &DiskArgs,
    injected_fault: InjectedFault,
) -> Result<CrashStats, ExperimentError> {
    (0..args.histories)
        .into_par_iter()
        .map(|index| args.seed.wrapping_add(index))
        .map(|seed| crash_history::simulate(seed, injected_fault, format::decode))
        .try_reduce(CrashStats::default, |sum, stats| Ok(sum + stats))
        .map_err(ExperimentError::from)
}

/// Returns the index of the first history in which an injected fault is detected.
fn first_detecting_history(case: &FaultCase, seed: u64) -> Result<u64, ExperimentError> {
    (0..MAX_HISTORIES)
        .find(|index| {
            let seed = seed.wrapping_add(*index);
            crash_history::simulate(seed, case.injected_fault, case.decode).is_err()
        })
        .ok_or(ExperimentError::FaultNotDetected {
            fault_name: case.name,
            histories: MAX_HISTORIES,
        })
}
