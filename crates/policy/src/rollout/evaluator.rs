//! Evaluation of the newest build: from evidence to a verdict, by the one-sided sequential test
//! (SPRT-z).

use std::time::Duration;

use super::attempt_conditions::START_UP_GRACE_PERIOD;
use super::evidence::{AttemptEvidence, CrashTracker, classify_attempt};
use super::fleet_baseline::FleetBaseline;
use super::fleet_view::FleetView;
use super::outcome_table::{Evidence, OutcomeTable};
use super::parameters::{
    ALPHA, BETA, CONCENTRATION_MARGIN_FACTOR, MAX_HOLD_TIME, SCORE_PARAMETERS, SQRT_VOTES_OFFSET,
    TEST_PARAMETERS,
};
use super::status::Rollout;
use super::verdict::{TestResult, rollback_verdict};
use crate::endpoints::Process;
use crate::settings::Settings;
use crate::statistics::{ArmVariances, OutcomeCounts, OutcomeKey, PerTest, Scores, WaldBounds};
use crate::step_context::StepContext;
use crate::types::{
    BuildNumber, EndpointIndex, EvidenceTest, RollbackVerdict, StageIndex, Timestamp,
};

/// An answer about which a client has complained.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlaggedAnswer {
    /// The endpoint that gave it.
    pub(crate) endpoint: EndpointIndex,
    /// The process that runs there.
    pub(crate) process: Process,
    /// When it was given.
    pub(crate) answered_at: Timestamp,
}

/// A build that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The build.
    pub(crate) build: BuildNumber,
    /// When it was rejected.
    pub(crate) rejected_at: Timestamp,
}

/// A build that was rejected before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RestoredRejection {
    build: BuildNumber,
    /// Until when the build is held for it.
    until: Timestamp,
}

/// A stage at which the hold of a build has been released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReleasedHold {
    build: BuildNumber,
    stage: StageIndex,
}

/// What the evaluation says about the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assessment {
    /// It has been rejected.
    pub(crate) is_rejected: bool,
    /// Nothing speaks against it, or its hold has been released.
    pub(crate) may_advance: bool,
}

/// Collects the evidence on builds and evaluates the newest one.
#[derive(Debug, Default)]
pub(crate) struct Evaluator {
    outcomes: OutcomeTable,
    crashes: CrashTracker,
    fleet_baseline: FleetBaseline,
    /// Variances of the previous evaluation.
    previous_variances: PerTest<Option<ArmVariances>>,
    rejection: Option<Rejection>,
    restored_rejection: Option<RestoredRejection>,
    released_hold: Option<ReleasedHold>,
    /// The score of a test was above zero in the last evaluation.
    score_is_positive: bool,
}

/// Recording of evidence.
impl Evaluator {
    /// A new endpoint has taken this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.crashes.add_endpoint(index);
    }

    /// Records an attempt that has ended or timed out, in the tests for which it is evidence.
    pub(crate) fn record_attempt(&mut self, evidence: &AttemptEvidence<'_>, context: &StepContext) {
        let is_failure =
            classify_attempt(evidence, &mut self.crashes, &self.fleet_baseline, context);
        if let Some(is_failure) = is_failure {
            let attempt = evidence.attempt;
            let key = OutcomeKey {
                build: attempt.process.build,
                endpoint: attempt.endpoint,
            };
            self.outcomes.record(key, is_failure, context.now);
        }
    }

    /// Records a client's complaint about an answer: a failure whose outcome has been counted.
    pub(crate) fn record_flagged_answer(&mut self, answer: FlaggedAnswer, now: Timestamp) {
        let started_at = answer.process.started_at.unwrap_or_default();
        if answer.answered_at < started_at + START_UP_GRACE_PERIOD {
            return;
        }
        let key = OutcomeKey {
            build: answer.process.build,
            endpoint: answer.endpoint,
        };
        for test in [EvidenceTest::Failures, EvidenceTest::Errors] {
            self.outcomes.record_late_failure(key, test, now);
        }
    }

    /// A newer build is offered: it will be compared with the present state of the fleet.
    pub(crate) fn begin_rollout(
        &mut self,
        endpoints_in_service: usize,
        attempts_per_second: f64,
        now: Timestamp,
    ) {
        self.previous_variances = PerTest::default();
        let mut baseline = FleetBaseline {
            arm: self.outcomes.take_fleet_arm(now),
            taken_at: now,
            endpoints: endpoints_in_service,
            attempts_per_second,
        };
        baseline.keep_previous_arm_if_sparse(&self.fleet_baseline);
        self.fleet_baseline = baseline;
    }

    /// A build is being rolled back: what it has done to the fleet is no baseline for the next.
    pub(crate) fn discard_fleet_outcomes(&mut self, now: Timestamp) {
        self.outcomes.take_fleet_arm(now);
    }

    /// Drops evidence of which next to nothing is left.
    pub(crate) fn forget_expired(&mut self, now: Timestamp) {
        self.outcomes.forget_expired(now);
    }

    /// Whether there is evidence of this endpoint.
    pub(crate) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.outcomes.refers_to(endpoint)
    }

    /// Number of pairs of build and endpoint with outcomes of this instance.
    pub(crate) fn outcome_key_count(&self) -> usize {
        self.outcomes.len()
    }

    /// The fleet before the rollout.
    pub(crate) fn fleet_baseline(&self) -> &FleetBaseline {
        &self.fleet_baseline
    }
}

/// Evaluation.
impl Evaluator {
    /// Puts the newest build to all tests. Returns the verdict if the build is rejected now; each
    /// build is rejected once.
    pub(crate) fn evaluate(
        &mut self,
        rollout: Rollout,
        fleet: FleetView<'_>,
        context: &StepContext,
    ) -> Option<RollbackVerdict> {
        let now = context.now;
        let mut evidence = self.outcomes.evidence(rollout.build, fleet, now);
        evidence.set_fleet_baseline(self.fleet_baseline.arm_with_prior());
        let bounds = WaldBounds::new(ALPHA, BETA);
        let instance_margin = instance_margin(bounds, &context.settings);
        let mut releases_hold = now >= rollout.since + MAX_HOLD_TIME;
        // A build that is offered again after it was rejected before a restart is held for as long
        // as a hold may last.
        self.score_is_positive = self.was_rejected_before_restart(rollout.build, now);
        let mut verdict = None;
        for test in EvidenceTest::ALL {
            let Some(scores) = self.scores(&evidence, test) else {
                continue;
            };
            let score = scores.mixture - evidence_margin(&evidence, test) - instance_margin;
            if score >= bounds.upper
                && own_outcomes_agree(&evidence, test)
                && self.reject(rollout.build, now)
            {
                let result = TestResult {
                    test,
                    score,
                    bounds,
                };
                verdict = Some(rollback_verdict(rollout, result, &evidence, fleet));
            }
            self.score_is_positive |= score > 0.0;
            let is_failures = test == EvidenceTest::Failures;
            releases_hold |= is_failures && scores.minimum_effect <= bounds.lower;
        }
        if releases_hold {
            self.release_hold(rollout);
        }
        verdict
    }

    fn release_hold(&mut self, rollout: Rollout) {
        let Rollout { build, stage, .. } = rollout;
        self.released_hold = Some(ReleasedHold { build, stage });
    }

    fn scores(&mut self, evidence: &Evidence, test: EvidenceTest) -> Option<Scores> {
        let previous = &mut self.previous_variances[test];
        TEST_PARAMETERS[test].scores(&SCORE_PARAMETERS, evidence.tested(test), previous)
    }

    /// Notes that a build is rejected. Returns whether it was not before.
    fn reject(&mut self, build: BuildNumber, now: Timestamp) -> bool {
        if self.rejected_build() == Some(build) {
            return false;
        }
        self.rejection = Some(Rejection {
            build,
            rejected_at: now,
        });
        true
    }

    /// The build that was rejected last.
    pub(crate) fn rejected_build(&self) -> Option<BuildNumber> {
        self.rejection.map(|rejection| rejection.build)
    }

    fn was_rejected_before_restart(&self, build: BuildNumber, now: Timestamp) -> bool {
        self.restored_rejection
            .is_some_and(|restored| restored.build == build && now < restored.until)
    }

    /// What the last evaluation says about a build at its stage.
    pub(crate) fn assessment(&self, rollout: Rollout) -> Assessment {
        let Rollout { build, stage, .. } = rollout;
        let hold_is_released = self.released_hold == Some(ReleasedHold { build, stage });
        Assessment {
            is_rejected: self.rejected_build() == Some(build),
            may_advance: hold_is_released || !self.score_is_positive,
        }
    }
}

/// Reading and restoring for snapshots.
impl Evaluator {
    /// Up to `limit` pairs of build and endpoint with outcomes, from this one on. There may be up
    /// to twice as many, since own and restored outcomes are looked up separately.
    pub(crate) fn outcome_keys_from(&self, from: OutcomeKey, limit: usize) -> Vec<OutcomeKey> {
        self.outcomes.keys_from(from, limit)
    }

    /// Outcomes of one build and endpoint, including restored ones.
    pub(crate) fn total_outcomes(&mut self, key: OutcomeKey, now: Timestamp) -> OutcomeCounts {
        self.outcomes.total(key, now)
    }

    /// Restores outcomes from before a restart.
    pub(crate) fn restore_outcomes(&mut self, key: OutcomeKey, counts: OutcomeCounts) {
        self.outcomes.restore(key, counts);
    }

    /// Restores the fleet baseline of a rollout that continues.
    pub(crate) fn restore_fleet_baseline(&mut self, baseline: FleetBaseline) {
        self.fleet_baseline = baseline;
    }

    /// The build that was rejected last, by this instance or before its restart.
    pub(crate) fn last_rejection(&self, memory: Duration, now: Timestamp) -> Option<Rejection> {
        let restored = self
            .restored_rejection
            .filter(|restored| now < restored.until);
        let restored = restored.map(|restored| Rejection {
            build: restored.build,
            rejected_at: restored.until - memory,
        });
        self.rejection.or(restored)
    }

    /// Restores that a build was rejected before a restart.
    pub(crate) fn restore_rejection(&mut self, build: BuildNumber, until: Timestamp) {
        self.restored_rejection = Some(RestoredRejection { build, until });
    }
}

/// The margin for the number of instances that vote.
fn instance_margin(bounds: WaldBounds, settings: &Settings) -> f64 {
    let instances = f64::from(settings.instance_count);
    let votes = f64::from(settings.rollback_votes.max(1));
    bounds.instance_margin(instances, votes, SQRT_VOTES_OFFSET)
}

/// Conditions from before a restart may have ended: this instance's own outcomes must show the same
/// direction.
fn own_outcomes_agree(evidence: &Evidence, test: EvidenceTest) -> bool {
    let own = evidence.own_candidate(test);
    let is_worse = own.failure_share() > evidence.tested(test).baseline.failure_share();
    own.failures >= 1.0 && is_worse || evidence.restored_candidate(test).outcomes == 0.0
}

/// By how much the score must exceed the bound. The fewer endpoints the outcomes come from, the
/// larger is the margin: a single endpoint may be affected by a noisy neighbour.
fn evidence_margin(evidence: &Evidence, test: EvidenceTest) -> f64 {
    // Without concurrent outcomes of the previous build, errors may be caused by a few endpoints.
    let lacks_baseline = test == EvidenceTest::Errors && evidence.lacks_baseline_endpoints;
    let margin_test = if lacks_baseline {
        EvidenceTest::Failures
    } else {
        test
    };
    let margin = TEST_PARAMETERS[margin_test].evidence_margin;
    let concentration = evidence.tested(test).candidate.concentration();
    margin * (1.0 + CONCENTRATION_MARGIN_FACTOR * concentration)
}
