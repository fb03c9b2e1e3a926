//! Power losses at every step, and planted faults that have to be caught.

use std::ops::Range;

use tidescale_snapshot::crash_history::{self, BrokenHistory, CrashStats};
use tidescale_snapshot::format::decode;
use tidescale_snapshot::simulated_disk::PlantedFault;
use tidescale_snapshot::store::Decoder;

fn play_histories(
    seeds: Range<u64>,
    planted_fault: PlantedFault,
    decode: Decoder,
) -> Result<CrashStats, BrokenHistory> {
    seeds
        .map(|seed| crash_history::play(seed, planted_fault, decode))
        .try_fold(CrashStats::default(), |sum, stats| Ok(sum + stats?))
}

#[test]
fn power_lost_at_any_step_leaves_one_of_the_last_two_snapshots() {
    let stats = play_histories(0..150, PlantedFault::None, decode).unwrap();
    assert!(
        stats.crashes > 5000 && stats.failed_saves > 1000 && stats.unreported_snapshots_found > 100,
        "{stats:?}"
    );
    let stats = play_histories(0..60, PlantedFault::BitRot, decode).unwrap();
    assert!(stats.unusable_files > 500, "{stats:?}");
}

#[test]
fn a_skipped_sync_and_a_checksum_of_the_header_alone_are_caught() {
    for (planted_fault, decode) in [
        (PlantedFault::SkippedFileSync, decode as Decoder),
        (PlantedFault::SkippedNameSync, decode),
        (PlantedFault::BitRot, crash_history::decode_without_checksum),
    ] {
        assert!(
            play_histories(0..40, planted_fault, decode).is_err(),
            "{planted_fault:?}"
        );
    }
}
