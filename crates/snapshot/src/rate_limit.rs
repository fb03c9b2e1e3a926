//! A budget that fills at a constant rate: how much background work may be done in a second on average.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// A lower rate counts as this one, so that a wait is finite.
const MIN_RATE: f64 = 1e-9;
/// The longest wait in microseconds, some eleven days: it fits a whole number whatever was overspent.
const MAX_WAIT_MICROS: f64 = 1e12;

/// So much a second, saved up for at most a second; what was overspent is worked off first.
///
/// A clock that stands or goes back earns nothing.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// What comes in each second, and the most that is saved up.
    rate: f64,
    /// Below zero where it was overspent.
    available: f64,
    updated_at: Timestamp,
}

impl RateLimit {
    /// A full budget of `rate` a second, in whatever unit is spent.
    pub fn new(rate: f64, now: Timestamp) -> RateLimit {
        RateLimit {
            rate,
            available: rate,
            updated_at: now,
        }
    }

    /// Takes this much, whether it is there or not.
    pub fn spend(&mut self, amount: f64, now: Timestamp) {
        self.refill(now);
        self.available -= amount;
    }

    /// How long until there is something to spend again; zero where there is.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let missing = -self.available;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let micros = missing / self.rate.max(MIN_RATE) * MICROS_PER_SECOND;
        // One more: the microsecond that was begun has to pass too.
        Duration::from_micros(micros.min(MAX_WAIT_MICROS) as u64 + 1)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.micros_since(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.available = (self.available + elapsed * self.rate).min(self.rate);
        self.updated_at = self.updated_at.max(now);
    }
}
