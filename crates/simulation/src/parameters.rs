//! The model's constants: the clock, the schedule of a rollout, the routes and the hardware.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope};
use tidescale_policy::types::{BuildNumber, StageIndex, Timestamp};

/// Step of virtual time. Events of one tick reach an instance together, like those of one
/// event-loop iteration.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Microseconds in a second, for formulas.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// When a trial begins; far from the origin, so that there are times before it.
pub(crate) const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);

/// The build that serves when a trial begins.
pub(crate) const BASELINE_BUILD: BuildNumber = BuildNumber::new(1);
/// The build that is rolled out.
pub(crate) const CANDIDATE_BUILD: BuildNumber = BuildNumber::new(2);

/// Time from the start until the candidate is offered; until then the instances learn their
/// baselines.
const OFFERED_AFTER: Duration = Duration::from_secs(8);
/// Length of a stage, without the time for which votes hold it.
pub(crate) const STAGE_TIME: Duration = Duration::from_secs(4);

/// One stage of a rollout.
pub(crate) struct StageModel {
    /// Share of the requests that may be attempted at the candidate.
    pub(crate) traffic_cap: f64,
    /// Share of the endpoints that run the candidate; at most the cap.
    pub(crate) endpoint_share: f64,
}

/// The stages of a rollout, in order.
pub(crate) const STAGES: [StageModel; 4] = [
    StageModel {
        traffic_cap: 0.06,
        endpoint_share: 0.05,
    },
    StageModel {
        traffic_cap: 0.18,
        endpoint_share: 0.15,
    },
    StageModel {
        traffic_cap: 0.5,
        endpoint_share: 0.42,
    },
    StageModel {
        traffic_cap: 1.0,
        endpoint_share: 1.0,
    },
];
/// The last stage.
pub(crate) const LAST_STAGE: StageIndex = StageIndex::new(STAGES.len() as u32 - 1);

/// Time from ordering a new endpoint until it runs.
pub(crate) const BOOT_TIME: Duration = Duration::from_millis(1_500);
/// Time that a replaced endpoint has to finish its requests.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Longest time between two announcements of the rollout's state.
pub(crate) const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a vote counts.
pub(crate) const VOTE_LIFETIME: Duration = Duration::from_secs(6);
/// Number of instances for each rollback vote that is needed. With more votes needed, evidence that
/// few instances have would not suffice.
pub(crate) const INSTANCES_PER_ROLLBACK_VOTE: usize = 30;
/// Share of the instances that have to vote to hold a stage.
pub(crate) const HOLD_VOTE_SHARE: f64 = 0.3;

/// Share of its capacity that an endpoint has right after its start.
pub(crate) const WARM_UP_START: f64 = 0.4;
/// Time from an endpoint's start until it has its full capacity.
pub(crate) const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Requests that an endpoint queues beyond those on its cores before it rejects more.
pub(crate) const QUEUE_LENGTH: usize = 60;

/// Number of zones; endpoints and instances are distributed over them in turn.
pub(crate) const ZONES: usize = 3;
/// How long a client waits for its answer.
pub(crate) const REQUEST_DEADLINE: Duration = Duration::from_secs(2);

/// One kind of request, in the model.
pub(crate) struct RouteModel {
    /// An answer counts only if it comes within this time.
    pub(crate) latency_objective: Duration,
    /// Mean cost of an attempt, as time of a warm core of the faster hardware class.
    pub(crate) mean_cost: Duration,
    /// Share of the requests.
    pub(crate) traffic_share: f64,
    /// The value of an answer relative to those of other routes.
    pub(crate) priority_weight: f64,
    /// Whether it may be executed twice.
    pub(crate) idempotency: Idempotency,
}

/// The routes: two idempotent ones, one with idempotency keys, one that must not be executed twice.
pub(crate) const ROUTES: [RouteModel; 4] = [
    RouteModel {
        latency_objective: Duration::from_millis(600),
        mean_cost: Duration::from_millis(60),
        traffic_share: 0.4,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    },
    RouteModel {
        latency_objective: Duration::from_millis(300),
        mean_cost: Duration::from_millis(25),
        traffic_share: 0.3,
        priority_weight: 2.0,
        idempotency: Idempotency::Idempotent,
    },
    RouteModel {
        latency_objective: Duration::from_millis(400),
        mean_cost: Duration::from_millis(40),
        traffic_share: 0.2,
        priority_weight: 2.0,
        idempotency: Idempotency::IdempotencyKey {
            scope: KeyScope::Fleet,
            window: Duration::from_secs(1),
        },
    },
    RouteModel {
        latency_objective: Duration::from_millis(400),
        mean_cost: Duration::from_millis(40),
        traffic_share: 0.1,
        priority_weight: 3.0,
        idempotency: Idempotency::NotIdempotent,
    },
];

/// A hardware class of endpoints.
pub(crate) struct HardwareModel {
    /// Requests that it executes concurrently.
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
