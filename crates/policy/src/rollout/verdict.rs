//! The verdict that a build must be rolled back, with the evidence on which it is based.

use super::fleet_view::FleetView;
use super::outcome_table::Evidence;
use super::parameters::{ALPHA, BETA};
use super::status::Rollout;
use crate::statistics::{Arm, WaldBounds};
use crate::types::{EvidenceTest, FailureCounts, RollbackVerdict};

/// The result of a test that has passed its bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct TestResult {
    /// The test.
    pub(super) test: EvidenceTest,
    /// Its score, less all margins.
    pub(super) score: f64,
    /// The bounds of the score.
    pub(super) bounds: WaldBounds,
}

/// The verdict on a build.
pub(super) fn rollback_verdict(
    rollout: Rollout,
    result: TestResult,
    evidence: &Evidence,
    fleet: FleetView<'_>,
) -> RollbackVerdict {
    let arms = evidence.tested(result.test);
    RollbackVerdict {
        build: rollout.build,
        stage: rollout.stage,
        test: result.test,
        candidate: failure_counts(arms.candidate),
        baseline: failure_counts(arms.baseline),
        restored_outcomes: evidence.counted_restored_outcomes(result.test),
        score: result.score,
        bound: result.bounds.upper,
        alpha: ALPHA,
        beta: BETA,
        ejected_endpoints: fleet.health.ejected_count(fleet.endpoints, rollout.build),
    }
}

fn failure_counts(arm: Arm) -> FailureCounts {
    FailureCounts {
        failures: arm.failures,
        outcomes: arm.outcomes,
    }
}
