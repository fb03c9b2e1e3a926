//! An exponentially weighted mean.

use super::{DecayingSums, TimeConstant};
use crate::types::Timestamp;

/// Numerator and denominator of a mean or a rate: `sum / weight`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightedSum {
    /// Sum of the values, which are not multiplied by their weights.
    pub sum: f64,
    /// Number of the values, or, for a rate, the time in seconds over which they were counted.
    pub weight: f64,
}

impl WeightedSum {
    /// Returns the mean, with a prior that weighs as much as `prior_weight` values of `prior_mean`.
    pub fn mean_with_prior(self, prior_mean: f64, prior_weight: f64) -> f64 {
        (self.sum + prior_weight * prior_mean) / (self.weight + prior_weight)
    }
}

impl From<[f64; 2]> for WeightedSum {
    fn from([sum, weight]: [f64; 2]) -> WeightedSum {
        WeightedSum { sum, weight }
    }
}

impl From<WeightedSum> for [f64; 2] {
    fn from(sums: WeightedSum) -> [f64; 2] {
        [sums.sum, sums.weight]
    }
}

/// A [`WeightedSum`] that decays exponentially, so that recent values dominate its mean.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    sums: DecayingSums<2>,
}

impl DecayingMean {
    /// Creates a mean without any values.
    pub const fn new(time_constant: TimeConstant) -> DecayingMean {
        DecayingMean {
            sums: DecayingSums::new(time_constant),
        }
    }

    /// Adds one value.
    pub fn add(&mut self, value: f64, now: Timestamp) {
        self.sums.add([value, 1.0], now);
    }

    /// Adds to the sum and to the weight.
    pub fn add_weighted(&mut self, values: WeightedSum, now: Timestamp) {
        self.sums.add(values.into(), now);
    }

    /// Decays the sums to the present time and returns them.
    pub fn read(&mut self, now: Timestamp) -> WeightedSum {
        self.sums.read(now).into()
    }

    /// Returns the sums as of the last call that read or changed them.
    pub fn last_read(&self) -> WeightedSum {
        self.sums.last_read().into()
    }

    /// Replaces the sums with restored ones.
    pub fn set(&mut self, values: WeightedSum, now: Timestamp) {
        self.sums.set(values.into(), now);
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.sums.clear();
    }
}
