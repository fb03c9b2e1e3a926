//! Points in time, and conversion of durations to microseconds, the unit of all formulas.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in whole microseconds since an origin that the host chooses. The proxy uses the
/// Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest timestamp; stands for "never".
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates the timestamp `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the microseconds from `earlier` to this time; 0 if `earlier` is later.
    pub const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Returns a duration in whole microseconds, saturating at [`u64::MAX`].
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole microseconds as a floating-point number, for formulas.
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
    /// Returns the duration from `earlier` to this time; zero if `earlier` is later.
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }
}
