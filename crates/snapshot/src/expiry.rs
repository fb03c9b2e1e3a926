//! How much a record still counts: from what it is, how old it is, and what the endpoint list says now.
//!
//! Invariants: no record grows stronger with time, none counts for ever, and a clock that went wrong makes none count
//! more. What a restored record counts for a *verdict* is not decided here but in the policy.

use std::time::Duration;

use tidescale_policy::types::{Timestamp, whole_micros};

use crate::records::{
    EndpointRecord, HardwareClassRecord, OutcomeRecord, Process, Record, RouteRecord,
};

/// Clocks of one host before and after its restart differ by less.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);
/// A record expires after this many half-lives, when it counts for less than 0.4%.
const HALF_LIVES_UNTIL_EXPIRED: u64 = 8;
/// Reported load older than this says nothing about the present.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);
/// Most responses that an endpoint's restored slowdown counts for. The next few responses outweigh it, and the policy
/// lets it decay within seconds, so that an endpoint that has recovered is back at its fair share within 30 s without
/// health checks.
pub const MAX_SLOWDOWN_RESPONSES: f64 = 4.0;
/// Most responses that a restored baseline counts for, so that a fleet that has changed is soon measured anew.
pub const MAX_BASELINE_RESPONSES: f64 = 200.0;
/// Most responses that the restored load and slowdown of a hardware class count for.
const MAX_HARDWARE_CLASS_RESPONSES: f64 = 20.0;
/// An ejection is restored while its record counts at least this much: for one half-life.
const MIN_EJECTION_WEIGHT: f64 = 0.5;
/// Failures may exceed outcomes by this much before the record counts as damaged: both are rounded sums.
const FAILURE_TOLERANCE: f64 = 1.0;

/// Whether the process that a record describes is the one that the endpoint list names now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessMatch {
    /// Address, build and start are the same.
    Same,
    /// The name belongs to another process now, or is not listed; the record applies to neither.
    Different,
}

impl ProcessMatch {
    /// Compares a record's process with the one that is listed under the same name now.
    pub fn compare(recorded: &Process, listed: Option<&Process>) -> ProcessMatch {
        if listed == Some(recorded) {
            ProcessMatch::Same
        } else {
            ProcessMatch::Different
        }
    }
}

/// How fast a kind of record fades, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// It counts half as much after this time.
    pub half_life: Duration,
    /// It counts nothing from this age on.
    pub max_age: Duration,
}

impl Lifetime {
    /// Short, as for all suspicion: the endpoint may have recovered meanwhile.
    const ENDPOINT: Lifetime = Lifetime::fading(10);
    const OUTCOMES: Lifetime = Lifetime::fading(15);
    /// As long as the policy holds a rejected build.
    const REJECTED_BUILD: Lifetime = Lifetime {
        half_life: Duration::from_secs(60),
        max_age: Duration::from_secs(60),
    };
    const FLEET: Lifetime = Lifetime::fading(60);
    /// Long: hardware and routes seldom change.
    const BASELINE: Lifetime = Lifetime::fading(600);
    /// A binding does not fade, but ends.
    const KEY_BUILD: Lifetime = Lifetime {
        half_life: Duration::MAX,
        max_age: Duration::from_secs(3600),
    };
    /// The last known list and rollout status, for starts without discovery.
    const LAST_KNOWN: Lifetime = Lifetime {
        half_life: Duration::from_secs(3600),
        max_age: Duration::from_secs(30 * 24 * 3600),
    };

    const fn fading(half_life_seconds: u64) -> Lifetime {
        Lifetime {
            half_life: Duration::from_secs(half_life_seconds),
            max_age: Duration::from_secs(HALF_LIVES_UNTIL_EXPIRED * half_life_seconds),
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
    fn weight(self, observed_at: Timestamp, now: Timestamp) -> f64 {
        match age(observed_at, now) {
            Some(age) if age < self.max_age => {
                let half_lives = whole_micros(age) as f64 / whole_micros(self.half_life) as f64;
                0.5f64.powf(half_lives)
            }
            _ => 0.0,
        }
    }
}

/// Age of a record; none if it was observed in the future by more than clocks differ. A clock that leaps ahead only
/// makes a record older.
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

/// What is restored of an endpoint that is still the same process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredEndpoint {
    /// Decaying sums: response times against the baseline, and responses.
    pub slowdown: Option<[f64; 2]>,
    /// Ejected again, to come back by health checks as ever.
    pub ejected: bool,
}

/// What still counts of an endpoint's record; none if it has expired or the process is a different one.
pub fn restore_endpoint(
    record: &EndpointRecord,
    now: Timestamp,
    process: ProcessMatch,
) -> Option<RestoredEndpoint> {
    let weight = Lifetime::ENDPOINT.weight(record.observed_at, now);
    if process == ProcessMatch::Different || weight == 0.0 {
        return None;
    }
    Some(RestoredEndpoint {
        slowdown: weighted_sums(record.slowdown, MAX_SLOWDOWN_RESPONSES, weight),
        ejected: record.ejected && weight >= MIN_EJECTION_WEIGHT,
    })
}

/// What is restored of a hardware class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredHardwareClass {
    /// Decaying sums: requests in flight, and reports.
    pub load: Option<[f64; 2]>,
    /// Decaying sums: response times against the baseline, and responses.
    pub slowdown: Option<[f64; 2]>,
    /// Decaying sums before a rollout: response times against the baseline, requests in flight, responses.
    pub baseline: Option<[f64; 3]>,
}

/// What still counts of a hardware class's record.
pub fn restore_hardware_class(
    record: &HardwareClassRecord,
    now: Timestamp,
) -> RestoredHardwareClass {
    let weight = Lifetime::BASELINE.weight(record.observed_at, now);
    let load_is_fresh = age(record.observed_at, now).is_some_and(|age| age < MAX_LOAD_AGE);
    let load_weight = if load_is_fresh { weight } else { 0.0 };
    RestoredHardwareClass {
        load: weighted_sums(record.load, MAX_HARDWARE_CLASS_RESPONSES, load_weight),
        slowdown: weighted_sums(record.slowdown, MAX_HARDWARE_CLASS_RESPONSES, weight),
        baseline: weighted_sums(record.baseline, MAX_BASELINE_RESPONSES, weight),
    }
}

/// What still counts of a route's baseline: decaying sums of response time in microseconds, cost and responses.
pub fn restore_route(record: &RouteRecord, now: Timestamp) -> Option<[f64; 3]> {
    let weight = Lifetime::BASELINE.weight(record.observed_at, now);
    weighted_sums(record.baseline, MAX_BASELINE_RESPONSES, weight)
}

/// What is restored of an endpoint's outcomes; the policy bounds what they may do to a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredOutcomes {
    /// Outcomes, one sum for each test.
    pub outcomes: Vec<f64>,
    /// Outcomes that count as failures, one sum for each test.
    pub failures: Vec<f64>,
}

/// What still counts of an endpoint's outcomes; none if they have expired, are implausible or the process is a
/// different one.
pub fn restore_outcomes(
    record: &OutcomeRecord,
    now: Timestamp,
    process: ProcessMatch,
) -> Option<RestoredOutcomes> {
    let weight = Lifetime::OUTCOMES.weight(record.observed_at, now);
    if process == ProcessMatch::Different || weight == 0.0 || !is_plausible(record) {
        return None;
    }
    let weighted = |sums: &[f64]| sums.iter().map(|sum| sum * weight).collect();
    Some(RestoredOutcomes {
        outcomes: weighted(&record.outcomes),
        failures: weighted(&record.failures),
    })
}

fn is_plausible(record: &OutcomeRecord) -> bool {
    let sums = || record.outcomes.iter().zip(&record.failures);
    record.outcomes.len() == record.failures.len()
        && sums().all(|(outcomes, failures)| is_sum(*outcomes) && is_sum(*failures))
        && sums().all(|(outcomes, failures)| *failures <= *outcomes + FAILURE_TOLERANCE)
}

/// Decaying sums, of which the last counts responses: weighted, and scaled down to at most `max_responses`. None if
/// they are implausible or count nothing.
fn weighted_sums<const N: usize>(
    sums: [f64; N],
    max_responses: f64,
    weight: f64,
) -> Option<[f64; N]> {
    let responses = *sums.last()?;
    if weight <= 0.0 || responses <= 0.0 || !sums.iter().all(|sum| is_sum(*sum)) {
        return None;
    }
    let scale = (max_responses / responses).min(1.0);
    Some(sums.map(|sum| sum * weight * scale))
}

fn is_sum(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
