//! Exponential backoff with jitter: instances whose streams end together must not come back together, or they would all
//! be turned away again.

use std::time::Duration;

use oorandom::Rand32;
use tidescale_policy::types::whole_micros;

const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The pauses between attempts to open one stream.
pub(super) struct Backoff {
    pause: Duration,
    max_pause: Duration,
    jitter: Rand32,
}

impl Backoff {
    pub(super) fn new(max_pause: Duration, seed: u64) -> Backoff {
        Backoff {
            pause: FIRST_PAUSE,
            max_pause,
            jitter: Rand32::new(seed),
        }
    }

    /// The pause before the next attempt: by chance up to twice as long as without jitter.
    pub(super) fn next_pause(&mut self) -> Duration {
        let factor = f64::from(1.0 + self.jitter.rand_float());
        let micros = whole_micros(self.pause) as f64 * factor;
        self.pause = (self.pause * 2).min(self.max_pause);
        Duration::from_micros(micros as u64)
    }

    /// The stream has delivered something.
    pub(super) fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }
}
