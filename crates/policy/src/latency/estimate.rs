//! The work of a request, and estimates of its latency.

use std::time::Duration;

use crate::types::{RouteIndex, fractional_micros};

/// The properties of a request that determine its expected latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWork {
    pub(crate) route: RouteIndex,
    /// Amount of work; see [`Request::cost`](crate::requests::Request::cost).
    pub(crate) cost: f64,
}

/// An estimated latency, with a resolution finer than a microsecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct LatencyEstimate {
    micros: f64,
}

impl LatencyEstimate {
    /// A latency longer than any other; stands for an unknown latency.
    pub(crate) const INFINITE: LatencyEstimate = LatencyEstimate {
        micros: f64::INFINITY,
    };

    /// Creates an estimate from microseconds.
    pub(crate) const fn from_micros(micros: f64) -> LatencyEstimate {
        LatencyEstimate { micros }
    }

    /// Returns the estimate in microseconds.
    pub(crate) const fn as_micros(self) -> f64 {
        self.micros
    }

    /// Returns the ratio of a measured latency to this estimate.
    pub(crate) fn ratio_of(self, measured: Duration) -> f64 {
        fractional_micros(measured) / self.micros
    }

    /// Returns this estimate multiplied by a factor.
    pub(crate) fn scaled(self, factor: f64) -> LatencyEstimate {
        LatencyEstimate {
            micros: self.micros * factor,
        }
    }
}
