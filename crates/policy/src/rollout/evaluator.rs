//! Evaluation of the newest build by one-sided sequential tests (SPRT-z), which may end in the
//! verdict that it must be rolled back.

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
use crate::statistics::{
    ArmVariances, EvidenceTestMap, OutcomeCounts, OutcomeKey, Scores, WaldBounds,
};
use crate::step_context::StepContext;
use crate::types::{
    BuildNumber, EndpointIndex, EvidenceTest, RollbackVerdict, StageIndex, Timestamp,
};

/// A response that a client has flagged as wrong after receiving it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlaggedResponse {
    /// The endpoint that sent the response.
    pub(crate) endpoint: EndpointIndex,
    /// The process that runs at the endpoint now.
    pub(crate) process: Process,
    pub(crate) responded_at: Timestamp,
}

/// A build that the evaluation has rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) build: BuildNumber,
    pub(crate) rejected_at: Timestamp,
}

/// A build that was rejected before this instance restarted, as restored from the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RestoredRejection {
    build: BuildNumber,
    /// When the rejection expires.
    until: Timestamp,
}

/// A build, and a stage at which this instance no longer holds it: it may advance from this stage
/// even if a test has a positive score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReleasedHold {
    build: BuildNumber,
    stage: StageIndex,
}

/// The result of the last evaluation of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assessment {
    /// This instance has rejected the build since it started.
    pub(crate) is_rejected: bool,
    /// No test had a positive score, or the hold has been released. Otherwise this instance holds
    /// the build: it keeps the build at its present stage.
    pub(crate) may_advance: bool,
}

/// Collects the evidence on builds and evaluates the newest one.
#[derive(Debug, Default)]
pub(crate) struct Evaluator {
    outcomes: OutcomeTable,
    crashes: CrashTracker,
    fleet_baseline: FleetBaseline,
    /// Variances that the previous evaluation estimated in each test.
    previous_variances: EvidenceTestMap<Option<ArmVariances>>,
    rejection: Option<Rejection>,
    restored_rejection: Option<RestoredRejection>,
    released_hold: Option<ReleasedHold>,
    /// At least one test had a positive score in the last evaluation, or the build was rejected
    /// before a restart. The build is then held at its present stage until the hold is released.
    score_is_positive: bool,
}

/// Recording of evidence.
impl Evaluator {
    /// Initializes the state of an endpoint that has been assigned this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.crashes.add_endpoint(index);
    }

    /// Records the outcome of an attempt that has ended or timed out in each test for which it is
    /// evidence.
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

    /// Records a response that a client has flagged. It adds a failure but no outcome, because the
    /// outcome was counted when the attempt ended.
    pub(crate) fn record_flagged_response(&mut self, flagged: FlaggedResponse, now: Timestamp) {
        let started_at = flagged.process.started_at.unwrap_or_default();
        if flagged.responded_at < started_at + START_UP_GRACE_PERIOD {
            return;
        }
        let key = OutcomeKey {
            build: flagged.process.build,
            endpoint: flagged.endpoint,
        };
        for test in [EvidenceTest::Failures, EvidenceTest::Errors] {
            self.outcomes.record_late_failure(key, test, now);
        }
    }

    /// Starts the rollout of a newer build: records the present state of the fleet as the baseline
    /// for that build.
    pub(crate) fn begin_rollout(
        &mut self,
        endpoints_in_service: usize,
        attempts_per_second: f64,
        now: Timestamp,
    ) {
        self.previous_variances = EvidenceTestMap::default();
        let mut baseline = FleetBaseline {
            arm: self.outcomes.drain_fleet_outcomes(now),
            taken_at: now,
            endpoints: endpoints_in_service,
            attempts_per_second,
        };
        baseline.keep_previous_arm_if_sparse(&self.fleet_baseline);
        self.fleet_baseline = baseline;
    }

    /// Discards the fleet's latencies when a build is rolled back: they are distorted by that build
    /// and must not become the baseline of the next one.
    pub(crate) fn discard_fleet_outcomes(&mut self, now: Timestamp) {
        self.outcomes.drain_fleet_outcomes(now);
    }

    /// Removes outcome counts that have decayed to a negligible amount.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.outcomes.remove_expired(now);
    }

    /// Returns whether there are outcome counts of this endpoint.
    pub(crate) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.outcomes.refers_to(endpoint)
    }

    /// Returns the number of pairs of build and endpoint for which this instance has counted
    /// outcomes since it started.
    pub(crate) fn outcome_key_count(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns the state of the fleet before the rollout.
    pub(crate) fn fleet_baseline(&self) -> &FleetBaseline {
        &self.fleet_baseline
    }
}

/// Evaluation.
impl Evaluator {
    /// Runs all tests on the newest build. Returns a verdict if this evaluation rejects the build;
    /// a build is rejected only once.
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
        let instance_count_margin = instance_count_margin(bounds, &context.settings);
        let mut releases_hold = now >= rollout.since + MAX_HOLD_TIME;
        // A build that was rejected before a restart counts as having a positive score, so that it
        // is held for as long as a hold may last if it is rolled out again.
        self.score_is_positive = self.was_rejected_before_restart(rollout.build, now);
        let mut verdict = None;
        for test in EvidenceTest::ALL {
            let Some(scores) = self.scores(&evidence, test) else {
                continue;
            };
            let score = scores.mixture - evidence_margin(&evidence, test) - instance_count_margin;
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
            let is_failures_test = test == EvidenceTest::Failures;
            releases_hold |= is_failures_test && scores.minimum_effect <= bounds.lower;
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

    /// Marks a build as rejected. Returns false if it was the rejected build already.
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

    /// Returns the build that this instance rejected last; `None` if it has rejected none since it
    /// started.
    pub(crate) fn rejected_build(&self) -> Option<BuildNumber> {
        self.rejection.map(|rejection| rejection.build)
    }

    fn was_rejected_before_restart(&self, build: BuildNumber, now: Timestamp) -> bool {
        self.restored_rejection
            .is_some_and(|restored| restored.build == build && now < restored.until)
    }

    /// Returns the result of the last evaluation for a build at its present stage.
    pub(crate) fn assessment(&self, rollout: Rollout) -> Assessment {
        let Rollout { build, stage, .. } = rollout;
        let hold_is_released = self.released_hold == Some(ReleasedHold { build, stage });
        Assessment {
            is_rejected: self.rejected_build() == Some(build),
            may_advance: hold_is_released || !self.score_is_positive,
        }
    }
}

/// Reading state for a snapshot, and restoring it.
impl Evaluator {
    /// Returns keys with outcomes, in order from `from` on. The limit applies separately to own and
    /// to restored outcomes, so that up to twice as many keys may be returned.
    pub(crate) fn outcome_keys_from(&self, from: OutcomeKey, limit: usize) -> Vec<OutcomeKey> {
        self.outcomes.keys_from(from, limit)
    }

    /// Returns the outcomes of one build and endpoint, including restored ones.
    pub(crate) fn total_outcomes(&mut self, key: OutcomeKey, now: Timestamp) -> OutcomeCounts {
        self.outcomes.total(key, now)
    }

    /// Restores outcomes that were counted before a restart.
    pub(crate) fn restore_outcomes(&mut self, key: OutcomeKey, counts: OutcomeCounts) {
        self.outcomes.restore(key, counts);
    }

    /// Restores the fleet baseline of a rollout that is still in progress after a restart.
    pub(crate) fn restore_fleet_baseline(&mut self, baseline: FleetBaseline) {
        self.fleet_baseline = baseline;
    }

    /// Returns the last rejection, by this instance or, if it has not expired, from before its
    /// restart. `retention` is the time for which a restored rejection is kept.
    pub(crate) fn last_rejection(&self, retention: Duration, now: Timestamp) -> Option<Rejection> {
        let restored = self
            .restored_rejection
            .filter(|restored| now < restored.until);
        let restored = restored.map(|restored| Rejection {
            build: restored.build,
            rejected_at: restored.until - retention,
        });
        self.rejection.or(restored)
    }

    /// Restores the rejection of a build from before a restart; it applies until `until`.
    pub(crate) fn restore_rejection(&mut self, build: BuildNumber, until: Timestamp) {
        self.restored_rejection = Some(RestoredRejection { build, until });
    }
}

/// Returns the margin that is subtracted from a score before it is compared with the upper bound,
/// so that false votes of many instances seldom suffice for a rollback. [`evidence_margin`] is
/// subtracted as well.
fn instance_count_margin(bounds: WaldBounds, settings: &Settings) -> f64 {
    let instances = f64::from(settings.instance_count);
    let votes = f64::from(settings.rollback_votes.max(1));
    bounds.instance_margin(instances, votes, SQRT_VOTES_OFFSET)
}

/// Returns whether the outcomes since the restart agree with a rejection that also counts restored
/// outcomes. The conditions behind the restored ones may have ended, so this instance must itself
/// have observed a failure and a higher failure share than the baseline's.
fn own_outcomes_agree(evidence: &Evidence, test: EvidenceTest) -> bool {
    let own = evidence.own_candidate(test);
    let is_worse = own.failure_share() > evidence.tested(test).baseline.failure_share();
    own.failures >= 1.0 && is_worse || evidence.restored_candidate(test).outcomes == 0.0
}

/// Returns the margin that is subtracted from a score, in addition to [`instance_count_margin`],
/// because of its test and evidence. It grows as the outcomes come from fewer endpoints, because a
/// single endpoint may be affected by a noisy neighbour.
fn evidence_margin(evidence: &Evidence, test: EvidenceTest) -> f64 {
    // Without a concurrent baseline, the errors may have been caused by a few endpoints rather than
    // by the build, so the larger margin applies.
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
