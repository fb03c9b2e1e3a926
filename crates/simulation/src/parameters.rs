//! Constants of the model: the clock, the rollout schedule, the routes and the hardware.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope};
use tidescale_policy::types::{BuildNumber, StageIndex, Timestamp};

/// Step of virtual time. An instance receives the events of a tick together, as it would in one
/// event-loop iteration.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Number of microseconds in a second, for floating-point formulas.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// Start of a trial. It is far from the clock's origin, so that earlier times can be represented.
pub(crate) const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);

/// The build that serves at the start of a trial.
pub(crate) const BASELINE_BUILD: BuildNumber = BuildNumber::new(1);
/// The build that is rolled out during the trial.
pub(crate) const CANDIDATE_BUILD: BuildNumber = BuildNumber::new(2);

/// Time from the start of a trial until the rollout of the candidate starts. During this time the
/// instances learn the baseline's statistics.
const TIME_BEFORE_ROLLOUT: Duration = Duration::from_secs(8);
/// Duration of a stage, excluding the time for which votes hold it.
pub(crate) const STAGE_TIME: Duration = Duration::from_secs(4);

/// One stage of a rollout.
pub(crate) struct StageModel {
    /// Maximum share of the requests that may be attempted at the candidate.
    pub(crate) traffic_cap: f64,
    /// Share of the endpoints that run the candidate; at most `traffic_cap`.
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
pub(crate) const LAST_STAGE: StageIndex = StageIndex::new(STAGES.len() as u32 - 1);

/// Time from the order of a new endpoint until it has started.
pub(crate) const BOOT_TIME: Duration = Duration::from_millis(1_500);
/// Time that a replaced endpoint has to complete its requests before it is removed.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time between two announcements of the rollout's state.
pub(crate) const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a vote expires.
pub(crate) const VOTE_LIFETIME: Duration = Duration::from_secs(6);
/// One rollback vote is needed for each group of this many instances. If more votes were needed,
/// evidence that only a few instances observe would not trigger a rollback.
pub(crate) const INSTANCES_PER_ROLLBACK_VOTE: usize = 30;
/// Fraction of the instances that must vote to hold a stage.
pub(crate) const HOLD_VOTE_SHARE: f64 = 0.3;

/// Fraction of its capacity that an endpoint has immediately after its start.
pub(crate) const WARM_UP_START: f64 = 0.4;
/// Time from an endpoint's start until it has its full capacity.
pub(crate) const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Maximum number of requests that an endpoint queues, in addition to those on its cores.
pub(crate) const MAX_QUEUED_REQUESTS: usize = 60;

/// Number of zones. Endpoints and instances are distributed over them round-robin.
pub(crate) const ZONE_COUNT: usize = 3;
/// Time for which a client waits for an answer.
pub(crate) const REQUEST_DEADLINE: Duration = Duration::from_secs(2);

pub(crate) struct RouteModel {
    /// An answer counts as served only if it arrives within this time.
    pub(crate) latency_objective: Duration,
    /// Mean cost of an attempt, as time on a warm core of the faster hardware class.
    pub(crate) mean_cost: Duration,
    /// Share of the requests that use this route.
    pub(crate) traffic_share: f64,
    /// Value of an answer relative to the answers of other routes.
    pub(crate) priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub(crate) idempotency: Idempotency,
}

/// The routes: two idempotent, one with idempotency keys, and one non-idempotent.
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

/// Model of a hardware class of endpoints.
pub(crate) struct HardwareModel {
    /// Number of requests that an endpoint executes concurrently.
    pub(crate) cores: usize,
    /// Service time of a request, as a multiple of that of the faster class.
    pub(crate) cost_factor: f64,
}

/// The hardware classes, indexed by `HardwareClassIndex`.
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

/// Returns the time at which the rollout of the candidate starts.
pub(crate) fn rollout_starts_at() -> Timestamp {
    START + TIME_BEFORE_ROLLOUT
}
