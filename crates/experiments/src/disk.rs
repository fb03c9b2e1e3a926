//! `disk`: losses of power on a simulated disk, and faults put in on purpose that the checker has to catch.

use clap::Args;
use rayon::prelude::*;
use tidescale_snapshot::crash_history::{self, CrashStats};
use tidescale_snapshot::format;
use tidescale_snapshot::simulated_disk::PlantedFault;
use tidescale_snapshot::store::Decoder;

use crate::error::ExperimentError;

/// Within so many histories each fault put in must show.
const CAUGHT_WITHIN: u64 = 200;

/// Arguments of `disk`.
#[derive(Args)]
pub struct DiskArgs {
    /// Number of histories.
    #[arg(long, default_value_t = 1000)]
    histories: u64,
    /// Seed of the first history; the others count on from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// A fault put in on purpose.
struct FaultCase {
    name: &'static str,
    fault: PlantedFault,
    decode: Decoder,
}

/// The faults that the checker has to catch.
const PLANTED_FAULTS: [FaultCase; 3] = [
    FaultCase {
        name: "a file sync left out",
        fault: PlantedFault::SkippedFileSync,
        decode: format::decode,
    },
    FaultCase {
        name: "a sync of names left out",
        fault: PlantedFault::SkippedNameSync,
        decode: format::decode,
    },
    FaultCase {
        name: "a checksum over the header alone",
        fault: PlantedFault::BitRot,
        decode: crash_history::decode_without_checksum,
    },
];

/// Runs the histories, with and without a bit gone bad, plants the faults, and returns the summary line.
///
/// # Errors
///
/// Where a history does not read back whole, or a planted fault does not show.
pub fn run(args: &DiskArgs) -> Result<String, ExperimentError> {
    let mut stats = CrashStats::default();
    for fault in [PlantedFault::None, PlantedFault::BitRot] {
        stats = run_histories(args, fault)? + stats;
    }
    for case in &PLANTED_FAULTS {
        let history = catch(case, args.seed)?;
        println!("{}: caught in history {}", case.name, history + 1);
    }
    let CrashStats {
        crashes,
        saves,
        failed_saves,
        unreported_snapshots_found: newer,
        unusable_files: set_aside,
    } = stats;
    Ok(format!(
        "disk: {} histories twice, {crashes} losses of power, {saves} saves and {failed_saves} failed, \
         {newer} times a state newer than the last reported, {set_aside} files set aside, none torn or mixed",
        args.histories
    ))
}

fn run_histories(args: &DiskArgs, fault: PlantedFault) -> Result<CrashStats, ExperimentError> {
    (0..args.histories)
        .into_par_iter()
        .map(|index| args.seed.wrapping_add(index))
        .map(|seed| crash_history::play(seed, fault, format::decode))
        .try_reduce(CrashStats::default, |sum, stats| Ok(sum + stats))
        .map_err(ExperimentError::from)
}

/// The first history in which a planted fault shows.
fn catch(case: &FaultCase, seed: u64) -> Result<u64, ExperimentError> {
    (0..CAUGHT_WITHIN)
        .find(|index| {
            let seed = seed.wrapping_add(*index);
            crash_history::play(seed, case.fault, case.decode).is_err()
        })
        .ok_or(ExperimentError::FaultNotCaught {
            fault: case.name,
            histories: CAUGHT_WITHIN,
        })
}
