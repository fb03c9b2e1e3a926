//! The observer's records: endpoints, requests and their attempts, the rollout, and the events that
//! each rule counts.

use std::collections::BTreeMap;
use std::time::Duration;

use oorandom::Rand64;
use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{
    AttemptOutcome, BuildNumber, EndpointState, RequestId, RolloutPhase, RolloutStatus, RouteIndex,
    StageIndex, Timestamp,
};

use super::violation::{Rule, Violation};
use crate::harness::{BASELINE, EndpointBuilder, START};

/// The number of simulated endpoints.
pub const ENDPOINT_COUNT: u64 = 9;
/// Requests per second that a warm endpoint is assumed to be able to serve. In a history, each warm
/// endpoint receives about this many.
pub const CAPACITY_PER_SECOND: f64 = 25.0;

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedEndpoint {
    pub zone: &'static str,
    pub cell: u64,
    pub build: BuildNumber,
    pub state: EndpointState,
    /// When the endpoint's process started; `None` if that was long ago.
    pub started_at: Option<Timestamp>,
    /// When the endpoint last started to drain; [`Timestamp::ZERO`] if it has never drained.
    pub drain_started_at: Timestamp,
}

/// An attempt, with the properties of its endpoint at the time it was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    pub zone: &'static str,
    pub cell: u64,
    pub process_started_at: Option<Timestamp>,
    pub sent_at: Timestamp,
    /// When the outcome becomes known, unless the endpoint's process restarts or the client's
    /// deadline passes earlier.
    pub responds_at: Timestamp,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl SentAttempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the request may have been executed, decided independently of the policy.
    pub fn may_have_executed(&self) -> bool {
        !matches!(
            self.outcome,
            Some(AttemptOutcome::Overloaded | AttemptOutcome::Refused | AttemptOutcome::NotSent)
        )
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct IssuedRequest {
    pub route: RouteIndex,
    pub idempotency_key: Option<String>,
    pub deadline: Timestamp,
    /// The request has been answered or its client has disconnected.
    pub finished: bool,
    pub attempts: Vec<SentAttempt>,
}

/// The traffic cap in force, and the time from which attempts and requests count towards it.
#[derive(Clone, Copy, Debug)]
pub struct EffectiveCap {
    pub traffic_cap: f64,
    pub counted_from: Timestamp,
}

/// The arrival of a request, counted towards a traffic cap.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub route: RouteIndex,
}

/// An attempt at a build under evaluation.
#[derive(Clone, Copy, Debug)]
pub struct CanaryAttempt {
    pub at: Timestamp,
    pub route: RouteIndex,
    pub build: BuildNumber,
}

/// An attempt at a warming endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpAttempt {
    pub at: Timestamp,
    pub endpoint: usize,
}

/// A health check in flight.
#[derive(Clone, Copy, Debug)]
pub struct PendingCheck {
    pub ends_at: Timestamp,
    pub endpoint: usize,
}

/// Observes one instance of the policy: generates its events and checks its decisions.
pub struct Observer {
    /// The settings against which decisions are checked.
    pub settings: Settings,
    pub now: Timestamp,
    pub random: Rand64,
    pub endpoints: Vec<SimulatedEndpoint>,
    pub requests: BTreeMap<RequestId, IssuedRequest>,
    pub rollout: RolloutStatus,
    pub effective_cap: EffectiveCap,
    /// When an announced lower cap takes effect.
    pub lower_cap_applies_at: Option<Timestamp>,
    pub arrivals: Vec<Arrival>,
    pub canary_attempts: Vec<CanaryAttempt>,
    pub warm_up_attempts: Vec<WarmUpAttempt>,
    /// The build that last answered each idempotency key.
    pub key_builds: BTreeMap<String, BuildNumber>,
    pub pending_checks: Vec<PendingCheck>,
    /// A vote is in flight.
    pub vote_pending: bool,
    /// A poll of the endpoint list is in flight.
    pub poll_pending: bool,
    /// The first decision that broke a rule.
    pub violation: Option<Violation>,
}

impl Observer {
    /// Creates the state before the first step: all endpoints run the released baseline.
    pub fn new(settings: Settings, seed: u64) -> Observer {
        let mut random = Rand64::new(u128::from(seed));
        let endpoint = |index: u64| SimulatedEndpoint {
            zone: if index.is_multiple_of(2) { "z1" } else { "z2" },
            cell: random.rand_u64() % 3,
            build: BuildNumber::new(BASELINE),
            state: EndpointState::Ready,
            started_at: None,
            drain_started_at: Timestamp::ZERO,
        };
        let endpoints = (0..ENDPOINT_COUNT).map(endpoint).collect();
        Observer {
            settings,
            now: START,
            random,
            endpoints,
            requests: BTreeMap::new(),
            rollout: RolloutStatus {
                build: BuildNumber::new(BASELINE),
                stage: StageIndex::new(2),
                phase: RolloutPhase::Released,
                traffic_cap: 1.0,
                age: Duration::from_secs(60),
            },
            effective_cap: EffectiveCap {
                traffic_cap: 1.0,
                counted_from: Timestamp::ZERO,
            },
            lower_cap_applies_at: None,
            arrivals: Vec::new(),
            canary_attempts: Vec::new(),
            warm_up_attempts: Vec::new(),
            key_builds: BTreeMap::new(),
            pending_checks: Vec::new(),
            vote_pending: false,
            poll_pending: false,
            violation: None,
        }
    }

    /// Draws a boolean that is true with this probability.
    pub fn draw(&mut self, probability: f64) -> bool {
        self.random.rand_float() < probability
    }

    /// Records a violation of `rule` if the condition does not hold and none has been recorded yet.
    pub fn require(&mut self, holds: bool, rule: Rule, detail: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(Violation {
                rule,
                at: self.now,
                detail: detail(),
            });
        }
    }

    /// Returns whether the build is newer than the announced one, or is the announced one and not
    /// released.
    pub fn is_under_evaluation(&self, build: BuildNumber) -> bool {
        let newest = self.rollout.build;
        build > newest || (build == newest && self.rollout.phase != RolloutPhase::Released)
    }

    /// Returns whether the client of a request still waits for an answer.
    pub fn is_open(&self, request: RequestId) -> bool {
        let request = self.requests.get(&request);
        request.is_some_and(|request| !request.finished)
    }

    /// Delivers the endpoint's entry in the endpoint list to the policy.
    pub fn list_endpoint(&self, policy: &mut Balancer, index: usize) {
        let endpoint = &self.endpoints[index];
        EndpointBuilder::new(&endpoint_name(index))
            .zone(endpoint.zone)
            .cell(endpoint.cell)
            .build(endpoint.build.get())
            .state(endpoint.state)
            .started_at(endpoint.started_at)
            .deliver_to(policy);
    }
}

/// Returns the name of an endpoint in the endpoint list.
pub fn endpoint_name(index: usize) -> String {
    format!("m{index}")
}

/// Returns the index of the endpoint with this name.
pub fn endpoint_index(name: &str) -> usize {
    let index = name.strip_prefix('m').and_then(|index| index.parse().ok());
    index.expect("the name should be that of a simulated endpoint")
}
