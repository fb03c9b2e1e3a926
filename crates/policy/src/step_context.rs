//! Context of a step, which the decisions of all modules share.

use std::time::Duration;

use oorandom::Rand64;

use crate::settings::Settings;
use crate::types::Timestamp;

/// Time, settings and random number generator of the current step.
#[derive(Debug)]
pub(crate) struct StepContext {
    pub(crate) now: Timestamp,
    /// When this instance started.
    pub(crate) started_at: Timestamp,
    /// Whether the step is late because the process was stalled (not scheduled by the operating
    /// system). Latencies measured across the stall are ignored.
    pub(crate) stalled: bool,
    pub(crate) settings: Settings,
    /// Source of all random draws; seeded, so that runs are reproducible.
    pub(crate) random: Rand64,
}

impl StepContext {
    /// Creates the context of an instance that starts now.
    pub(crate) fn new(settings: Settings, seed: u64, now: Timestamp) -> StepContext {
        StepContext {
            now,
            started_at: now,
            stalled: false,
            settings,
            random: Rand64::new(u128::from(seed)),
        }
    }

    /// Returns the time since this instance started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now - self.started_at
    }
}
