//! The state of the fleet before the rollout, with which the fleet is compared during the rollout.

use std::time::Duration;

use super::parameters::{MIN_FLEET_OUTCOMES, PRIOR_FAILURES, PRIOR_OUTCOMES};
use super::status::Rollout;
use crate::health::InServiceCounts;
use crate::statistics::{Arm, DecayingRate, TimeConstant};
use crate::step_context::StepContext;
use crate::types::Timestamp;

/// Time constant of the exponentially weighted rate of attempts.
const ATTEMPTS_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// The shortest time over which the rate of attempts is computed.
const MIN_ATTEMPTS_LIFETIME: Duration = Duration::from_secs(1);
/// The fleet is comparable with its baseline only while the number of endpoints in service is at
/// least this many tenths of the number at the time of the baseline.
const MIN_ENDPOINT_TENTHS: usize = 9;
/// The fleet is comparable with its baseline only while this instance sends attempts at no more
/// than this multiple of its rate at the time of the baseline, plus two standard errors of that
/// rate.
const MAX_RATE_FACTOR: f64 = 1.2;
const MICROS_PER_SECOND: f64 = 1e6;

/// The state of the fleet before the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetBaseline {
    /// The responses, and the slow ones among them as failures.
    pub(crate) arm: Arm,
    pub(crate) taken_at: Timestamp,
    /// Number of endpoints in service at `taken_at`.
    pub(crate) endpoints: usize,
    /// Rate at which this instance sent attempts at `taken_at`.
    pub(crate) attempts_per_second: f64,
}

impl Default for FleetBaseline {
    /// Creates a baseline without responses, with which any rate of attempts is comparable.
    fn default() -> FleetBaseline {
        FleetBaseline {
            arm: Arm::default(),
            taken_at: Timestamp::ZERO,
            endpoints: 0,
            attempts_per_second: f64::INFINITY,
        }
    }
}

impl FleetBaseline {
    /// Keeps the responses of the previous baseline if there have been too few since then.
    pub(super) fn keep_previous_arm_if_sparse(&mut self, previous: &FleetBaseline) {
        let needed = previous.arm.outcomes.min(MIN_FLEET_OUTCOMES);
        let has_enough = self.arm.outcomes >= needed;
        if !has_enough {
            self.arm = previous.arm;
        }
    }

    /// Returns the arm for the fleet slowdown test. [`PRIOR_OUTCOMES`] responses, of which
    /// [`PRIOR_FAILURES`] are slow, are added as a prior, so that the share of slow ones is
    /// plausible even if there were few responses.
    pub(super) fn arm_with_prior(&self) -> Arm {
        let mut arm = self.arm;
        arm.add(PRIOR_OUTCOMES, PRIOR_FAILURES);
        arm
    }

    /// Returns whether the endpoints in service and the rate at which this instance sends attempts
    /// are comparable with the baseline.
    fn is_comparable(&self, in_service: InServiceCounts, attempts_per_second: f64) -> bool {
        // The variance of an exponentially weighted rate of independent events is the rate divided
        // by twice the time constant in seconds.
        let scaled_rate =
            self.attempts_per_second * MICROS_PER_SECOND / ATTEMPTS_TIME_CONSTANT.as_micros();
        let sampling_error = 2.0 * (scaled_rate / 2.0).sqrt();
        let max_rate = MAX_RATE_FACTOR * self.attempts_per_second + sampling_error;
        in_service.total() * 10 >= self.endpoints * MIN_ENDPOINT_TENTHS
            && attempts_per_second <= max_rate
            && in_service.candidate > 0
    }
}

/// The state of the fleet when an attempt is sent.
#[derive(Debug)]
pub(crate) struct FleetState<'a> {
    /// The rollout of the newest build.
    pub(crate) rollout: Option<Rollout>,
    pub(crate) in_service: InServiceCounts,
    /// No rollout is in progress or ended recently, and most responses are fast.
    pub(crate) is_steady: bool,
    pub(crate) baseline: &'a FleetBaseline,
}

/// Decides whether the fleet can be compared with its state before the rollout.
#[derive(Debug)]
pub(crate) struct FleetComparison {
    attempts: DecayingRate,
}

impl FleetComparison {
    /// Creates the comparison of an instance that has not sent any attempts.
    pub(crate) fn new() -> FleetComparison {
        FleetComparison {
            attempts: DecayingRate::new(ATTEMPTS_TIME_CONSTANT, MIN_ATTEMPTS_LIFETIME),
        }
    }

    /// Counts an attempt towards the rate of attempts.
    pub(crate) fn record_attempt(&mut self, now: Timestamp) {
        self.attempts.record(now);
    }

    /// Returns the rate at which this instance sends attempts.
    pub(crate) fn attempts_per_second(&mut self, context: &StepContext) -> f64 {
        self.attempts.per_second(context.uptime(), context.now)
    }

    /// Returns whether slow responses can be compared with those before the rollout. Lost
    /// endpoints, a traffic surge, and congestion from before the build starts serving also slow
    /// down the fleet, and are not evidence about the build.
    pub(crate) fn is_comparable(&mut self, fleet: &FleetState<'_>, context: &StepContext) -> bool {
        let attempts_per_second = self.attempts_per_second(context);
        let is_serving = |rollout: Rollout| rollout.phase.is_serving();
        let may_be_comparable = fleet.rollout.is_some_and(is_serving);
        fleet.is_steady
            || may_be_comparable
                && fleet
                    .baseline
                    .is_comparable(fleet.in_service, attempts_per_second)
    }
}
