//! A mean in which old values count less and less.

use super::{DecayingSums, TimeConstant};
use crate::types::Timestamp;

/// A sum of values and the weight, usually the number, of these values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightedSum {
    /// The values, added up.
    pub sum: f64,
    /// How many they are, or another measure of how much they count.
    pub weight: f64,
}

impl WeightedSum {
    /// The mean with `prior_weight` values of `prior_mean` to start with.
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

/// A [`WeightedSum`] that decays.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    sums: DecayingSums<2>,
}

impl DecayingMean {
    /// Without any value yet.
    pub const fn new(time_constant: TimeConstant) -> DecayingMean {
        DecayingMean {
            sums: DecayingSums::new(time_constant),
        }
    }

    /// Adds one value.
    pub fn add(&mut self, value: f64, now: Timestamp) {
        self.sums.add([value, 1.0], now);
    }

    /// Adds values and their weight.
    pub fn add_weighted(&mut self, values: WeightedSum, now: Timestamp) {
        self.sums.add(values.into(), now);
    }

    /// The sums as of now.
    pub fn read(&mut self, now: Timestamp) -> WeightedSum {
        self.sums.read(now).into()
    }

    /// The sums as of the last time that they were read or added to.
    pub fn last_read(&self) -> WeightedSum {
        self.sums.last_read().into()
    }

    /// Replaces the sums by restored ones.
    pub fn set(&mut self, values: WeightedSum, now: Timestamp) {
        self.sums.set(values.into(), now);
    }

    /// Forgets all values.
    pub fn clear(&mut self) {
        self.sums.clear();
    }
}
