//! Schedule of an instance's periodic work: polls, sweeps, evaluations and wake-ups.

use std::time::Duration;

use oorandom::Rand64;

use crate::types::Timestamp;

/// Interval between evaluations of the build and of the endpoints' health.
pub(crate) const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between sweeps for timeouts and missed latency objectives: the longest delay until one
/// is noticed.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// A step that runs later than this after its wake-up time is attributed to a stall of the process.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// Mean delay until the endpoint list is polled again after a failed poll, in microseconds. The
/// delay is uniformly distributed between 0.5 and 1.5 times this value.
const POLL_RETRY_MICROS: u64 = 1_000_000;

/// Times at which the periodic work of an instance is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// Time of the next poll of the endpoint list, if one is scheduled.
    poll_at: Option<Timestamp>,
    swept_at: Timestamp,
    evaluated_at: Timestamp,
    /// Time of the next step that was requested from the host.
    wake_up_at: Timestamp,
}

impl Schedule {
    /// Creates the schedule of an instance that starts now.
    pub(crate) fn new(now: Timestamp, poll_endpoints: bool) -> Self {
        Schedule {
            poll_at: poll_endpoints.then_some(now),
            swept_at: Timestamp::ZERO,
            evaluated_at: now,
            wake_up_at: now,
        }
    }

    /// Returns whether a step at `now` is so late that the process must have been stalled.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        now > self.wake_up_at + STALL_THRESHOLD
    }

    /// Returns the time of the next step that was requested from the host.
    pub(crate) fn wake_up_at(&self) -> Timestamp {
        self.wake_up_at
    }

    /// Returns whether a poll is due and, if so, marks it as done.
    pub(crate) fn take_due_poll(&mut self, now: Timestamp) -> bool {
        self.poll_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns whether a sweep is due and, if so, marks it as done.
    pub(crate) fn take_due_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.swept_at + SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// Returns whether an evaluation is due and, if so, marks it as done.
    pub(crate) fn take_due_evaluation(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.evaluated_at + EVALUATION_INTERVAL;
        if is_due {
            self.evaluated_at = now;
        }
        is_due
    }

    /// Schedules the next poll after a failed one, at most `max_interval` from now. The delay is
    /// random, because a failed poll has usually failed for all instances simultaneously and their
    /// retries would coincide.
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

    /// Sets the time of the next step to `delay` from now, unless a step at that time or earlier is
    /// already requested. Returns whether the host must be asked for the new step.
    pub(crate) fn update_wake_up(&mut self, delay: Duration, now: Timestamp) -> bool {
        let is_earlier = now >= self.wake_up_at || now + delay < self.wake_up_at;
        if is_earlier {
            self.wake_up_at = now + delay;
        }
        is_earlier
    }
}
