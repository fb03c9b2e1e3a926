//! Seeded random draws. Each part of the model draws from a stream of its own, so that the draws of
//! one part do not change those of another.

use std::ops::Range;
use std::time::Duration;

use oorandom::Rand64;
use tidescale_policy::types::fractional_micros;

/// Numbers of the streams that a trial draws from. Callers that draw cases use other numbers.
pub(crate) mod stream {
    /// Sizes, rates and times that are fixed before a trial begins.
    pub(crate) const SET_UP: u64 = 1;
    /// Arrivals, routes and retries of clients.
    pub(crate) const ARRIVALS: u64 = 2;
    /// Costs of attempts.
    pub(crate) const COSTS: u64 = 3;
    /// Outcomes of attempts.
    pub(crate) const OUTCOMES: u64 = 4;
    /// Delays of messages, and which load reports are lost.
    pub(crate) const DELAYS: u64 = 5;
    /// Which endpoints a confounder impairs, and how severely.
    pub(crate) const CONFOUNDER: u64 = 6;
}

/// One stream of random draws.
#[derive(Debug)]
pub struct RandomStream(Rand64);

impl RandomStream {
    /// Spreads neighbouring seeds and streams over the generator's 128 bits of state (an odd
    /// constant, from the golden ratio).
    const SEED_MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

    /// The stream with this number of a seed.
    pub fn new(seed: u64, stream: u64) -> RandomStream {
        let seed_and_stream = u128::from(seed) << 64 | u128::from(stream);
        RandomStream(Rand64::new(
            seed_and_stream.wrapping_mul(Self::SEED_MULTIPLIER),
        ))
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// True with this probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Uniform in the range.
    pub fn uniform_in(&mut self, range: Range<f64>) -> f64 {
        range.start + (range.end - range.start) * self.uniform()
    }

    /// Uniform in the range, rounded down to whole microseconds.
    pub fn uniform_duration(&mut self, range: Range<Duration>) -> Duration {
        let micros = self.uniform_in(fractional_micros(range.start)..fractional_micros(range.end));
        Duration::from_micros(micros as u64)
    }

    /// An index below `count`; 0 if `count` is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        (self.0.rand_u64() % count.max(1) as u64) as usize
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        /// Keeps the logarithm finite.
        const MIN_UNIFORM: f64 = 1e-12;
        -mean * (1.0 - self.uniform()).max(MIN_UNIFORM).ln()
    }

    /// A sum of four exponentials: mean 1, standard deviation one half.
    pub fn unit_mean_erlang(&mut self) -> f64 {
        const TERMS: usize = 4;
        (0..TERMS)
            .map(|_| self.exponential(1.0 / TERMS as f64))
            .sum()
    }
}
