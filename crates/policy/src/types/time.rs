//! Points in time, and the conversion of durations to the microseconds that formulas work with.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in whole microseconds since an origin that the host chooses (the proxy: the
/// Unix epoch).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than any other; stands for "never".
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// This number of microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Microseconds since an earlier time; 0 if that is in fact later.
    pub const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Whole microseconds of a duration; one that does not fit counts as the longest.
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Whole microseconds of a duration as a number for formulas.
pub fn fractional_micros(duration: Duration) -> f64 {
    whole_micros(duration) as f64
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    /// Saturates at [`Timestamp::MAX`].
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(duration)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    /// Saturates at [`Timestamp::ZERO`].
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(duration)))
    }
}

impl Sub for Timestamp {
    type Output = Duration;
    /// The time from `earlier` to this one; zero if `earlier` is in fact later.
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }
}
