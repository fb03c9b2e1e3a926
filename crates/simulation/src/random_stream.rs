//! Seeded random number streams. Each part of the model has its own stream, so that additional
//! draws in one part do not change the draws of another.

use std::ops::Range;
use std::time::Duration;

use oorandom::Rand64;
use tidescale_policy::types::fractional_micros;

/// Numbers of the streams of a trial. Callers that draw trial cases use other numbers.
pub(crate) mod stream {
    /// Order of replacement, request rates and confounder times, drawn before a trial starts.
    pub(crate) const SET_UP: u64 = 1;
    /// Request arrivals, routes and retries of clients.
    pub(crate) const ARRIVALS: u64 = 2;
    /// Costs of attempts.
    pub(crate) const COSTS: u64 = 3;
    /// Outcomes of attempts.
    pub(crate) const OUTCOMES: u64 = 4;
    /// Message delays, and which responses carry a load report.
    pub(crate) const DELAYS: u64 = 5;
    /// Which endpoints a confounder impairs, and how severely.
    pub(crate) const CONFOUNDER: u64 = 6;
}

/// A stream of random numbers.
#[derive(Debug)]
pub struct RandomStream(Rand64);

impl RandomStream {
    /// Spreads adjacent seeds and stream numbers over the generator's 128-bit state. The constant
    /// is odd and derived from the golden ratio.
    const SEED_MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

    /// Creates the stream with this number for a seed.
    pub fn new(seed: u64, stream: u64) -> RandomStream {
        let seed_and_stream = u128::from(seed) << 64 | u128::from(stream);
        RandomStream(Rand64::new(
            seed_and_stream.wrapping_mul(Self::SEED_MULTIPLIER),
        ))
    }

    /// Returns a uniform number in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Returns true with this probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Returns a uniform number in the range.
    pub fn uniform_in(&mut self, range: Range<f64>) -> f64 {
        range.start + (range.end - range.start) * self.uniform()
    }

    /// Returns a uniform duration in the range, rounded down to whole microseconds.
    pub fn uniform_duration(&mut self, range: Range<Duration>) -> Duration {
        let micros = self.uniform_in(fractional_micros(range.start)..fractional_micros(range.end));
        Duration::from_micros(micros as u64)
    }

    /// Returns an index below `count`, or 0 if `count` is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        (self.0.rand_u64() % count.max(1) as u64) as usize
    }

    /// Returns an exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        /// Lower bound that keeps the logarithm finite.
        const MIN_UNIFORM: f64 = 1e-12;
        -mean * (1.0 - self.uniform()).max(MIN_UNIFORM).ln()
    }

    /// Returns a number from the Erlang distribution with shape 4 and mean 1: a sum of four
    /// exponentials, with a standard deviation of 0.5.
    pub fn unit_mean_erlang(&mut self) -> f64 {
        const TERMS: usize = 4;
        (0..TERMS)
            .map(|_| self.exponential(1.0 / TERMS as f64))
            .sum()
    }
}
