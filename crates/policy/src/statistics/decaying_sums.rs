//! Sums that decay exponentially.

use crate::types::Timestamp;

/// `N` sums that decay together with one time constant.
///
/// They are brought up to date when they are read, so that a sum that nobody reads costs nothing.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSums<const N: usize> {
    updated_at: Timestamp,
    sums: [f64; N],
    /// In microseconds, as all times in formulas.
    decay_time: f64,
}

impl<const N: usize> DecayingSums<N> {
    /// Empty sums that fall to 1/e in `decay_time` microseconds.
    pub const fn new(decay_time: f64) -> Self {
        DecayingSums {
            updated_at: Timestamp::ZERO,
            sums: [0.0; N],
            decay_time,
        }
    }

    /// Replaces the sums by those of another time or place.
    pub fn set(&mut self, sums: [f64; N], now: Timestamp) {
        self.sums = sums;
        self.updated_at = now;
    }

    /// The sums as of now.
    pub fn read(&mut self, now: Timestamp) -> [f64; N] {
        let elapsed = now.micros_since(self.updated_at) as f64;
        let kept = (-elapsed / self.decay_time).exp();
        self.sums = self.sums.map(|sum| sum * kept);
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
        *self = DecayingSums::new(self.decay_time);
    }

    /// Seconds that the sums stand for, if they have been added to for so many microseconds.
    pub fn span_seconds(&self, lived_micros: u64) -> f64 {
        self.decay_time * (1.0 - (-(lived_micros as f64) / self.decay_time).exp()) / 1e6
    }
}
