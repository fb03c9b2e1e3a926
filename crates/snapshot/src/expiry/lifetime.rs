//! How fast each kind of record decays, and when it expires.

use std::time::Duration;

use tidescale_policy::types::{Timestamp, fractional_micros};

use super::age;
use crate::records::Record;

/// A record expires after this many half-lives, when it counts for less than 0.4%.
const HALF_LIVES_UNTIL_EXPIRED: u64 = 8;

/// How fast a kind of record decays, and when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// The time after which it counts half as much.
    pub half_life: Duration,
    /// The age from which on it does not count at all.
    pub max_age: Duration,
}

impl Lifetime {
    /// Short, for the endpoint may have recovered in the meantime.
    pub(super) const ENDPOINT: Lifetime = Lifetime::decaying(Duration::from_secs(10));
    /// Short, as for endpoints.
    pub(super) const OUTCOMES: Lifetime = Lifetime::decaying(Duration::from_secs(15));
    /// Long, for hardware and routes seldom change.
    pub(super) const BASELINE: Lifetime = Lifetime::decaying(Duration::from_secs(600));
    /// The fleet before the rollout and how zones compare.
    pub(super) const FLEET: Lifetime = Lifetime::decaying(Duration::from_secs(60));
    /// As long as the policy counts a build that was rejected before a restart as suspect.
    const REJECTED_BUILD: Lifetime = Lifetime {
        half_life: Duration::from_secs(60),
        max_age: Duration::from_secs(60),
    };
    /// The build of a key does not decay, but it expires.
    const KEY_BUILD: Lifetime = Lifetime {
        half_life: Duration::MAX,
        max_age: Duration::from_secs(3600),
    };
    /// The last known endpoint list and rollout status, for starts without discovery.
    const LAST_KNOWN: Lifetime = Lifetime {
        half_life: Duration::from_secs(3600),
        max_age: Duration::from_secs(30 * 24 * 3600),
    };

    const fn decaying(half_life: Duration) -> Lifetime {
        Lifetime {
            half_life,
            max_age: Duration::from_secs(HALF_LIVES_UNTIL_EXPIRED * half_life.as_secs()),
        }
    }

    /// The lifetime of this kind of record.
    pub fn of(record: &Record) -> Lifetime {
        match record {
            Record::Endpoint(_) => Lifetime::ENDPOINT,
            Record::Outcomes(_) => Lifetime::OUTCOMES,
            Record::RejectedBuild(_) => Lifetime::REJECTED_BUILD,
            Record::FleetBaseline(_) | Record::Zones(_) => Lifetime::FLEET,
            Record::HardwareClass(_) | Record::Route(_) => Lifetime::BASELINE,
            Record::KeyBuild(_) => Lifetime::KEY_BUILD,
            Record::ListedEndpoint(_) | Record::Rollout(_) => Lifetime::LAST_KNOWN,
        }
    }

    /// From 1 if just observed down to 0 once expired.
    pub(super) fn weight(self, observed_at: Timestamp, now: Timestamp) -> f64 {
        match age(observed_at, now) {
            Some(age) if age < self.max_age => {
                let half_lives = fractional_micros(age) / fractional_micros(self.half_life);
                0.5f64.powf(half_lives)
            }
            _ => 0.0,
        }
    }
}
