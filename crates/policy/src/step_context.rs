//! What every decision of a step may depend on beside the state of its own part.

use std::time::Duration;

use oorandom::Rand64;

use crate::settings::Settings;
use crate::types::Timestamp;

/// Time, settings and random numbers of the current step.
#[derive(Debug)]
pub(crate) struct StepContext {
    /// The time of the current step.
    pub(crate) now: Timestamp,
    /// When this instance started.
    pub(crate) started_at: Timestamp,
    /// The step is late because the process was stalled (not scheduled): latencies measured across
    /// the stall are ignored.
    pub(crate) stalled: bool,
    /// The deployment's settings.
    pub(crate) settings: Settings,
    /// Source of all random draws; seeded, so that a run can be repeated.
    pub(crate) random: Rand64,
}

impl StepContext {
    /// The context of an instance that starts now.
    pub(crate) fn new(settings: Settings, seed: u64, now: Timestamp) -> StepContext {
        StepContext {
            now,
            started_at: now,
            stalled: false,
            settings,
            random: Rand64::new(u128::from(seed)),
        }
    }

    /// How long this instance has run.
    pub(crate) fn uptime(&self) -> Duration {
        self.now - self.started_at
    }
}
