//! What an instance keeps over a restart: the records that it saves to a [`SnapshotSink`] and that
//! are restored later.
//!
//! Open requests, exposure, slow starts, concurrency limits and votes are neither saved nor
//! restored: an instance that restarts has admitted nothing yet, and may send no more than one that
//! knows nothing.

use std::time::Duration;

use crate::statistics::{Dispersion, WeightedSum};
use crate::types::{BuildNumber, EndpointState, RolloutPhase, StageIndex, Timestamp};

/// For this long a restarted instance counts a build that was rejected before as suspect: its score
/// counts as positive, so that the instance holds it at each stage as long as a hold may last.
pub const REJECTION_LIFETIME: Duration = Duration::from_secs(60);

/// A value for this instance's zone and one for all other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ByZone<T> {
    /// Of this instance's zone.
    pub own: T,
    /// Of other zones.
    pub other: T,
}

/// Decaying sums over responses of one route or of all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLatency {
    /// Latencies in microseconds.
    pub latency: f64,
    /// Costs of the requests.
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

/// Decaying sums over responses of one hardware class, as snapshots store them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassLatency {
    /// Slowdowns.
    pub slowdown: f64,
    /// Requests in flight at the endpoint, including the measured one.
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

/// Slowdowns by zone: the sum of the slowdowns and the number of responses of each side.
pub type ZoneSlowdownSums = ByZone<WeightedSum>;

/// A listed endpoint, and what was learned of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRecord<'a> {
    /// As the endpoint list names it.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its cell within the zone.
    pub cell: u64,
    /// Its hardware class.
    pub hardware_class: &'a str,
    /// The build that it runs.
    pub build: BuildNumber,
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// When its process started; `None` where it has run for longer than it takes to warm up.
    pub started_at: Option<Timestamp>,
    /// Sum of its slowdowns (latencies against the route's baseline) and number of responses.
    pub slowdown: WeightedSum,
    /// Requests in flight that it last reported.
    pub reported_load: f64,
    /// When it reported that.
    pub reported_at: Timestamp,
    /// It is ejected.
    pub ejected: bool,
}

/// What was learned of the endpoints of one hardware class; `None` where a sum is not restored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardwareClassRecord<'a> {
    /// Its name in the endpoint list.
    pub name: &'a str,
    /// Sum of the requests in flight that its endpoints reported, and number of reports.
    pub load: Option<WeightedSum>,
    /// Sum of the slowdowns and number of responses.
    pub slowdown: Option<WeightedSum>,
    /// The same while baselines were learned, with the load.
    pub baseline: Option<ClassLatency>,
}

/// Baseline latency of one route, or of all routes together where none is named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRecord<'a> {
    /// The route's name.
    pub route: Option<&'a str>,
    /// The sums behind the baseline.
    pub baseline: RouteLatency,
}

/// Outcomes of one endpoint under one build, for each test by its index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeRecord<'a> {
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// The build that it ran.
    pub build: BuildNumber,
    /// Outcomes.
    pub outcomes: &'a [f64],
    /// Outcomes that count as failures.
    pub failures: &'a [f64],
}

/// How slow the fleet was before the rollout that is in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBaselineRecord {
    /// When it was taken.
    pub taken_at: Timestamp,
    /// Outcomes.
    pub outcomes: f64,
    /// Slow ones among them.
    pub failures: f64,
    /// How both are spread over the endpoints.
    pub dispersion: Dispersion,
    /// Endpoints in service.
    pub endpoints: usize,
    /// Attempts a second that this instance sent.
    pub attempts_per_second: f64,
}

/// The rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRecord {
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of its evaluation.
    pub stage: StageIndex,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// When stage and phase began.
    pub since: Timestamp,
}

/// Takes the records that are kept over a restart; decaying sums are as of now.
pub trait SnapshotSink {
    /// A listed endpoint.
    fn endpoint(&mut self, record: EndpointRecord<'_>);
    /// A hardware class.
    fn hardware_class(&mut self, record: HardwareClassRecord<'_>);
    /// A route, or all routes together.
    fn route(&mut self, record: RouteRecord<'_>);
    /// Outcomes of one endpoint under one build.
    fn outcomes(&mut self, record: OutcomeRecord<'_>);
    /// A build that was rejected.
    fn rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp);
    /// The fleet before the rollout.
    fn fleet_baseline(&mut self, record: FleetBaselineRecord);
    /// Slowdowns of this instance's zone and of others.
    fn zones(&mut self, sums: ZoneSlowdownSums);
    /// The latest build that has answered an idempotency key.
    fn key_build(&mut self, key: &str, build: BuildNumber);
    /// The newest build's rollout.
    fn rollout(&mut self, record: RolloutRecord);
}
