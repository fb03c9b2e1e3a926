//! A single concurrency limit that adapts to the ratio of observed latency to latency objective.

use std::time::Duration;

use crate::statistics::{DecayingMean, TimeConstant};
use crate::types::Timestamp;

/// Time constant of the moving average of the share of slow responses.
const SLOW_SHARE_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(1);
/// A response counts as slow if its latency exceeds this fraction of its latency objective.
const SLOW_LATENCY_RATIO: f64 = 0.25;
/// The limit is congested while the share of slow responses exceeds this threshold.
const CONGESTED_SLOW_SHARE: f64 = 0.5;
/// A congested limit is multiplied by this factor.
const DECREASE_FACTOR: f64 = 0.8;
/// A limit is idle if it exceeds this multiple of the attempts in flight plus
/// [`HEADROOM_ATTEMPTS`]. It is lowered towards that value.
const HEADROOM_FACTOR: f64 = 2.0;
/// Number of attempts that is added to [`HEADROOM_FACTOR`] times the attempts in flight.
const HEADROOM_ATTEMPTS: f64 = 4.0;
/// A limit is saturated while it leaves room for at most this many further attempts.
const SATURATION_MARGIN: f64 = 2.0;
/// One evaluation multiplies an idle limit by no less than this factor.
const MAX_IDLE_DECREASE_FACTOR: f64 = 0.95;
/// A decrease under congestion leaves a limit of at least one attempt.
const MIN_LIMIT: f64 = 1.0;

/// Input to a concurrency limit: a latency relative to its objective and the concurrent load.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitSample {
    /// Latency divided by the objective.
    pub(super) ratio: f64,
    /// Latency objective of the route.
    pub(super) objective: Duration,
    /// Number of attempts in flight that count towards the limit.
    pub(super) in_flight: f64,
}

/// An adaptive limit on the number of attempts in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    /// Current limit; fractional while it adapts, and rounded down when it is applied.
    limit: f64,
    last_decreased_at: Timestamp,
    /// Slow responses as a share of all responses.
    slow_responses: DecayingMean,
}

impl ConcurrencyLimit {
    /// Creates a limit with an initial value and no recorded responses.
    pub(super) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            last_decreased_at: Timestamp::ZERO,
            slow_responses: DecayingMean::new(SLOW_SHARE_TIME_CONSTANT),
        }
    }

    /// Returns whether the limit allows one more attempt.
    pub(super) fn admits(&self, in_flight: f64) -> bool {
        in_flight < self.limit.floor()
    }

    /// Returns whether the share of slow responses exceeds [`CONGESTED_SLOW_SHARE`].
    pub(super) fn is_congested(&self) -> bool {
        let responses = self.slow_responses.last_read();
        responses.sum > CONGESTED_SLOW_SHARE * responses.weight
    }

    /// Returns whether more than one in `responses_per_slow` responses is slow.
    pub(super) fn exceeds_one_slow_per(&self, responses_per_slow: f64) -> bool {
        let responses = self.slow_responses.last_read();
        responses_per_slow * responses.sum > responses.weight
    }

    /// Adapts the limit to the result of an attempt. A saturated limit increases while there is no
    /// congestion. A congested limit decreases at most once per half latency objective.
    pub(super) fn record(&mut self, observed: LimitSample, now: Timestamp) {
        let is_slow = observed.ratio > SLOW_LATENCY_RATIO;
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

    /// Gradually lowers an idle limit towards the attempts in flight plus headroom. A limit far
    /// above actual use would let queues build up at the endpoints once congestion sets in.
    pub(super) fn lower_idle_limit(&mut self, in_flight: f64) {
        let lowest_limit = MAX_IDLE_DECREASE_FACTOR * self.limit;
        self.limit = self.limit.min(with_headroom(in_flight).max(lowest_limit));
    }

    /// Raises the limit to at least `minimum`.
    pub(super) fn raise_to(&mut self, minimum: f64) {
        self.limit = self.limit.max(minimum);
    }
}

/// Returns the value above which a limit counts as idle; see [`HEADROOM_FACTOR`].
fn with_headroom(in_flight: f64) -> f64 {
    HEADROOM_FACTOR * in_flight + HEADROOM_ATTEMPTS
}
