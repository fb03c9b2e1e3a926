//! A token bucket that limits the average amount of background work per second.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

const MICROS_PER_SECOND: f64 = 1e6;
/// Minimum rate, in tokens per second, for computing waits, so that a rate of zero gives a finite
/// wait.
const MIN_RATE: f64 = 1e-9;
/// Maximum wait, in microseconds (about eleven days), so that the wait fits an integer for any
/// overspent amount.
const MAX_WAIT_MICROS: f64 = 1e12;

/// A token bucket that refills at a constant rate and holds at most the tokens of one second.
///
/// The balance may become negative; then no tokens are available until it is refilled above zero.
/// No tokens are added while the clock stops or runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Tokens per second; also the capacity in tokens.
    rate: f64,
    /// Tokens left; negative after overspending.
    available: f64,
    updated_at: Timestamp,
}

impl RateLimit {
    /// Creates a full bucket that refills at `rate` tokens per second.
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
