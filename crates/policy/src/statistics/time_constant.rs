//! The time constant of exponential decay.

use std::time::Duration;

use crate::types::{Timestamp, fractional_micros};

const MICROS_PER_SECOND: f64 = 1e6;

/// The time in which a decaying sum falls to 1/e of its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeConstant {
    /// In microseconds, the unit used in all formulas.
    micros: f64,
}

impl TimeConstant {
    /// Creates a time constant of whole seconds.
    pub const fn from_secs(seconds: u32) -> TimeConstant {
        TimeConstant {
            micros: seconds as f64 * MICROS_PER_SECOND,
        }
    }

    /// Returns the fraction of a sum that remains after decaying from `earlier` to `later`.
    pub fn remaining_between(self, earlier: Timestamp, later: Timestamp) -> f64 {
        (-(later.micros_since(earlier) as f64) / self.micros).exp()
    }

    /// Returns the effective averaging time, in seconds, of a sum to which values have been added
    /// for `lifetime`.
    pub fn effective_seconds(self, lifetime: Duration) -> f64 {
        let remaining = (-fractional_micros(lifetime) / self.micros).exp();
        self.micros * (1.0 - remaining) / MICROS_PER_SECOND
    }

    /// Returns the time constant in microseconds.
    pub const fn as_micros(self) -> f64 {
        self.micros
    }
}
