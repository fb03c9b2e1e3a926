//! Half-life and maximum age of each kind of record.

use std::time::Duration;

use tidescale_policy::types::{Timestamp, fractional_micros};

use super::age;
use crate::records::Record;

/// A decaying record expires after this many half-lives, when its weight is below 0.4%.
const HALF_LIVES_UNTIL_EXPIRED: u64 = 8;

/// Half-life and maximum age of a kind of record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// Time after which the weight has halved.
    pub half_life: Duration,
    /// Age from which the weight is 0.
    pub max_age: Duration,
}

impl Lifetime {
    /// Slowdown, load and ejection of an endpoint: a short lifetime, because the endpoint may have
    /// recovered in the meantime.
    pub(super) const ENDPOINT: Lifetime = Lifetime::decaying(Duration::from_secs(10));
    /// Outcomes of an endpoint: a short lifetime, because the endpoint may have recovered in the
    /// meantime.
    pub(super) const OUTCOMES: Lifetime = Lifetime::decaying(Duration::from_secs(15));
    /// Records of hardware classes and routes: a long lifetime, because these seldom change.
    pub(super) const BASELINE: Lifetime = Lifetime::decaying(Duration::from_secs(600));
    /// The fleet's baseline before the rollout and the slowdowns by zone.
    pub(super) const FLEET: Lifetime = Lifetime::decaying(Duration::from_secs(60));
    /// A rejected build: expires when the policy no longer treats a build that was rejected before
    /// a restart as suspect.
    const REJECTED_BUILD: Lifetime = Lifetime {
        half_life: Duration::from_secs(60),
        max_age: Duration::from_secs(60),
    };
    /// The build of an idempotency key: keeps its full weight until it expires.
    const KEY_BUILD: Lifetime = Lifetime {
        half_life: Duration::MAX,
        max_age: Duration::from_secs(3600),
    };
    /// The last known endpoint list and rollout status, for starts without discovery.
    const LAST_KNOWN_STATE: Lifetime = Lifetime {
        half_life: Duration::from_secs(3600),
        max_age: Duration::from_secs(30 * 24 * 3600),
    };

    const fn decaying(half_life: Duration) -> Lifetime {
        Lifetime {
            half_life,
            max_age: Duration::from_secs(HALF_LIVES_UNTIL_EXPIRED * half_life.as_secs()),
        }
    }

    /// Returns the lifetime of the record's kind.
    pub fn of(record: &Record) -> Lifetime {
        match record {
            Record::Endpoint(_) => Lifetime::ENDPOINT,
            Record::Outcomes(_) => Lifetime::OUTCOMES,
            Record::RejectedBuild(_) => Lifetime::REJECTED_BUILD,
            Record::FleetBaseline(_) | Record::Zones(_) => Lifetime::FLEET,
            Record::HardwareClass(_) | Record::Route(_) => Lifetime::BASELINE,
            Record::KeyBuild(_) => Lifetime::KEY_BUILD,
            Record::ListedEndpoint(_) | Record::Rollout(_) => Lifetime::LAST_KNOWN_STATE,
        }
    }

    /// Returns the weight at `now`: 1 if just observed, falling to 0 when it expires.
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
