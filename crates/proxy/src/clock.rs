//! The clock of the proxy: Unix time at the start, advanced by the monotonic clock in whole
//! microseconds. It does not jump when the system time is adjusted.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tidescale_policy::types::Timestamp;

/// A monotonic clock of Unix time in microseconds.
pub struct Clock {
    monotonic_start: Instant,
    unix_start: Timestamp,
}

impl Clock {
    /// Starts a clock at the current system time, which is read only once.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            monotonic_start: Instant::now(),
            unix_start: Timestamp::ZERO + since_epoch,
        }
    }

    /// Returns the Unix time at the start plus the monotonic time since.
    pub fn now(&self) -> Timestamp {
        self.unix_start + self.monotonic_start.elapsed()
    }
}
