//! Sums that decay exponentially.

use super::TimeConstant;
use crate::types::Timestamp;

/// `N` sums that decay together with one time constant.
///
/// They are brought up to date when they are read or added to, so that an unused sum costs nothing.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSums<const N: usize> {
    updated_at: Timestamp,
    sums: [f64; N],
    time_constant: TimeConstant,
}

impl<const N: usize> DecayingSums<N> {
    /// Empty sums.
    pub const fn new(time_constant: TimeConstant) -> Self {
        DecayingSums {
            updated_at: Timestamp::ZERO,
            sums: [0.0; N],
            time_constant,
        }
    }

    /// Replaces the sums by restored ones.
    pub fn set(&mut self, sums: [f64; N], now: Timestamp) {
        self.sums = sums;
        self.updated_at = now;
    }

    /// The sums as of now.
    pub fn read(&mut self, now: Timestamp) -> [f64; N] {
        let remaining = self.time_constant.remaining_between(self.updated_at, now);
        self.sums = self.sums.map(|sum| sum * remaining);
        self.updated_at = now;
        self.sums
    }

    /// The sums as of the last time that they were read or added to.
    pub fn last_read(&self) -> [f64; N] {
        self.sums
    }

    /// Adds one value to each sum.
    pub fn add(&mut self, values: [f64; N], now: Timestamp) {
        self.read(now);
        for (sum, value) in self.sums.iter_mut().zip(values) {
            *sum += value;
        }
    }

    /// Empties the sums.
    pub fn clear(&mut self) {
        *self = DecayingSums::new(self.time_constant);
    }

    /// The time constant of all sums.
    pub fn time_constant(&self) -> TimeConstant {
        self.time_constant
    }
}
