//! An exponentially weighted rate of events.

use std::time::Duration;

use super::{DecayingSums, TimeConstant};
use crate::types::Timestamp;

/// Counts events and computes their rate, in which old events lose weight exponentially.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    count: DecayingSums<1>,
    min_lifetime: Duration,
}

impl DecayingRate {
    /// Creates a rate without any events. It is computed over at least `min_lifetime`, so that the
    /// rate is not excessive after the first events.
    pub const fn new(time_constant: TimeConstant, min_lifetime: Duration) -> DecayingRate {
        DecayingRate {
            count: DecayingSums::new(time_constant),
            min_lifetime,
        }
    }

    /// Records one event.
    pub fn record(&mut self, now: Timestamp) {
        self.count.add([1.0], now);
    }

    /// Returns the events per second, given that events have been recorded for `lifetime`.
    pub fn per_second(&mut self, lifetime: Duration, now: Timestamp) -> f64 {
        let [count] = self.count.read(now);
        let lifetime = lifetime.max(self.min_lifetime);
        count / self.count.time_constant().effective_seconds(lifetime)
    }
}
