//! Crash tests of the store: a power loss at every step, and injected faults that must be detected.

use std::ops::Range;

use tidescale_snapshot::crash_history::{self, CrashHistoryError, CrashStats};
use tidescale_snapshot::format::decode;
use tidescale_snapshot::simulated_disk::InjectedFault;
use tidescale_snapshot::store::Decoder;

/// An injected fault and the decoder to simulate it with.
struct FaultCase {
    injected_fault: InjectedFault,
    decode: Decoder,
}

fn simulate_histories(
    seeds: Range<u64>,
    case: &FaultCase,
) -> Result<CrashStats, CrashHistoryError> {
    seeds
        .map(|seed| crash_history::simulate(seed, case.injected_fault, case.decode))
        .try_fold(CrashStats::default(), |sum, stats| Ok(sum + stats?))
}

#[test]
fn power_loss_at_any_step_leaves_one_of_the_last_two_snapshots() {
    let case = FaultCase {
        injected_fault: InjectedFault::None,
        decode,
    };

    let stats = simulate_histories(0..150, &case).unwrap();

    assert!(stats.crashes > 5000, "{stats:?}");
    assert!(stats.failed_saves > 1000, "{stats:?}");
    assert!(stats.unreported_snapshots_found > 100, "{stats:?}");
}

#[test]
fn bit_rot_in_one_generation_leaves_the_other_one_readable() {
    let case = FaultCase {
        injected_fault: InjectedFault::BitRot,
        decode,
    };

    let stats = simulate_histories(0..60, &case).unwrap();

    assert!(stats.unusable_files > 500, "{stats:?}");
}

#[test]
fn skipped_sync_or_ignored_checksum_is_detected() {
    let cases = [
        FaultCase {
            injected_fault: InjectedFault::SkippedFileSync,
            decode,
        },
        FaultCase {
            injected_fault: InjectedFault::SkippedDirectorySync,
            decode,
        },
        FaultCase {
            injected_fault: InjectedFault::BitRot,
            decode: crash_history::decode_without_checksum,
        },
    ];
    for case in cases {
        let result = simulate_histories(0..40, &case);

        assert!(result.is_err(), "{:?}", case.injected_fault);
    }
}
