//! Power losses at every step of saving, and planted faults that must be detected.

use std::ops::Range;

use tidescale_snapshot::crash_history::{self, BrokenHistory, CrashStats};
use tidescale_snapshot::format::decode;
use tidescale_snapshot::simulated_disk::PlantedFault;
use tidescale_snapshot::store::Decoder;

/// A planted fault, with the decoder to play it with.
struct FaultCase {
    planted_fault: PlantedFault,
    decode: Decoder,
}

fn play_histories(seeds: Range<u64>, case: &FaultCase) -> Result<CrashStats, BrokenHistory> {
    seeds
        .map(|seed| crash_history::play(seed, case.planted_fault, case.decode))
        .try_fold(CrashStats::default(), |sum, stats| Ok(sum + stats?))
}

#[test]
fn power_loss_at_any_step_leaves_one_of_the_last_two_snapshots() {
    let case = FaultCase {
        planted_fault: PlantedFault::None,
        decode,
    };

    let stats = play_histories(0..150, &case).unwrap();

    assert!(stats.crashes > 5000, "{stats:?}");
    assert!(stats.failed_saves > 1000, "{stats:?}");
    assert!(stats.unreported_snapshots_found > 100, "{stats:?}");
}

#[test]
fn bit_rot_in_one_generation_leaves_the_other_one_readable() {
    let case = FaultCase {
        planted_fault: PlantedFault::BitRot,
        decode,
    };

    let stats = play_histories(0..60, &case).unwrap();

    assert!(stats.unusable_files > 500, "{stats:?}");
}

#[test]
fn skipped_sync_or_ignored_checksum_is_detected() {
    let cases = [
        FaultCase {
            planted_fault: PlantedFault::SkippedFileSync,
            decode,
        },
        FaultCase {
            planted_fault: PlantedFault::SkippedNameSync,
            decode,
        },
        FaultCase {
            planted_fault: PlantedFault::BitRot,
            decode: crash_history::decode_without_checksum,
        },
    ];
    for case in cases {
        let result = play_histories(0..40, &case);

        assert!(result.is_err(), "{:?}", case.planted_fault);
    }
}
