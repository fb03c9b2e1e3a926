//! Tuned values of the evaluation.

use std::time::Duration;

use crate::statistics::{PerTest, Rarity, ScoreParameters, TestParameters, TimeConstant};

/// Rate of false alarms for which the bounds are chosen, from the operators' design.
pub(super) const ALPHA: f64 = 0.05;
/// Rate of missed bad builds for which the bounds are chosen, from the operators' design.
pub(super) const BETA: f64 = 0.20;

/// Outcomes that a baseline needs.
const MIN_OUTCOMES: f64 = 20.0;

/// Failures of any kind. Late and lost responses are also caused by endpoints, links and load, so
/// the score must exceed the bound by a margin.
const FAILURES: TestParameters = TestParameters {
    minimum_effect: 0.03,
    rarity: Rarity::Rare(1.0),
    evidence_margin: 1.5,
    min_candidate_outcomes: 1.0,
    min_baseline_outcomes: MIN_OUTCOMES,
};

/// What differs from test to test: failures, slowness, errors, fleet slowdown.
pub(super) const TEST_PARAMETERS: PerTest<TestParameters> = PerTest::new([
    FAILURES,
    TestParameters {
        minimum_effect: 0.15,
        rarity: Rarity::Common,
        ..FAILURES
    },
    // Errors are also compared across time: neither overload nor endpoint churn causes them.
    // Without a concurrent baseline they get the margin of the failures (`evidence_margin` in the
    // evaluator).
    TestParameters {
        rarity: Rarity::Rare(4.0),
        evidence_margin: 0.0,
        ..FAILURES
    },
    // A build may slow down the endpoints of the previous one too. An instance that has started
    // only recently does not know the time before the rollout.
    TestParameters {
        minimum_effect: 0.18,
        rarity: Rarity::Common,
        min_candidate_outcomes: 10.0,
        min_baseline_outcomes: MIN_OUTCOMES + 1.0,
        ..FAILURES
    },
]);

/// What all tests share.
pub(super) const SCORE_PARAMETERS: ScoreParameters = ScoreParameters {
    floor_share: 0.01,
    large_effect_factor: 4.0,
    large_effect_standard_errors: 3.0,
};

/// How fast outcomes lose their weight: without decay, a build that turns bad late would be hidden
/// by its good start.
pub(super) const EVIDENCE_TIME_CONSTANTS: PerTest<TimeConstant> = PerTest::new([
    TimeConstant::from_secs(10),
    TimeConstant::from_secs(10),
    TimeConstant::from_secs(30),
    TimeConstant::from_secs(20),
]);

/// A build that slows down the fleet is seen on most endpoints; what slows down some of them may be
/// a noisy neighbour. The endpoints with the smallest shares of slow responses count, up to this
/// share of all responses.
pub(super) const BEST_ENDPOINTS_FRACTION: f64 = 0.67;

/// Outcomes from before a restart count up to this number for the build under evaluation, …
pub(super) const MAX_RESTORED_CANDIDATE_OUTCOMES: f64 = MIN_OUTCOMES / 2.0;
/// … and up to this one for the baseline: they speed up a verdict and never suffice for one.
pub(super) const MAX_RESTORED_BASELINE_OUTCOMES: f64 = 2.0 * MIN_OUTCOMES;

/// Outcomes that are added to the fleet baseline, and to the baseline of errors while no endpoint
/// of it is in service, …
pub(super) const PRIOR_OUTCOMES: f64 = MIN_OUTCOMES;
/// … and the failures among them.
pub(super) const PRIOR_FAILURES: f64 = 0.15 * MIN_OUTCOMES;

/// Responses of a steady fleet that replace the fleet baseline of the rollout before; with fewer,
/// the earlier one stays.
pub(super) const MIN_FLEET_OUTCOMES: f64 = 5.0 * MIN_OUTCOMES;

/// The evidence margin grows by this multiple of itself where one endpoint gave all outcomes.
pub(super) const CONCENTRATION_MARGIN_FACTOR: f64 = 2.0;

/// Correction to the root of the number of votes, for how rarely several instances vote
/// simultaneously.
pub(super) const SQRT_VOTES_OFFSET: f64 = 0.82;

/// A hold is released at the latest this long after its stage began.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_secs(3);
