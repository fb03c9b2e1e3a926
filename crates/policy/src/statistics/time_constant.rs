//! The speed at which sums decay.

use std::time::Duration;

use crate::types::{Timestamp, fractional_micros};

const MICROS_PER_SECOND: f64 = 1e6;

/// The time in which a decaying sum falls to 1/e of its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeConstant {
    /// In microseconds, the unit of all formulas.
    micros: f64,
}

impl TimeConstant {
    /// A time constant of whole seconds.
    pub const fn from_secs(seconds: u32) -> TimeConstant {
        TimeConstant {
            micros: seconds as f64 * MICROS_PER_SECOND,
        }
    }

    /// The fraction of a sum of `earlier` that is left at `later`.
    pub fn remaining_between(self, earlier: Timestamp, later: Timestamp) -> f64 {
        (-(later.micros_since(earlier) as f64) / self.micros).exp()
    }

    /// The seconds over which a sum that has been added to for `lifetime` effectively averages.
    pub fn effective_seconds(self, lifetime: Duration) -> f64 {
        let remaining = (-fractional_micros(lifetime) / self.micros).exp();
        self.micros * (1.0 - remaining) / MICROS_PER_SECOND
    }

    /// In microseconds.
    pub const fn as_micros(self) -> f64 {
        self.micros
    }
}
