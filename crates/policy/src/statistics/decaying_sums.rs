//! Exponentially decaying sums.

use super::TimeConstant;
use crate::types::Timestamp;

/// `N` sums that decay with the same time constant.
///
/// The decay is applied lazily, when the sums are read or added to, so that unused sums take no
/// CPU time.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSums<const N: usize> {
    updated_at: Timestamp,
    sums: [f64; N],
    time_constant: TimeConstant,
}

impl<const N: usize> DecayingSums<N> {
    /// Creates sums of zero.
    pub const fn new(time_constant: TimeConstant) -> Self {
        DecayingSums {
            updated_at: Timestamp::ZERO,
            sums: [0.0; N],
            time_constant,
        }
    }

    /// Replaces the sums with restored ones.
    pub fn set(&mut self, sums: [f64; N], now: Timestamp) {
        self.sums = sums;
        self.updated_at = now;
    }

    /// Decays the sums to the present time and returns them.
    pub fn read(&mut self, now: Timestamp) -> [f64; N] {
        let remaining = self.time_constant.remaining_between(self.updated_at, now);
        self.sums = self.sums.map(|sum| sum * remaining);
        self.updated_at = now;
        self.sums
    }

    /// Returns the sums as of the last call that read or changed them.
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

    /// Resets the sums to zero.
    pub fn clear(&mut self) {
        *self = DecayingSums::new(self.time_constant);
    }

    /// Returns the time constant with which the sums decay.
    pub fn time_constant(&self) -> TimeConstant {
        self.time_constant
    }
}
