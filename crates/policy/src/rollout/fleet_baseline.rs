//! The fleet as it was before the rollout, with which the whole fleet is compared during it.

use std::time::Duration;

use super::parameters::{MIN_FLEET_OUTCOMES, PRIOR_FAILURES, PRIOR_OUTCOMES};
use super::status::Rollout;
use crate::health::InServiceCounts;
use crate::statistics::{Arm, DecayingRate, TimeConstant};
use crate::step_context::StepContext;
use crate::types::Timestamp;

/// Over what time the rate of attempts is averaged, and for how long it counts as measured at
/// least.
const ATTEMPTS_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
const MIN_ATTEMPTS_LIFETIME: Duration = Duration::from_secs(1);
/// The fleet can be compared with its baseline while at least nine in ten of the endpoints of that
/// time are in service, …
const MIN_ENDPOINT_TENTHS: usize = 9;
/// … and while this instance sends at most this multiple of what it sent then, plus sampling error.
const MAX_RATE_FACTOR: f64 = 1.2;
const MICROS_PER_SECOND: f64 = 1e6;

/// The fleet before the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetBaseline {
    /// Slow responses and all responses.
    pub(crate) arm: Arm,
    /// When it was taken.
    pub(crate) taken_at: Timestamp,
    /// Endpoints in service then.
    pub(crate) endpoints: usize,
    /// Attempts a second that this instance sent then.
    pub(crate) attempts_per_second: f64,
}

impl Default for FleetBaseline {
    /// Nothing is known, and any rate is comparable.
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
    /// Keeps the responses of the previous baseline where there were few since.
    pub(super) fn keep_previous_arm_if_sparse(&mut self, previous: &FleetBaseline) {
        let needed = previous.arm.outcomes.min(MIN_FLEET_OUTCOMES);
        let has_enough = self.arm.outcomes >= needed;
        if !has_enough {
            self.arm = previous.arm;
        }
    }

    /// The arm for the test, to which a few outcomes with a usual share of slow ones are added in
    /// case there were few.
    pub(super) fn arm_with_prior(&self) -> Arm {
        let mut arm = self.arm;
        arm.add(PRIOR_OUTCOMES, PRIOR_FAILURES);
        arm
    }

    /// Whether the fleet and this instance's share of its load are comparable with the baseline.
    fn is_comparable(&self, in_service: InServiceCounts, attempts_per_second: f64) -> bool {
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
    /// The newest build's rollout.
    pub(crate) rollout: Option<Rollout>,
    /// Endpoints in service.
    pub(crate) in_service: InServiceCounts,
    /// No rollout is in progress, and most responses are quick.
    pub(crate) is_steady: bool,
    /// The fleet before the rollout.
    pub(crate) baseline: &'a FleetBaseline,
}

/// Decides whether the state of the fleet allows a comparison with the time before the rollout.
#[derive(Debug)]
pub(crate) struct FleetComparison {
    attempts: DecayingRate,
}

impl FleetComparison {
    /// Of an instance that has sent nothing yet.
    pub(crate) fn new() -> FleetComparison {
        FleetComparison {
            attempts: DecayingRate::new(ATTEMPTS_TIME_CONSTANT, MIN_ATTEMPTS_LIFETIME),
        }
    }

    /// An attempt has been sent.
    pub(crate) fn record_attempt(&mut self, now: Timestamp) {
        self.attempts.record(now);
    }

    /// Attempts that this instance sends a second.
    pub(crate) fn attempts_per_second(&mut self, context: &StepContext) -> f64 {
        self.attempts.per_second(context.uptime(), context.now)
    }

    /// Whether slow responses can be compared with those before the rollout. Lost endpoints, a
    /// traffic surge, and congestion from before the build serves slow down the fleet too, and are
    /// no evidence about the build.
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
