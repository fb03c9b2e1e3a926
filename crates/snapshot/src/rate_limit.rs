//! A token bucket that limits how much background work is done per second on average.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Lowest rate in tokens per second that waits are computed with, so that a rate of zero gives a
/// finite wait.
const MIN_RATE: f64 = 1e-9;
/// Longest wait in microseconds, about eleven days, so that any amount overspent gives a wait that
/// fits an integer.
const MAX_WAIT_MICROS: f64 = 1e12;

/// A token bucket that refills at a constant rate and holds at most one second's worth.
///
/// It may be overspent; then no tokens are available until the debt is refilled. While the clock
/// stops or runs backwards, nothing is refilled.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Tokens per second; also the capacity in tokens.
    rate: f64,
    /// Tokens left; negative after overspending.
    available: f64,
    updated_at: Timestamp,
}

impl RateLimit {
    /// A full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64, now: Timestamp) -> RateLimit {
        RateLimit {
            rate,
            available: rate,
            updated_at: now,
        }
    }

    /// Takes `amount` tokens, even if fewer are available.
    pub fn spend(&mut self, amount: f64, now: Timestamp) {
        self.refill(now);
        self.available -= amount;
    }

    /// Time until tokens are available; zero if some are available now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let missing = -self.available;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let micros = missing / self.rate.max(MIN_RATE) * MICROS_PER_SECOND;
        // Rounded up, so that tokens are available after the wait.
        Duration::from_micros(micros.min(MAX_WAIT_MICROS) as u64 + 1)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.micros_since(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.available = (self.available + elapsed * self.rate).min(self.rate);
        self.updated_at = self.updated_at.max(now);
    }
}
