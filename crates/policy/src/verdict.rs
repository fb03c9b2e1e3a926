//! The rejection of a build, and what is told of it.

use crate::balancer::{Balancer, Rollout};
use crate::decisions::{ALPHA, BETA, EVIDENCE_PARAMETERS};
use crate::evidence::Evidence;
use crate::host::DecisionSink;
use crate::statistics::{Arm, Arms, WaldBounds};
use crate::types::{EvidenceTest, FailureShare, RollbackVerdict};

impl Balancer {
    /// Notes that a build is bad and reports on which evidence, once for each build.
    pub(crate) fn reject_build(
        &mut self,
        rollout: Rollout,
        test: EvidenceTest,
        evidence: &Evidence,
        score: f64,
        sink: &mut dyn DecisionSink,
    ) {
        let Rollout { build, stage, .. } = rollout;
        if self.evaluation.rejected_build == Some(build) {
            return;
        }
        self.evaluation.rejected_build = Some(build);
        self.evaluation.rejected_at = self.clock.now;
        let ejected = self.endpoints.iter().filter(|endpoint| {
            endpoint.health.ejected && endpoint.build == build && endpoint.is_ready()
        });
        let Arms {
            candidate,
            baseline,
        } = evidence.tested(test);
        let [max_restored, _] = EVIDENCE_PARAMETERS.max_restored;
        let restored = evidence.restored_candidate(test).outcomes;
        sink.report_rollback_verdict(&RollbackVerdict {
            build,
            stage,
            test,
            candidate: failure_share(candidate),
            baseline: failure_share(baseline),
            restored_outcomes: restored.min(max_restored),
            score,
            bound: WaldBounds::new(ALPHA, BETA).upper,
            alpha: ALPHA,
            beta: BETA,
            ejected_endpoints: ejected.count(),
        });
    }
}

fn failure_share(arm: Arm) -> FailureShare {
    FailureShare {
        failures: arm.failures,
        outcomes: arm.outcomes,
    }
}
