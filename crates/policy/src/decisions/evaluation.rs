//! Evaluation of the build: from evidence to a verdict, by the one-sided SPRT-z.

use std::time::Duration;

use crate::Balancer;
use crate::evidence::{Evidence, EvidenceParameters, TESTS};
use crate::host::DecisionSink;
use crate::statistics::{Rarity, ScoreParameters, TestParameters, WaldBounds};
use crate::types::EvidenceTest;

/// Rates of false alarms and of misses that the bounds stand for, after the design.
pub(crate) const ALPHA: f64 = 0.05;
pub(crate) const BETA: f64 = 0.20;
/// Outcomes of a baseline that make it one.
const MIN_OUTCOMES: f64 = 20.0;
/// Late and lost answers come of endpoints, links and load too, and must show by more than the
/// bounds.
const FAILURES: TestParameters = TestParameters {
    minimum_effect: 0.03,
    rarity: Rarity::Rare(1.0),
    evidence_margin: 1.5,
    min_candidate_outcomes: 1.0,
    min_baseline_outcomes: MIN_OUTCOMES,
};
/// By [`EvidenceTest::index`].
const PARAMETERS: [TestParameters; TESTS] = [
    FAILURES,
    TestParameters {
        minimum_effect: 0.15,
        rarity: Rarity::Common,
        ..FAILURES
    },
    // Errors are also compared across time: neither overload nor a swap of endpoints brings them.
    TestParameters {
        rarity: Rarity::Rare(4.0),
        evidence_margin: 0.0,
        ..FAILURES
    },
    // A build may slow the earlier one's endpoints too. An instance that started lately knows of no
    // time before.
    TestParameters {
        minimum_effect: 0.18,
        rarity: Rarity::Common,
        min_candidate_outcomes: 10.0,
        min_baseline_outcomes: MIN_OUTCOMES + 1.0,
        ..FAILURES
    },
];
const SCORE_PARAMETERS: ScoreParameters = ScoreParameters {
    floor_share: 0.01,
    large_effect_factor: 4.0,
    large_effect_errors: 3.0,
};
pub(crate) const EVIDENCE_PARAMETERS: EvidenceParameters = EvidenceParameters {
    // Evidence decays, or a build that turns bad late would hide behind its good start.
    decay_times: [10e6, 10e6, 30e6, 20e6],
    // A build that slows the fleet shows on most endpoints; what slows some may be a neighbour.
    fleet_share: 0.67,
    // They hasten a verdict and never carry it.
    max_restored: [MIN_OUTCOMES / 2.0, 2.0 * MIN_OUTCOMES],
    prior_outcomes: MIN_OUTCOMES,
    prior_failures: 0.15 * MIN_OUTCOMES,
    // After less than this in steady times the fleet baseline of before still counts.
    min_fleet_outcomes: 5.0 * MIN_OUTCOMES,
};
/// The evidence margin grows by so many times itself where one endpoint gave all outcomes.
const ENDPOINT_MARGIN_FACTOR: f64 = 2.0;
/// How rare it is that several instances vote at once, as a correction to the root of their number.
const VOTES_OFFSET: f64 = 0.82;
/// A hold is released so long after its stage began.
const HOLD_TIME: Duration = Duration::from_secs(3);

impl Balancer {
    /// Puts the newest build to all tests.
    pub(super) fn evaluate(&mut self, sink: &mut dyn DecisionSink) {
        let Some(rollout) = self.rollout else { return };
        let now = self.clock.now;
        let evidence = self.evaluation.gather(rollout.build, &self.endpoints, now);
        let bounds = WaldBounds::new(ALPHA, BETA);
        let instances = f64::from(self.settings.instance_count);
        let votes = f64::from(self.settings.rollback_votes.max(1));
        let instance_margin = bounds.instance_margin(instances, votes, VOTES_OFFSET);
        let mut releases_hold = now >= rollout.since + HOLD_TIME;
        // Offered again under its number, a build rejected before a restart is held while a hold
        // may last.
        let mut is_positive = self
            .evaluation
            .was_rejected_before_restart(rollout.build, now);
        for test in EvidenceTest::ALL {
            let parameters = &PARAMETERS[test.index()];
            let previous = &mut self.evaluation.previous_variances[test.index()];
            let arms = evidence.tested(test);
            let Some(scores) = parameters.scores(&SCORE_PARAMETERS, arms, previous) else {
                continue;
            };
            let score = scores.mixture - margin(&evidence, test) - instance_margin;
            if score >= bounds.upper && own_outcomes_agree(&evidence, test) {
                self.reject_build(rollout, test, &evidence, score, sink);
            }
            is_positive |= score > 0.0;
            let is_failures = test == EvidenceTest::Failures;
            releases_hold |= is_failures && scores.minimum_effect <= bounds.lower;
        }
        self.evaluation.score_is_positive = is_positive;
        if releases_hold {
            self.evaluation.released_hold = Some((rollout.build, rollout.stage));
        }
    }
}

/// What was seen before a restart may be over: this instance's own outcomes must say the same.
fn own_outcomes_agree(evidence: &Evidence, test: EvidenceTest) -> bool {
    let own = evidence.own_candidate(test);
    let is_worse = own.share() > evidence.tested(test).baseline.share();
    own.failures >= 1.0 && is_worse || evidence.restored_candidate(test).outcomes == 0.0
}

/// What one endpoint does may be its neighbour's doing: the fewer there are, the more margin is
/// left.
fn margin(evidence: &Evidence, test: EvidenceTest) -> f64 {
    // Errors with none of the same time beside them may be those of a few endpoints.
    let is_alone = test == EvidenceTest::Errors && evidence.candidate_is_alone;
    let doubted_as = if is_alone {
        EvidenceTest::Failures
    } else {
        test
    };
    let concentration = evidence.tested(test).candidate.concentration();
    let margin = PARAMETERS[doubted_as.index()].evidence_margin;
    margin * (1.0 + ENDPOINT_MARGIN_FACTOR * concentration)
}
