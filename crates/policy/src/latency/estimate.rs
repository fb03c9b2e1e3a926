//! The work of a request, and how long it is estimated to take.

use std::time::Duration;

use crate::types::{RouteIndex, fractional_micros};

/// The work of a request, as far as its latency depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWork {
    /// Its route.
    pub(crate) route: RouteIndex,
    /// Its cost.
    pub(crate) cost: f64,
}

/// An estimated latency, with fractions of a microsecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct LatencyEstimate {
    micros: f64,
}

impl LatencyEstimate {
    /// Longer than any other.
    pub(crate) const INFINITE: LatencyEstimate = LatencyEstimate {
        micros: f64::INFINITY,
    };

    /// An estimate in microseconds.
    pub(crate) const fn from_micros(micros: f64) -> LatencyEstimate {
        LatencyEstimate { micros }
    }

    /// In microseconds.
    pub(crate) const fn as_micros(self) -> f64 {
        self.micros
    }

    /// The ratio of a measured latency to this one.
    pub(crate) fn ratio_of(self, measured: Duration) -> f64 {
        fractional_micros(measured) / self.micros
    }

    /// This estimate times a factor.
    pub(crate) fn scaled(self, factor: f64) -> LatencyEstimate {
        LatencyEstimate {
            micros: self.micros * factor,
        }
    }
}
