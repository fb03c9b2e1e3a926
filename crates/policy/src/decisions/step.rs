//! What runs when.

use std::time::Duration;

use crate::Balancer;
use crate::host::{DecisionSink, EventSource};
use crate::types::Timestamp;

/// Time between two evaluations of the build and of the endpoints.
pub(crate) const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time-outs and missed deadlines are noticed this late at most.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// A step that comes later than this was held up by the instance itself.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// After a failure the endpoint list is polled again after half to one and a half of these
/// microseconds.
const POLL_RETRY_INTERVAL: u64 = 1_000_000;

impl Balancer {
    /// Takes the events since the last step and decides what follows.
    pub fn step(
        &mut self,
        now: Timestamp,
        events: &mut dyn EventSource,
        sink: &mut dyn DecisionSink,
    ) {
        // An instance that stood still finds all events at once, late by its own doing.
        self.clock.stalled = now > self.schedule.wake_up_at + STALL_THRESHOLD;
        self.clock.now = now;
        events.deliver(self);
        if self.schedule.poll_at.take_if(|at| now >= *at).is_some() {
            sink.poll_endpoints();
        }
        if now >= self.schedule.swept_at + SWEEP_INTERVAL {
            self.schedule.swept_at = now;
            self.sweep(sink);
        }
        if now >= self.schedule.evaluated_at + EVALUATION_INTERVAL {
            self.schedule.evaluated_at = now;
            self.forget_expired();
            self.evaluate(sink);
            self.cast_vote(sink);
            self.check_endpoints(sink);
            self.lower_unused_limit();
        }
        self.keep_minimum_limit();
        self.serve_requests(sink);
        let next = self.requests.next_missed_objective(now);
        let is_idle = self.requests.is_empty();
        // A request that waits is given up as soon as its time is over, however little slack there
        // is.
        let pause = next.map_or(SWEEP_INTERVAL, |next| SWEEP_INTERVAL.min(next - now));
        let pause = if is_idle { EVALUATION_INTERVAL } else { pause };
        if self.schedule.wake_up_after(pause, now) {
            sink.schedule_wake_up(pause);
        }
    }

    /// Spreads the polls of all instances: one that failed has mostly failed for all of them.
    pub(crate) fn schedule_poll_after_failure(&mut self) {
        let jitter = self.random.rand_u64() % POLL_RETRY_INTERVAL;
        let delay = Duration::from_micros(POLL_RETRY_INTERVAL / 2 + jitter);
        let delay = delay.min(self.settings.max_poll_interval);
        self.schedule.poll_at = Some(self.clock.now + delay);
    }
}
