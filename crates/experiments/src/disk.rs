//! Losses of power on a modelled disk, and the faults put in on purpose that the checker has to catch.

use rayon::prelude::*;
use tidescale_snapshot::format;
use tidescale_snapshot::simulated_disk::{self, Pretence, Seen};
use tidescale_snapshot::store::Decode;

/// Within so many histories each fault put in must show.
const CAUGHT_WITHIN: u64 = 200;

pub fn run(histories: u64, seed: u64) -> Result<String, String> {
    let seeds = |n: u64| (0..n).into_par_iter().map(move |i| seed.wrapping_add(i));
    let mut seen = Seen::default();
    for pretence in [Pretence::None, Pretence::Rot] {
        seen = seeds(histories)
            .map(|seed| simulated_disk::history(seed, pretence, format::decode))
            .try_reduce(Seen::default, |a, b| Ok(a + b))?
            + seen;
    }
    let table: [(&str, Pretence, Decode); 3] = [
        ("a file sync left out", Pretence::FileSync, format::decode),
        (
            "a sync of names left out",
            Pretence::NameSync,
            format::decode,
        ),
        (
            "a checksum over the header alone",
            Pretence::Rot,
            simulated_disk::trusting,
        ),
    ];
    for (name, pretence, decode) in table {
        let first = (0..CAUGHT_WITHIN)
            .find(|i| simulated_disk::history(seed.wrapping_add(*i), pretence, decode).is_err());
        match first {
            Some(i) => println!("{name}: caught in history {}", i + 1),
            None => {
                return Err(format!(
                    "{name} is not caught within {CAUGHT_WITHIN} histories"
                ));
            }
        }
    }
    let Seen {
        crashes,
        saves,
        failed_saves,
        newer,
        set_aside,
    } = seen;
    Ok(format!(
        "disk: {histories} histories twice, {crashes} losses of power, {saves} saves and {failed_saves} failed, \
         {newer} times a state newer than the last reported, {set_aside} files set aside, none torn or mixed"
    ))
}
