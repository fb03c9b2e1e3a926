//! The rate of events, in which old events count less and less.

use std::time::Duration;

use super::{DecayingSums, TimeConstant};
use crate::types::Timestamp;

/// Counts events and gives their rate.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    count: DecayingSums<1>,
    min_lifetime: Duration,
}

impl DecayingRate {
    /// Without any event yet. The rate counts as measured for at least `min_lifetime`, so that
    /// the first events do not look like a surge.
    pub const fn new(time_constant: TimeConstant, min_lifetime: Duration) -> DecayingRate {
        DecayingRate {
            count: DecayingSums::new(time_constant),
            min_lifetime,
        }
    }

    /// Counts one event.
    pub fn record(&mut self, now: Timestamp) {
        self.count.add([1.0], now);
    }

    /// Events a second, if events have been counted for `lifetime`.
    pub fn per_second(&mut self, lifetime: Duration, now: Timestamp) -> f64 {
        let [count] = self.count.read(now);
        let lifetime = lifetime.max(self.min_lifetime);
        count / self.count.time_constant().effective_seconds(lifetime)
    }
}
