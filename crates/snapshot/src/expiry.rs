//! The weight of a record by its kind and age, and what is restored of it. Records of a process are
//! restored only if the endpoint list still names that process.
//!
//! Invariants: a record's weight never rises with time, every record expires, and a wrong clock
//! never raises a weight. How much a restored record counts in a rollback verdict is decided by the
//! policy, not here.

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

/// The host's clock may be set back by less than this over a restart.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);

/// Result of comparing the process that a record describes with the one that the endpoint list
/// names now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessMatch {
    /// Name, address, build and start time are equal.
    Same,
    /// Another process is listed under the endpoint's name, or none is.
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

/// Returns the age of a record; `None` if its time of observation is further in the future than the
/// clock tolerance. A clock that jumps forward only makes a record older.
pub fn age(observed_at: Timestamp, now: Timestamp) -> Option<Duration> {
    if observed_at > now + CLOCK_TOLERANCE {
        None
    } else {
        Some(now - observed_at)
    }
}

/// Returns the weight of the record now: 1 if it was just observed, falling to 0 when it expires.
pub fn weight(record: &Record, now: Timestamp) -> f64 {
    Lifetime::of(record).weight(record.observed_at(), now)
}
