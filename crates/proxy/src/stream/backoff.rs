//! Exponential backoff with jitter. Without jitter, instances whose streams end at the same time
//! would reconnect at the same time (thundering herd) and be refused again.

use std::time::Duration;

use oorandom::Rand32;
use tidescale_policy::types::whole_micros;

/// The delay before the first reconnect, without jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

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

    /// Returns the delay before the next reconnect, multiplied by a random factor between 1 and 2,
    /// and doubles it for the reconnect after that, up to the maximum.
    pub(super) fn next_delay(&mut self) -> Duration {
        let factor = f64::from(1.0 + self.jitter.rand_float());
        let micros = whole_micros(self.delay) as f64 * factor;
        self.delay = (self.delay * 2).min(self.max_delay);
        Duration::from_micros(micros as u64)
    }

    /// Returns to the initial delay, because the stream has delivered a line.
    pub(super) fn reset(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}
