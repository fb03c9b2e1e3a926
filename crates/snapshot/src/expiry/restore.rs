//! What is restored of each kind of record: its sums, weighted by the record's age. The latencies,
//! slowdowns and loads of endpoints, hardware classes and routes are also capped, so that new
//! measurements soon outweigh them.

use std::time::Duration;

use tidescale_policy::snapshot::{self, ByZone, ClassLatency, RouteLatency, ZoneSlowdownSums};
use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::Timestamp;

use super::{Lifetime, ProcessMatch, age};
use crate::records::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RouteRecord,
    ZonesRecord,
};

/// Maximum age at which a reported load still describes the present load.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);
/// Maximum number of responses that an endpoint's restored slowdown counts for. The next few
/// responses outweigh it, and the policy lets it decay within seconds, so that an endpoint that has
/// recovered gets its fair share again within 30 s without health checks.
pub const MAX_SLOWDOWN_RESPONSES: f64 = 4.0;
/// Maximum number of responses that a restored baseline counts for, so that new measurements
/// replace it soon after the fleet has changed.
pub const MAX_BASELINE_RESPONSES: f64 = 200.0;
/// Maximum number of load reports that the restored load of a hardware class counts for, and of
/// responses that its restored slowdown counts for.
const MAX_HARDWARE_CLASS_RESPONSES: f64 = 20.0;
/// An ejection is restored while its record has at least this weight, that is for one half-life.
const MIN_EJECTION_WEIGHT: f64 = 0.5;
/// Failures may exceed outcomes by this much before the record is rejected as implausible, because
/// both are rounded sums.
const FAILURE_TOLERANCE: f64 = 1.0;

/// State restored for an endpoint whose process is still the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredEndpoint {
    /// Sum of its slowdowns and number of responses; `None` if they are not plausible.
    pub slowdown: Option<WeightedSum>,
    /// Whether it stays ejected until health checks show that it has recovered.
    pub ejected: bool,
}

/// Restores an endpoint's record; `None` if it has expired or describes another process.
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

/// Sums restored for a hardware class; each is `None` if it is not plausible or has expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredHardwareClass {
    /// Sum of the requests in flight that its endpoints reported, and number of reports.
    pub load: Option<WeightedSum>,
    /// Sum of the slowdowns and number of responses.
    pub slowdown: Option<WeightedSum>,
    /// Sums of the baseline from before a rollout.
    pub baseline: Option<ClassLatency>,
}

/// Restores a hardware class's record.
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

/// Restores a route's baseline; `None` if it is not plausible or has expired.
pub fn restore_route(record: &RouteRecord, now: Timestamp) -> Option<RouteLatency> {
    let weight = Lifetime::BASELINE.weight(record.observed_at, now);
    weighted_sums(record.baseline, MAX_BASELINE_RESPONSES, weight)
}

/// Restores the slowdowns by zone; `None` once the record has expired.
pub fn restore_zones(record: &ZonesRecord, now: Timestamp) -> Option<ZoneSlowdownSums> {
    let weight = Lifetime::FLEET.weight(record.observed_at, now);
    let weighted = |zone: WeightedSum| WeightedSum {
        sum: zone.sum * weight,
        weight: zone.weight * weight,
    };
    (weight > 0.0).then(|| ByZone {
        own: weighted(record.slowdowns.own),
        other: weighted(record.slowdowns.other),
    })
}

/// Restores the fleet's baseline from before the rollout; `None` once the record has expired. Only
/// the counts are weighted; dispersion, number of endpoints and attempt rate are kept as measured.
pub fn restore_fleet_baseline(
    record: &FleetBaselineRecord,
    now: Timestamp,
) -> Option<snapshot::FleetBaselineRecord> {
    let weight = Lifetime::FLEET.weight(record.observed_at, now);
    (weight > 0.0).then(|| snapshot::FleetBaselineRecord {
        taken_at: record.observed_at.min(now),
        outcomes: weight * record.outcomes,
        failures: weight * record.failures,
        dispersion: record.dispersion,
        endpoints: record.endpoints,
        attempts_per_second: record.attempts_per_second,
    })
}

/// Outcomes restored for an endpoint. The policy limits how much they count in a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredOutcomes {
    /// Weighted number of outcomes, one for each test.
    pub outcomes: Vec<f64>,
    /// Weighted number of outcomes that count as failures, one for each test.
    pub failures: Vec<f64>,
}

/// Restores an endpoint's outcomes; `None` if they have expired, are not plausible or describe
/// another process.
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
        && sums().all(|(outcomes, failures)| is_valid_sum(*outcomes) && is_valid_sum(*failures))
        && sums().all(|(outcomes, failures)| *failures <= *outcomes + FAILURE_TOLERANCE)
}

/// Scales decaying sums, the last of which is the number of responses, down to at most
/// `max_responses`, and multiplies them by the weight. `None` if they are not plausible or their
/// weight or number of responses is 0.
fn weighted_sums<Sums, const LENGTH: usize>(
    sums: Sums,
    max_responses: f64,
    weight: f64,
) -> Option<Sums>
where
    Sums: Into<[f64; LENGTH]> + From<[f64; LENGTH]>,
{
    let sums: [f64; LENGTH] = sums.into();
    let responses = *sums.last()?;
    if weight <= 0.0 || responses <= 0.0 || !sums.iter().all(|sum| is_valid_sum(*sum)) {
        return None;
    }
    let scale = (max_responses / responses).min(1.0);
    Some(sums.map(|sum| sum * weight * scale).into())
}

fn is_valid_sum(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
