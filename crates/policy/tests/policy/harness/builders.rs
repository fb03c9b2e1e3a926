//! Builders of input events, with the defaults that most tests use.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::types::{
    AttemptId, AttemptIndex, AttemptOutcome, AttemptResult, BuildNumber, EndpointEntry,
    EndpointState, IncomingRequest, RequestId, RolloutPhase, RolloutStatus, RouteIndex, StageIndex,
    Timestamp,
};

use super::millis;

/// Builds a request. By default it has no idempotency key, a cost hint of 1, and 900 ms left until
/// its client's deadline.
#[derive(Clone, Copy, Debug)]
pub struct RequestBuilder<'a> {
    request: IncomingRequest<'a>,
}

impl<'a> RequestBuilder<'a> {
    pub fn new(route: RouteIndex) -> RequestBuilder<'a> {
        RequestBuilder {
            request: IncomingRequest {
                route,
                idempotency_key: None,
                time_remaining: millis(900),
                cost_hint: Some(1.0),
            },
        }
    }

    pub fn idempotency_key(mut self, key: &'a str) -> Self {
        self.request.idempotency_key = Some(key);
        self
    }

    /// Sets the time left until the client's deadline.
    pub fn time_remaining(mut self, time_remaining: Duration) -> Self {
        self.request.time_remaining = time_remaining;
        self
    }

    pub fn without_cost_hint(mut self) -> Self {
        self.request.cost_hint = None;
        self
    }

    pub fn send(self, policy: &mut Balancer, id: u64) {
        policy.on_request(RequestId::new(id), self.request);
    }

    /// Sends one request per id.
    pub fn send_all(self, policy: &mut Balancer, ids: std::ops::Range<u64>) {
        for id in ids {
            self.send(policy, id);
        }
    }
}

/// Builds an entry of the endpoint list. By default the endpoint is ready, runs build 1 in zone
/// `z1`, and its process started long ago.
#[derive(Clone, Copy, Debug)]
pub struct EndpointBuilder<'a> {
    entry: EndpointEntry<'a>,
}

impl<'a> EndpointBuilder<'a> {
    pub fn new(name: &'a str) -> EndpointBuilder<'a> {
        EndpointBuilder {
            entry: EndpointEntry {
                name,
                zone: "z1",
                cell: 0,
                hardware_class: "k",
                build: BuildNumber::new(1),
                state: EndpointState::Ready,
                started_at: None,
            },
        }
    }

    pub fn zone(mut self, zone: &'a str) -> Self {
        self.entry.zone = zone;
        self
    }

    pub fn cell(mut self, cell: u64) -> Self {
        self.entry.cell = cell;
        self
    }

    pub fn build(mut self, build: u32) -> Self {
        self.entry.build = BuildNumber::new(build);
        self
    }

    pub fn state(mut self, state: EndpointState) -> Self {
        self.entry.state = state;
        self
    }

    /// Sets when the endpoint's process started; `None` if that was long ago.
    pub fn started_at(mut self, started_at: impl Into<Option<Timestamp>>) -> Self {
        self.entry.started_at = started_at.into();
        self
    }

    /// Delivers the endpoint's entry in the endpoint list to the policy.
    pub fn deliver_to(self, policy: &mut Balancer) {
        policy.on_endpoint(self.entry);
    }
}

/// Builds a rollout status. By default the rollout has just started stage 0, without a traffic cap.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatusBuilder {
    status: RolloutStatus,
}

impl RolloutStatusBuilder {
    pub fn new(build: u32, phase: RolloutPhase) -> RolloutStatusBuilder {
        RolloutStatusBuilder {
            status: RolloutStatus {
                build: BuildNumber::new(build),
                stage: StageIndex::new(0),
                phase,
                traffic_cap: 1.0,
                age: Duration::ZERO,
            },
        }
    }

    pub fn canary(build: u32) -> RolloutStatusBuilder {
        RolloutStatusBuilder::new(build, RolloutPhase::Canary)
    }

    pub fn released(build: u32) -> RolloutStatusBuilder {
        RolloutStatusBuilder::new(build, RolloutPhase::Released)
    }

    pub fn stage(mut self, stage: u32) -> Self {
        self.status.stage = StageIndex::new(stage);
        self
    }

    pub fn traffic_cap(mut self, traffic_cap: f64) -> Self {
        self.status.traffic_cap = traffic_cap;
        self
    }

    /// Sets the time since the current stage and phase started.
    pub fn age(mut self, age: Duration) -> Self {
        self.status.age = age;
        self
    }

    /// Delivers the rollout status to the policy.
    pub fn deliver_to(self, policy: &mut Balancer) {
        policy.on_rollout_status(self.status);
    }
}

/// Builds the result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResultBuilder {
    result: AttemptResult,
    client_disconnects: bool,
}

impl AttemptResultBuilder {
    /// Builds the result of an attempt that ends with this outcome and leaves its request open.
    pub fn new(outcome: AttemptOutcome, duration: Duration) -> AttemptResultBuilder {
        AttemptResultBuilder {
            result: AttemptResult {
                outcome,
                duration,
                request_finished: false,
                load: None,
            },
            client_disconnects: false,
        }
    }

    /// Builds the result of a successful attempt whose response answers the request.
    pub fn succeeded(duration: Duration) -> AttemptResultBuilder {
        AttemptResultBuilder::new(AttemptOutcome::Succeeded, duration).finishes_request(true)
    }

    /// Sets whether the request is finished: the client has its answer or no longer waits for one.
    pub fn finishes_request(mut self, finishes_request: bool) -> Self {
        self.result.request_finished = finishes_request;
        self
    }

    /// Makes the client disconnect right after the attempt has ended.
    pub fn client_disconnects(mut self) -> Self {
        self.client_disconnects = true;
        self
    }

    pub fn duration(self) -> Duration {
        self.result.duration
    }

    /// Reports the result of the first attempt of a request.
    pub fn report(self, policy: &mut Balancer, request: u64) {
        self.report_attempt(policy, request, 0);
    }

    /// Reports the result of the attempt with this index.
    pub fn report_attempt(self, policy: &mut Balancer, request: u64, index: usize) {
        let request = RequestId::new(request);
        let attempt = AttemptId::new(request, AttemptIndex::new(index));
        policy.on_attempt_result(attempt, self.result);
        if self.client_disconnects {
            policy.on_client_disconnected(request);
        }
    }
}
