//! `disk`: losses of power on a simulated disk, and faults put in on purpose that the checker has to catch.

use clap::Args;
use rayon::prelude::*;
use tidescale_snapshot::format;
use tidescale_snapshot::simulated_disk::{self, Pretence, Seen};
use tidescale_snapshot::store::Decode;

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
struct PlantedFault {
    name: &'static str,
    pretence: Pretence,
    decode: Decode,
}

/// The faults that the checker has to catch.
const PLANTED_FAULTS: [PlantedFault; 3] = [
    PlantedFault {
        name: "a file sync left out",
        pretence: Pretence::FileSync,
        decode: format::decode,
    },
    PlantedFault {
        name: "a sync of names left out",
        pretence: Pretence::NameSync,
        decode: format::decode,
    },
    PlantedFault {
        name: "a checksum over the header alone",
        pretence: Pretence::Rot,
        decode: simulated_disk::trusting,
    },
];

/// Runs the histories, with and without a bit gone bad, plants the faults, and returns the summary line.
///
/// # Errors
///
/// Where a history does not read back whole, or a planted fault does not show.
pub fn run(args: &DiskArgs) -> Result<String, ExperimentError> {
    let mut seen = Seen::default();
    for pretence in [Pretence::None, Pretence::Rot] {
        seen = run_histories(args, pretence)? + seen;
    }
    for fault in &PLANTED_FAULTS {
        let history = catch(fault, args.seed)?;
        println!("{}: caught in history {}", fault.name, history + 1);
    }
    let Seen {
        crashes,
        saves,
        failed_saves,
        newer,
        set_aside,
    } = seen;
    Ok(format!(
        "disk: {} histories twice, {crashes} losses of power, {saves} saves and {failed_saves} failed, \
         {newer} times a state newer than the last reported, {set_aside} files set aside, none torn or mixed",
        args.histories
    ))
}

fn run_histories(args: &DiskArgs, pretence: Pretence) -> Result<Seen, ExperimentError> {
    (0..args.histories)
        .into_par_iter()
        .map(|index| args.seed.wrapping_add(index))
        .map(|seed| {
            simulated_disk::history(seed, pretence, format::decode)
                .map_err(|error| ExperimentError::History(error.to_string()))
        })
        .try_reduce(Seen::default, |sum, seen| Ok(sum + seen))
}

/// The first history in which a planted fault shows.
fn catch(fault: &PlantedFault, seed: u64) -> Result<u64, ExperimentError> {
    (0..CAUGHT_WITHIN)
        .find(|index| {
            let seed = seed.wrapping_add(*index);
            simulated_disk::history(seed, fault.pretence, fault.decode).is_err()
        })
        .ok_or(ExperimentError::FaultNotCaught {
            fault: fault.name,
            histories: CAUGHT_WITHIN,
        })
}
