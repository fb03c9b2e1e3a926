//! What is due when.

use std::time::Duration;

use crate::types::Timestamp;

/// What is due when.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// The endpoint list is to be polled then.
    pub poll_at: Option<Timestamp>,
    /// The last sweep.
    pub swept_at: Timestamp,
    /// The last evaluation.
    pub evaluated_at: Timestamp,
    /// The step that was asked for next.
    pub wake_up_at: Timestamp,
}

impl Schedule {
    /// Of an instance that starts now.
    pub fn new(now: Timestamp, poll_endpoints: bool) -> Self {
        Schedule {
            poll_at: poll_endpoints.then_some(now),
            swept_at: Timestamp::ZERO,
            evaluated_at: now,
            wake_up_at: now,
        }
    }

    /// Notes the next step; whether it has to be asked for, since none is that comes as early.
    pub(crate) fn wake_up_after(&mut self, pause: Duration, now: Timestamp) -> bool {
        let is_earlier = now >= self.wake_up_at || now + pause < self.wake_up_at;
        if is_earlier {
            self.wake_up_at = now + pause;
        }
        is_earlier
    }
}
