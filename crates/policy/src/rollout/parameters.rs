//! Parameters of the evaluation.

use std::time::Duration;

use crate::statistics::{
    EvidenceTestMap, FailureFrequency, ScoreParameters, TestParameters, TimeConstant,
};

/// False-positive rate (rollbacks of good builds) for which the bounds are chosen; specified by the
/// operators.
pub(super) const ALPHA: f64 = 0.05;
/// False-negative rate (missed bad builds) for which the bounds are chosen; specified by the
/// operators.
pub(super) const BETA: f64 = 0.20;

/// Number of outcomes that a baseline needs before a test computes a score.
const MIN_OUTCOMES: f64 = 20.0;

/// Parameters of the test for failures of any kind. Late and lost responses are also caused by
/// endpoints, the network and load, so the score must exceed the bound by a margin.
const FAILURES: TestParameters = TestParameters {
    minimum_effect: 0.03,
    failure_frequency: FailureFrequency::Rare(1.0),
    evidence_margin: 1.5,
    min_candidate_outcomes: 1.0,
    min_baseline_outcomes: MIN_OUTCOMES,
};

/// Parameters that differ between the tests, in the order failures, slowness, errors, fleet
/// slowdown.
pub(super) const TEST_PARAMETERS: EvidenceTestMap<TestParameters> = EvidenceTestMap::new([
    FAILURES,
    TestParameters {
        minimum_effect: 0.15,
        failure_frequency: FailureFrequency::Common,
        ..FAILURES
    },
    // Errors can also be compared with the time before the rollout, because neither overload nor
    // endpoint churn causes them. Without a concurrent baseline, the evidence margin of the
    // failures applies (see `evidence_margin` in the evaluator).
    TestParameters {
        failure_frequency: FailureFrequency::Rare(4.0),
        evidence_margin: 0.0,
        ..FAILURES
    },
    // A build may also slow down the endpoints of the previous build, which a concurrent comparison
    // does not show. The baseline needs more outcomes than the prior alone contributes, because an
    // instance that has started only recently does not know the time before the rollout.
    TestParameters {
        minimum_effect: 0.18,
        failure_frequency: FailureFrequency::Common,
        min_candidate_outcomes: 10.0,
        min_baseline_outcomes: MIN_OUTCOMES + 1.0,
        ..FAILURES
    },
]);

/// Parameters that all tests share.
pub(super) const SCORE_PARAMETERS: ScoreParameters = ScoreParameters {
    floor_share: 0.01,
    large_effect_factor: 4.0,
    large_effect_standard_errors: 3.0,
};

/// Time constants with which outcome counts decay, in the order of the tests. Without decay, the
/// good early outcomes of a build that degrades late would mask the degradation.
pub(super) const EVIDENCE_TIME_CONSTANTS: EvidenceTestMap<TimeConstant> = EvidenceTestMap::new([
    TimeConstant::from_secs(10),
    TimeConstant::from_secs(10),
    TimeConstant::from_secs(30),
    TimeConstant::from_secs(20),
]);

/// The test for a fleet slowdown uses the endpoints with the smallest shares of slow responses, up
/// to this fraction of all responses. A build that slows down the fleet affects most endpoints,
/// whereas a slowdown of only some may be due to a noisy neighbour.
pub(super) const BEST_ENDPOINTS_FRACTION: f64 = 0.67;

/// The largest number of outcomes from before a restart that count for the build under evaluation.
/// Restored outcomes shorten the time to a verdict, but never suffice for one.
pub(super) const MAX_RESTORED_CANDIDATE_OUTCOMES: f64 = MIN_OUTCOMES / 2.0;
/// The largest number of outcomes from before a restart that count for the baseline.
pub(super) const MAX_RESTORED_BASELINE_OUTCOMES: f64 = 2.0 * MIN_OUTCOMES;

/// Number of outcomes of the prior that is added to the fleet baseline, and to the baseline arm of
/// the test for errors while no baseline endpoint is in service.
pub(super) const PRIOR_OUTCOMES: f64 = MIN_OUTCOMES;
/// Failures among [`PRIOR_OUTCOMES`].
pub(super) const PRIOR_FAILURES: f64 = 0.15 * MIN_OUTCOMES;

/// Number of responses of a steady fleet that suffices to replace the fleet baseline of the
/// previous rollout. With fewer, the previous baseline is kept if it has more responses.
pub(super) const MIN_FLEET_OUTCOMES: f64 = 5.0 * MIN_OUTCOMES;

/// Relative increase of the evidence margin if all outcomes come from one endpoint. With more
/// endpoints, the increase is smaller.
pub(super) const CONCENTRATION_MARGIN_FACTOR: f64 = 2.0;

/// Offset that is subtracted from the square root of the number of votes that a rollback needs. The
/// square of the difference approximates the expected number of simultaneous false votes at which
/// that many or more occur with the probability [`ALPHA`]: the square root of a Poisson-distributed
/// number has a standard deviation of about 1/2, and the offset is half the 95% quantile of the
/// standard normal distribution.
pub(super) const SQRT_VOTES_OFFSET: f64 = 0.82;

/// Time since the start of a stage after which a hold is released at the latest. A hold keeps the
/// build at its present stage while a test has a positive score.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_secs(3);
