//! When an instance polls, sweeps, evaluates and wakes up.

use std::time::Duration;

use oorandom::Rand64;

use crate::types::Timestamp;

/// Time between two evaluations of the build and of the endpoints' health.
pub(crate) const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time-outs and missed objectives are noticed at most this late.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// A step that comes later than this after its wake-up was delayed by a stall of the process.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// After a failure the endpoint list is polled again after half to one and a half times this, in
/// microseconds.
const POLL_RETRY_MICROS: u64 = 1_000_000;

/// When the periodic work of an instance is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// When the endpoint list is to be polled.
    poll_at: Option<Timestamp>,
    swept_at: Timestamp,
    evaluated_at: Timestamp,
    /// The requested next step.
    wake_up_at: Timestamp,
}

impl Schedule {
    /// Of an instance that starts now.
    pub(crate) fn new(now: Timestamp, poll_endpoints: bool) -> Self {
        Schedule {
            poll_at: poll_endpoints.then_some(now),
            swept_at: Timestamp::ZERO,
            evaluated_at: now,
            wake_up_at: now,
        }
    }

    /// A step at `now` comes so late that the process must have been stalled.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        now > self.wake_up_at + STALL_THRESHOLD
    }

    /// The requested next step.
    pub(crate) fn wake_up_at(&self) -> Timestamp {
        self.wake_up_at
    }

    /// Whether a poll is due; it counts as made.
    pub(crate) fn take_due_poll(&mut self, now: Timestamp) -> bool {
        self.poll_at.take_if(|at| now >= *at).is_some()
    }

    /// Whether a sweep is due; it counts as made.
    pub(crate) fn take_due_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.swept_at + SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// Whether an evaluation is due; it counts as made.
    pub(crate) fn take_due_evaluation(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.evaluated_at + EVALUATION_INTERVAL;
        if is_due {
            self.evaluated_at = now;
        }
        is_due
    }

    /// Schedules the next poll after a failed one. The delay is random, since a poll that has
    /// failed has mostly failed for all instances simultaneously.
    pub(crate) fn retry_poll(
        &mut self,
        max_interval: Duration,
        random: &mut Rand64,
        now: Timestamp,
    ) {
        let jitter = random.rand_u64() % POLL_RETRY_MICROS;
        let delay = Duration::from_micros(POLL_RETRY_MICROS / 2 + jitter);
        self.poll_at = Some(now + delay.min(max_interval));
    }

    /// Notes the next step. Returns whether it must be requested, since none is that comes as
    /// early.
    pub(crate) fn update_wake_up(&mut self, delay: Duration, now: Timestamp) -> bool {
        let is_earlier = now >= self.wake_up_at || now + delay < self.wake_up_at;
        if is_earlier {
            self.wake_up_at = now + delay;
        }
        is_earlier
    }
}
