//! Exponential backoff with jitter. Without jitter, instances whose streams end at the same time
//! would reconnect at the same time (thundering herd) and be refused again.

use std::time::Duration;

use oorandom::Rand32;
use tidescale_policy::types::whole_micros;

/// The first backoff, before jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// The backoff of one stream.
pub(super) struct Backoff {
    delay: Duration,
    max_delay: Duration,
    jitter: Rand32,
}

impl Backoff {
    pub(super) fn new(max_delay: Duration, seed: u64) -> Backoff {
        Backoff {
            delay: INITIAL_DELAY,
            max_delay,
            jitter: Rand32::new(seed),
        }
    }

    /// The pause before the next attempt to connect; jitter lengthens it by a random factor of up
    /// to 2.
    pub(super) fn next_delay(&mut self) -> Duration {
        let factor = f64::from(1.0 + self.jitter.rand_float());
        let micros = whole_micros(self.delay) as f64 * factor;
        self.delay = (self.delay * 2).min(self.max_delay);
        Duration::from_micros(micros as u64)
    }

    /// Starts again with the first pause, because the stream has delivered something.
    pub(super) fn reset(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}
