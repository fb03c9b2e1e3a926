//! How much a record still counts: by its kind, its age, and whether the endpoint list still names
//! the same process.
//!
//! Invariants: no record counts more with time, every record expires, and a clock that was wrong
//! lets none count for more. How much a restored record counts in a rollback verdict is decided by
//! the policy, not here.

mod lifetime;
mod restore;

use std::time::Duration;

use tidescale_policy::types::Timestamp;

use crate::records::{Process, Record};

pub use lifetime::Lifetime;
pub use restore::{
    MAX_BASELINE_RESPONSES, MAX_SLOWDOWN_RESPONSES, RestoredEndpoint, RestoredHardwareClass,
    RestoredOutcomes, restore_endpoint, restore_fleet_baseline, restore_hardware_class,
    restore_outcomes, restore_route, restore_zones,
};

/// The clock of a host before a restart and after it differ by less than this.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);

/// Whether the process that a record describes is the one that the endpoint list names now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessMatch {
    /// Address, build and time of start are the same.
    Same,
    /// Another process has the endpoint's name now, or none does; the record describes neither.
    Different,
}

impl ProcessMatch {
    /// Compares a record's process with the one that is now listed under the same name.
    pub fn compare(recorded: &Process, listed: Option<&Process>) -> ProcessMatch {
        if listed == Some(recorded) {
            ProcessMatch::Same
        } else {
            ProcessMatch::Different
        }
    }
}

/// Age of a record; `None` if it was observed in the future by more than clocks may differ. A clock
/// that leaps ahead only makes a record older.
pub fn age(observed_at: Timestamp, now: Timestamp) -> Option<Duration> {
    if observed_at > now + CLOCK_TOLERANCE {
        None
    } else {
        Some(now - observed_at)
    }
}

/// How much the record counts now: from 1 if it was just observed down to 0 once it has expired.
pub fn weight(record: &Record, now: Timestamp) -> f64 {
    Lifetime::of(record).weight(record.observed_at(), now)
}
