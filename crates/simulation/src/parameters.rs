//! The model's constants: the clock, the rollout's timetable, the routes and the hardware.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope};
use tidescale_policy::types::Timestamp;

/// Step of virtual time: events of one tick reach an instance together, as those of one event-loop iteration do.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// When a trial begins; far from 0, so that there are times before it.
pub(crate) const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);

/// Number of the build that serves when a trial begins.
pub(crate) const BASELINE_BUILD: u32 = 1;
/// Number of the build that is rolled out.
pub(crate) const CANDIDATE_BUILD: u32 = 2;

/// Time from the start until the candidate is offered; until then the instances learn their baselines.
pub(crate) const OFFERED_AFTER: Duration = Duration::from_secs(8);
/// Time at a stage, without the time that it is held.
pub(crate) const STAGE_TIME: Duration = Duration::from_secs(4);
/// Traffic cap of each stage.
pub(crate) const STAGE_CAPS: [f64; 4] = [0.06, 0.18, 0.5, 1.0];
/// Share of the endpoints that run the candidate at each stage; a little less than the cap.
pub(crate) const STAGE_ENDPOINTS: [f64; 4] = [0.05, 0.15, 0.42, 1.0];
/// Time from ordering a new endpoint until it runs.
pub(crate) const BOOT_TIME: Duration = Duration::from_millis(1_500);
/// Time that a replaced endpoint has to finish its requests.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// The rollout's state is announced at least this often.
pub(crate) const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a vote counts.
pub(crate) const VOTE_LIFETIME: Duration = Duration::from_secs(6);
/// One rollback vote is needed for each so many instances. A larger share would ask too much of thin evidence.
pub(crate) const INSTANCES_PER_ROLLBACK_VOTE: usize = 30;
/// Share of the instances that have to vote to hold a stage.
pub(crate) const HOLD_VOTE_SHARE: f64 = 0.3;

/// Share of its capacity that an endpoint has right after its start.
pub(crate) const WARM_UP_START: f64 = 0.4;
/// Time from an endpoint's start until it has its full capacity.
pub(crate) const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Requests that an endpoint queues beyond those on its cores before it rejects more.
pub(crate) const QUEUE_LENGTH: usize = 60;

/// Zones of the fleet; endpoints and instances are spread over them in turn.
pub(crate) const ZONES: usize = 3;
/// How long a client waits for its answer.
pub(crate) const REQUEST_DEADLINE: Duration = Duration::from_secs(2);

/// One kind of request, in the model.
pub(crate) struct RouteModel {
    /// An answer counts only if it comes within this time.
    pub(crate) latency_objective: Duration,
    /// Mean cost of an attempt, in microseconds of a warm core of the faster hardware class.
    pub(crate) mean_cost_micros: f64,
    /// Share of the requests.
    pub(crate) traffic_share: f64,
    /// What an answer is worth.
    pub(crate) priority_weight: f64,
    /// Whether it may be repeated.
    pub(crate) idempotency: Idempotency,
}

/// The routes: two idempotent ones, one with idempotency keys, one that must not be repeated.
pub(crate) const ROUTES: [RouteModel; 4] = [
    RouteModel {
        latency_objective: Duration::from_millis(600),
        mean_cost_micros: 60e3,
        traffic_share: 0.4,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    },
    RouteModel {
        latency_objective: Duration::from_millis(300),
        mean_cost_micros: 25e3,
        traffic_share: 0.3,
        priority_weight: 2.0,
        idempotency: Idempotency::Idempotent,
    },
    RouteModel {
        latency_objective: Duration::from_millis(400),
        mean_cost_micros: 40e3,
        traffic_share: 0.2,
        priority_weight: 2.0,
        idempotency: Idempotency::IdempotencyKey {
            scope: KeyScope::Fleet,
            window: Duration::from_secs(1),
        },
    },
    RouteModel {
        latency_objective: Duration::from_millis(400),
        mean_cost_micros: 40e3,
        traffic_share: 0.1,
        priority_weight: 3.0,
        idempotency: Idempotency::NotIdempotent,
    },
];

/// A hardware class of endpoints.
pub(crate) struct HardwareModel {
    /// Requests that it works on at once.
    pub(crate) cores: usize,
    /// Time for a request, as a multiple of the faster class's.
    pub(crate) cost_factor: f64,
}

/// The hardware classes, by index.
pub(crate) const HARDWARE: [HardwareModel; 2] = [
    HardwareModel {
        cores: 4,
        cost_factor: 1.0,
    },
    HardwareModel {
        cores: 3,
        cost_factor: 1.4,
    },
];

/// When the candidate is offered.
pub(crate) fn candidate_offered_at() -> Timestamp {
    START + OFFERED_AFTER
}
