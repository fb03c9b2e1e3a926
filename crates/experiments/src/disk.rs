//! Losses of power on a modelled disk, and the faults put in on purpose that the checker has to catch.

use rayon::prelude::*;
use tidescale_snapshot::crash_history::{self, CrashStats};
use tidescale_snapshot::format;
use tidescale_snapshot::simulated_disk::PlantedFault;
use tidescale_snapshot::store::Decoder;

/// Within so many histories each fault put in must show.
const CAUGHT_WITHIN: u64 = 200;

pub fn run(histories: u64, seed: u64) -> Result<String, String> {
    let seeds = |n: u64| (0..n).into_par_iter().map(move |i| seed.wrapping_add(i));
    let mut seen = CrashStats::default();
    for pretence in [PlantedFault::None, PlantedFault::BitRot] {
        seen = seeds(histories)
            .map(|seed| crash_history::play(seed, pretence, format::decode))
            .try_reduce(CrashStats::default, |a, b| Ok(a + b))
            .map_err(|broken| broken.to_string())?
            + seen;
    }
    let table: [(&str, PlantedFault, Decoder); 3] = [
        (
            "a file sync left out",
            PlantedFault::SkippedFileSync,
            format::decode,
        ),
        (
            "a sync of names left out",
            PlantedFault::SkippedNameSync,
            format::decode,
        ),
        (
            "a checksum over the header alone",
            PlantedFault::BitRot,
            crash_history::decode_without_checksum,
        ),
    ];
    for (name, pretence, decode) in table {
        let first = (0..CAUGHT_WITHIN)
            .find(|i| crash_history::play(seed.wrapping_add(*i), pretence, decode).is_err());
        match first {
            Some(i) => println!("{name}: caught in history {}", i + 1),
            None => {
                return Err(format!(
                    "{name} is not caught within {CAUGHT_WITHIN} histories"
                ));
            }
        }
    }
    let CrashStats {
        crashes,
        saves,
        failed_saves,
        unreported_snapshots_found: newer,
        unusable_files: set_aside,
    } = seen;
    Ok(format!(
        "disk: {histories} histories twice, {crashes} losses of power, {saves} saves and {failed_saves} failed, \
         {newer} times a state newer than the last reported, {set_aside} files set aside, none torn or mixed"
    ))
}
