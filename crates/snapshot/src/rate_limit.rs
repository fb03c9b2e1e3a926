//! A token bucket that limits the average amount of background work per second.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

const MICROS_PER_SECOND: f64 = 1e6;
/// Minimum rate for computing waits, so that a rate of zero gives a finite wait.
const MIN_TOKENS_PER_SECOND: f64 = 1e-9;
/// Maximum wait, in microseconds (about eleven days), so that the wait fits an integer for any
/// overspent amount.
const MAX_WAIT_MICROS: f64 = 1e12;

/// A token bucket that refills at a constant rate and holds at most the tokens of one second.
///
/// The balance may become negative; then no tokens are available until it is refilled above zero.
/// No tokens are added while the clock stops or runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Refill rate; also the capacity in tokens.
    tokens_per_second: f64,
    /// Tokens left; negative after overspending.
    available: f64,
    updated_at: Timestamp,
}

impl RateLimit {
    /// Creates a full bucket that refills at `tokens_per_second`.
    pub fn new(tokens_per_second: f64, now: Timestamp) -> RateLimit {
        RateLimit {
            tokens_per_second,
            available: tokens_per_second,
            updated_at: now,
        }
    }

    /// Takes this many tokens, even if fewer are available.
    pub fn spend(&mut self, tokens: f64, now: Timestamp) {
        self.refill(now);
        self.available -= tokens;
    }

    /// Returns the time until tokens are available; zero if some are available now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let missing = -self.available;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let micros =
            missing / self.tokens_per_second.max(MIN_TOKENS_PER_SECOND) * MICROS_PER_SECOND;
        // Rounded up, so that tokens are available after the wait.
        Duration::from_micros(micros.min(MAX_WAIT_MICROS) as u64 + 1)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.micros_since(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.available =
            (self.available + elapsed * self.tokens_per_second).min(self.tokens_per_second);
        self.updated_at = self.updated_at.max(now);
    }
}
