//! Concurrency limits: how many attempts may be in flight, at each endpoint and in all, learned
//! from how answers compare with the latency objective.

use std::time::Duration;

use crate::Balancer;
use crate::endpoints::DecayTimes;
use crate::statistics::DecayingSums;
use crate::types::{AttemptOutcome, Timestamp};

/// The share of a route's latency objective that an answer should take; limits follow it.
pub const TARGET_LATENCY_RATIO: f64 = 0.25;
/// A congested limit shrinks to this share, …
const DECREASE_FACTOR: f64 = 0.8;
/// … and the limit in all to no less than this share in one evaluation, while it is not used.
const UNUSED_DECREASE_FACTOR: f64 = 0.95;
/// A limit is kept near what is in use: at this times that, and a few attempts more.
const USED_FACTOR: f64 = 2.0;
const USED_MARGIN: f64 = 4.0;
/// A limit counts as used up while fewer than so many attempts are left.
const NEARLY_USED: f64 = 2.0;
/// Attempts from all instances that each endpoint in service takes in any jam: fewer would leave
/// slow ones idle.
const MIN_ATTEMPTS_PER_ENDPOINT: f64 = 2.0;

/// How many attempts may be in flight, learned from how answers compare with the latency objective.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    /// The limit; only whole attempts count.
    pub limit: f64,
    /// When it was last decreased.
    pub last_decreased_at: Timestamp,
    /// Answers that took too large a part of their objective, and answers.
    pub latency_ratio: DecayingSums<2>,
}

impl ConcurrencyLimit {
    /// A limit with nothing learned yet.
    pub fn new(limit: f64, decay_times: DecayTimes) -> Self {
        let latency_ratio = DecayingSums::new(decay_times.latency_ratios);
        ConcurrencyLimit {
            limit,
            last_decreased_at: Timestamp::ZERO,
            latency_ratio,
        }
    }

    /// More than half of the answers took too large a part of their objective.
    pub fn is_congested(&self) -> bool {
        let [slow, all] = self.latency_ratio.last_read();
        slow > 0.5 * all
    }

    /// Whether one attempt more is within the limit.
    pub fn admits(&self, in_flight: f64) -> bool {
        in_flight < self.limit.floor()
    }
}

impl Balancer {
    /// What an outcome says of the concurrency limits, there and in all: a thin instance learns
    /// only from all.
    pub(crate) fn update_limits(
        &mut self,
        id: u64,
        index: usize,
        outcome: AttemptOutcome,
        micros: u64,
    ) {
        let tells = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::Overloaded | AttemptOutcome::TimedOut
        );
        if self.clock.stalled || !tells {
            return;
        }
        let now = self.clock.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let objective = self.objective_micros(request.route);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let latency_ratio = if succeeded {
            micros as f64 / objective as f64
        } else {
            1.0
        };
        let endpoint = &mut self.endpoints[index];
        adapt_limit(
            &mut endpoint.limit,
            latency_ratio,
            endpoint.in_flight,
            now,
            objective,
        );
        if outcome != AttemptOutcome::TimedOut {
            let traffic = &mut self.traffic;
            adapt_limit(
                &mut traffic.limit,
                latency_ratio,
                traffic.in_flight,
                now,
                objective,
            );
        }
    }

    /// Not far above what is in use: a jam must not find room for its queue.
    pub(crate) fn lower_unused_limit(&mut self) {
        let limit = self.traffic.limit.limit;
        let used = USED_FACTOR * self.traffic.in_flight + USED_MARGIN;
        self.traffic.limit.limit = limit.min(used.max(UNUSED_DECREASE_FACTOR * limit));
    }

    /// What this instance may have in flight in any jam; no limit holds after a stall, which looks
    /// like one.
    pub(crate) fn keep_minimum_limit(&mut self) {
        let in_service = self.endpoints.in_service(0).total() as f64;
        let instances = f64::from(self.settings.instance_count);
        let minimum = MIN_ATTEMPTS_PER_ENDPOINT * in_service / instances;
        let minimum = if self.clock.stalled {
            f64::INFINITY
        } else {
            minimum
        };
        self.traffic.limit.limit = self.traffic.limit.limit.max(minimum);
    }
}

/// A limit grows where it is used up while answers are quick, and shrinks in a jam once in half an
/// objective.
fn adapt_limit(
    limit: &mut ConcurrencyLimit,
    latency_ratio: f64,
    in_flight: f64,
    now: Timestamp,
    objective: u64,
) {
    let is_slow = f64::from(latency_ratio > TARGET_LATENCY_RATIO);
    limit.latency_ratio.add([is_slow, 1.0], now);
    let is_congested = limit.is_congested();
    if is_congested && now >= limit.last_decreased_at + Duration::from_micros(objective / 2) {
        let used = limit.limit.min(USED_FACTOR * in_flight + USED_MARGIN);
        limit.limit = (used * DECREASE_FACTOR).max(1.0);
        limit.last_decreased_at = now;
    } else if !is_congested && in_flight + NEARLY_USED >= limit.limit {
        limit.limit += 1.0 / limit.limit;
    }
}
