//! One concurrency limit, which adapts to how latencies compare with their objective.

use std::time::Duration;

use crate::statistics::{DecayingMean, TimeConstant};
use crate::types::Timestamp;

/// Over what time the share of slow responses is averaged.
const SLOW_SHARE_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(1);
/// The share of its latency objective that a response should take at most; the limit follows it.
const TARGET_LATENCY_RATIO: f64 = 0.25;
/// The limit is congested while more than this share of the responses is slow.
const CONGESTED_SLOW_SHARE: f64 = 0.5;
/// A congested limit shrinks by this factor.
const DECREASE_FACTOR: f64 = 0.8;
/// A limit is kept near what is in use: at this multiple of it, and a few attempts more.
const HEADROOM_FACTOR: f64 = 2.0;
const HEADROOM_ATTEMPTS: f64 = 4.0;
/// A limit counts as used up while fewer than this number of attempts are left.
const SATURATION_MARGIN: f64 = 2.0;
/// An unused limit shrinks by this factor at most in one evaluation.
const MAX_IDLE_DECREASE_FACTOR: f64 = 0.95;
/// No limit shrinks below one attempt.
const MIN_LIMIT: f64 = 1.0;

/// How a latency compares with its objective, and how much was in flight meanwhile.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitSample {
    /// The latency as a fraction of the objective.
    pub(super) ratio: f64,
    /// The objective.
    pub(super) objective: Duration,
    /// Attempts in flight under the limit.
    pub(super) in_flight: f64,
}

/// How many attempts may be in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    /// Only whole attempts count.
    limit: f64,
    last_decreased_at: Timestamp,
    /// Responses that took too large a share of their objective, out of all responses.
    slow_responses: DecayingMean,
}

impl ConcurrencyLimit {
    /// A limit with nothing learned yet.
    pub(super) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            last_decreased_at: Timestamp::ZERO,
            slow_responses: DecayingMean::new(SLOW_SHARE_TIME_CONSTANT),
        }
    }

    /// Whether one more attempt is within the limit.
    pub(super) fn admits(&self, in_flight: f64) -> bool {
        in_flight < self.limit.floor()
    }

    /// More than half of the responses took too large a share of their objective.
    pub(super) fn is_congested(&self) -> bool {
        let responses = self.slow_responses.last_read();
        responses.sum > CONGESTED_SLOW_SHARE * responses.weight
    }

    /// More than one in `responses_per_slow` responses took too large a share of their objective.
    pub(super) fn exceeds_one_slow_per(&self, responses_per_slow: f64) -> bool {
        let responses = self.slow_responses.last_read();
        responses_per_slow * responses.sum > responses.weight
    }

    /// Adapts the limit to a response. It grows where it is used up while responses are quick, and
    /// shrinks under congestion once in half a latency objective.
    pub(super) fn record(&mut self, observed: LimitSample, now: Timestamp) {
        let is_slow = observed.ratio > TARGET_LATENCY_RATIO;
        self.slow_responses.add(f64::from(is_slow), now);
        let is_congested = self.is_congested();
        if is_congested && now >= self.last_decreased_at + observed.objective / 2 {
            let in_use = self.limit.min(with_headroom(observed.in_flight));
            self.limit = (in_use * DECREASE_FACTOR).max(MIN_LIMIT);
            self.last_decreased_at = now;
        } else if !is_congested && observed.in_flight + SATURATION_MARGIN >= self.limit {
            self.limit += 1.0 / self.limit;
        }
    }

    /// Lowers an unused limit to near what is in use: a limit far above it would let a queue build
    /// up on endpoints under congestion.
    pub(super) fn lower_idle_limit(&mut self, in_flight: f64) {
        let lowest_limit = MAX_IDLE_DECREASE_FACTOR * self.limit;
        self.limit = self.limit.min(with_headroom(in_flight).max(lowest_limit));
    }

    /// Raises the limit to at least this.
    pub(super) fn raise_to(&mut self, minimum: f64) {
        self.limit = self.limit.max(minimum);
    }
}

/// A little above what is in use.
fn with_headroom(in_flight: f64) -> f64 {
    HEADROOM_FACTOR * in_flight + HEADROOM_ATTEMPTS
}
