//! The proxy's clock: Unix time at the start, advanced by the monotonic clock. It never jumps when the system's time is
//! set, and gives whole microseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tidescale_policy::types::Timestamp;

/// Tells the time in Unix microseconds, without jumps.
pub struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// A clock that reads the system's time once, now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_at: Timestamp::ZERO + since_epoch,
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.started_at + self.started.elapsed()
    }
}
