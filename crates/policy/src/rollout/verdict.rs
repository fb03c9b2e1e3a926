//! Builds the verdict that a build must be rolled back, with the evidence for it.

use super::fleet_view::FleetView;
use super::outcome_table::Evidence;
use super::parameters::{ALPHA, BETA};
use super::status::Rollout;
use crate::statistics::{Arm, WaldBounds};
use crate::types::{EvidenceTest, FailureCounts, RollbackVerdict};

/// The result of a test whose score has reached the upper bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct TestResult {
    pub(super) test: EvidenceTest,
    /// The score, reduced by all margins.
    pub(super) score: f64,
    /// The bounds with which the score was compared.
    pub(super) bounds: WaldBounds,
}

/// Returns the verdict that rejects the build of a rollout because of the given test result.
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
