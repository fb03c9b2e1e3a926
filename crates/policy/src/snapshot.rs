//! Snapshot records: the state that an instance saves to a [`SnapshotSink`] and restores after a
//! restart.
//!
//! Open requests, exposure, slow starts, concurrency limits and votes are neither saved nor
//! restored: a restarted instance has admitted no requests yet, and may send no more than an
//! instance without a snapshot.

use std::time::Duration;

use crate::statistics::{Dispersion, WeightedSum};
use crate::types::{BuildNumber, EndpointState, RolloutPhase, StageIndex, Timestamp};

/// How long after the rejection of a build a restarted instance treats the build as suspect: its
/// score counts as positive, so that the instance holds the build at each stage for as long as a
/// hold may last.
pub const REJECTION_LIFETIME: Duration = Duration::from_secs(60);

/// One value for this instance's zone and one for all other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ByZone<T> {
    /// Value for this instance's zone.
    pub own: T,
    /// Value for all other zones.
    pub other: T,
}

/// Decaying sums over the responses of one route or of all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLatency {
    /// Sum of the latencies in microseconds.
    pub latency: f64,
    /// Sum of the costs of the requests.
    pub cost: f64,
    /// Number of responses.
    pub responses: f64,
}

impl From<[f64; 3]> for RouteLatency {
    fn from([latency, cost, responses]: [f64; 3]) -> RouteLatency {
        RouteLatency {
            latency,
            cost,
            responses,
        }
    }
}

impl From<RouteLatency> for [f64; 3] {
    fn from(sums: RouteLatency) -> [f64; 3] {
        [sums.latency, sums.cost, sums.responses]
    }
}

/// Decaying sums over the responses of one hardware class, as stored in snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassLatency {
    /// Sum of the slowdowns.
    pub slowdown: f64,
    /// Sum of the requests in flight at the responding endpoint, including the measured one.
    pub load: f64,
    /// Number of responses.
    pub responses: f64,
}

impl From<[f64; 3]> for ClassLatency {
    fn from([slowdown, load, responses]: [f64; 3]) -> ClassLatency {
        ClassLatency {
            slowdown,
            load,
            responses,
        }
    }
}

impl From<ClassLatency> for [f64; 3] {
    fn from(sums: ClassLatency) -> [f64; 3] {
        [sums.slowdown, sums.load, sums.responses]
    }
}

/// Sum of the slowdowns and number of responses, for this instance's zone and for all other zones.
pub type ZoneSlowdownSums = ByZone<WeightedSum>;

/// A listed endpoint and its statistics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRecord<'a> {
    /// Name in the endpoint list.
    pub name: &'a str,
    /// Name of the availability zone.
    pub zone: &'a str,
    /// Cell within the availability zone.
    pub cell: u64,
    /// Name of the hardware class.
    pub hardware_class: &'a str,
    /// Build that the endpoint runs.
    pub build: BuildNumber,
    /// State in the endpoint list.
    pub state: EndpointState,
    /// Start time of the process; `None` if it has run for longer than the warm-up time.
    pub started_at: Option<Timestamp>,
    /// Sum of the slowdowns (latencies as multiples of the baseline) and number of responses.
    pub slowdown: WeightedSum,
    /// Requests in flight in the last load report.
    pub reported_load: f64,
    /// Time of the last load report.
    pub reported_at: Timestamp,
    /// Whether the endpoint is ejected.
    pub ejected: bool,
}

/// Statistics of the endpoints of one hardware class. A sum that is `None` is not restored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardwareClassRecord<'a> {
    /// Name in the endpoint list.
    pub name: &'a str,
    /// Sum of the requests in flight that the endpoints reported, and number of reports.
    pub load: Option<WeightedSum>,
    /// Sum of the slowdowns and number of responses.
    pub slowdown: Option<WeightedSum>,
    /// Sums over the responses from which the baseline of the class was learned.
    pub baseline: Option<ClassLatency>,
}

/// Baseline latency of one route, or of all routes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRecord<'a> {
    /// Name of the route; `None` for all routes together.
    pub route: Option<&'a str>,
    /// Sums from which the baseline is computed.
    pub baseline: RouteLatency,
}

/// Outcomes of one endpoint under one build. Both slices are indexed by
/// [`EvidenceTest::index`](crate::types::EvidenceTest::index).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeRecord<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Build that the endpoint ran.
    pub build: BuildNumber,
    /// Number of outcomes in each test.
    pub outcomes: &'a [f64],
    /// Number of outcomes that each test counts as failures.
    pub failures: &'a [f64],
}

/// Slowness of the fleet before the current rollout, the baseline of
/// [`EvidenceTest::FleetSlowdown`](crate::types::EvidenceTest::FleetSlowdown).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBaselineRecord {
    /// When the baseline was taken.
    pub taken_at: Timestamp,
    /// Number of outcomes at `taken_at`. Counts decay, so it may be fractional.
    pub outcomes: f64,
    /// Number of slow ones among them.
    pub failures: f64,
    /// Dispersion of both counts over the endpoints.
    pub dispersion: Dispersion,
    /// Number of endpoints in service at `taken_at`.
    pub endpoints: usize,
    /// Attempts per second that this instance sent at `taken_at`.
    pub attempts_per_second: f64,
}

/// The rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRecord {
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of the build's evaluation.
    pub stage: StageIndex,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Largest share of the requests that may be attempted at the build.
    pub traffic_cap: f64,
    /// When the current stage and phase began.
    pub since: Timestamp,
}

/// Receives the records of a snapshot. Decaying sums are as of the time of the call.
pub trait SnapshotSink {
    /// Saves a listed endpoint.
    fn save_endpoint(&mut self, record: EndpointRecord<'_>);
    /// Saves a hardware class.
    fn save_hardware_class(&mut self, record: HardwareClassRecord<'_>);
    /// Saves a route, or all routes together.
    fn save_route(&mut self, record: RouteRecord<'_>);
    /// Saves the outcomes of one endpoint under one build.
    fn save_outcomes(&mut self, record: OutcomeRecord<'_>);
    /// Saves the rejection of a build.
    fn save_rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp);
    /// Saves the slowness of the fleet before the rollout.
    fn save_fleet_baseline(&mut self, record: FleetBaselineRecord);
    /// Saves the slowdowns by zone.
    fn save_zone_slowdowns(&mut self, sums: ZoneSlowdownSums);
    /// Saves the latest build that has answered an idempotency key.
    fn save_key_build(&mut self, key: &str, build: BuildNumber);
    /// Saves the rollout of the newest build.
    fn save_rollout(&mut self, record: RolloutRecord);
}
