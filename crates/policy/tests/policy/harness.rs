//! A balancer with a clock, fed by plain calls, and a record of what it wrote.

use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::settings::{Idempotency, KeyScope, Route, Settings};
use tidescale_policy::types::{
    AttemptId, AttemptIndex, AttemptOutcome, AttemptResult, Ballot, EndpointEntry, EndpointState,
    IncomingRequest, LoadReport, RequestId, RollbackVerdict, RolloutPhase, RolloutStatus,
    RouteIndex, Timestamp,
};
use tidescale_policy::{Balancer, EventSource};

pub const MS: u64 = 1_000;

/// What was decided, a line each: `attempt 7 m1`, `reject 7`, `error 7`, `vote 2 0 RollBack`, ...
#[derive(Default)]
pub struct Record(pub Vec<String>);

impl DecisionSink for Record {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, _deadline: Timestamp) {
        let request = attempt.request;
        self.0.push(format!("attempt {request} {endpoint}"));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let (request, attempt_index) = (attempt.request, attempt.index);
        self.0.push(format!("cancel {request} {attempt_index}"));
    }
    fn reject_request(&mut self, request: RequestId, _retry_after: Duration) {
        self.0.push(format!("reject {request}"));
    }
    fn fail_request(&mut self, request: RequestId) {
        self.0.push(format!("fail {request}"));
    }
    fn cast_vote(&mut self, Ballot { build, stage, vote }: Ballot) {
        self.0.push(format!("vote {build} {stage} {vote:?}"));
    }
    fn start_health_check(&mut self, endpoint: &str, _deadline: Timestamp) {
        self.0.push(format!("check {endpoint}"));
    }
    fn poll_endpoints(&mut self) {
        self.0.push("poll".into());
    }
    fn schedule_wake_up(&mut self, _after: Duration) {}
    fn report_rollback_verdict(&mut self, _verdict: &RollbackVerdict) {}
}

struct Calls<F>(Option<F>);

impl<F: FnOnce(&mut Balancer)> EventSource for Calls<F> {
    fn deliver(&mut self, policy: &mut Balancer) {
        if let Some(calls) = self.0.take() {
            calls(policy);
        }
    }
}

pub struct Instance {
    pub now: u64,
    pub policy: Balancer,
}

pub fn settings() -> Settings {
    let route = |name: &str, idempotency| Route {
        name: name.into(),
        latency_objective: Duration::from_millis(500),
        priority_weight: 1.0,
        idempotency,
    };
    let window = Duration::from_millis(300);
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: "z1".into(),
        routes: vec![
            route("look", Idempotency::Idempotent),
            route(
                "hold",
                Idempotency::IdempotencyKey {
                    scope: KeyScope::Zone,
                    window,
                },
            ),
            route("pay", Idempotency::NotIdempotent),
        ],
        poll_endpoints: false,
        max_poll_interval: Duration::from_secs(10),
        cross_zone_price: 0.0,
        health_checks: true,
        cancel_attempts: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Duration::ZERO,
        grace_period: Duration::from_millis(500),
        warm_up_start: 0.3,
        warm_up_time: Duration::from_secs(4),
        overload_multiple: 2.0,
        overload_window: Duration::from_millis(1500),
        stage_caps: vec![0.1, 0.5, 1.0],
        exposure_allowance: 2.0,
        exposure_window: Duration::from_secs(4),
        exposure_by_route: false,
        guarded_stages: 1,
        monotonic_key_builds: false,
        automatic_stages: true,
        min_stage_time: Duration::from_secs(1),
        rollback_votes: 1,
        votes_per_second: 100.0,
        vote_lifetime: Duration::from_secs(5),
        vote_timeout: Duration::from_secs(1),
    }
}

impl Instance {
    pub fn new(set: Settings) -> Self {
        Instance {
            now: 100_000 * MS,
            policy: Balancer::new(set, 1, Timestamp::from_micros(100_000 * MS)),
        }
    }
    /// One step after `pass` microseconds, with these calls as its news.
    pub fn step(&mut self, pass: u64, calls: impl FnOnce(&mut Balancer)) -> Vec<String> {
        self.now += pass;
        let mut out = Record::default();
        let now = Timestamp::from_micros(self.now);
        self.policy.step(now, &mut Calls(Some(calls)), &mut out);
        out.0
    }
}

/// A ready endpoint that has run for long.
pub fn warm(policy: &mut Balancer, name: &str, zone: &str, build: u32) {
    endpoint(policy, name, (zone, 0, "k"), build, EndpointState::Ready, 0);
}

pub fn count(lines: &[String], start: &str) -> usize {
    lines.iter().filter(|l| l.starts_with(start)).count()
}

/// One entry of the list: a name, its zone, cell and hardware class, and the rest; started at 0 means long ago.
pub fn endpoint(
    policy: &mut Balancer,
    name: &str,
    (zone, cell, hardware_class): (&str, u64, &str),
    build: u32,
    state: EndpointState,
    started: u64,
) {
    let started_at = (started > 0).then(|| Timestamp::from_micros(started));
    policy.on_endpoint(EndpointEntry {
        name,
        zone,
        cell,
        hardware_class,
        build: build.into(),
        state,
        started_at,
    });
}

/// The begin of a list; a complete one names all that are there.
pub fn endpoint_list(policy: &mut Balancer, complete: bool) {
    if complete {
        policy.on_complete_endpoint_list();
    }
}

/// A request whose client waits for so many microseconds; a cost of 0 tells nothing.
pub fn request(
    policy: &mut Balancer,
    id: u64,
    route: usize,
    idempotency_key: Option<&str>,
    micros_remaining: u64,
    cost: f64,
) {
    let time_remaining = Duration::from_micros(micros_remaining);
    let cost_hint = (cost > 0.0).then_some(cost);
    policy.on_request(
        RequestId::new(id),
        IncomingRequest {
            route: RouteIndex::new(route),
            idempotency_key,
            time_remaining,
            cost_hint,
        },
    );
}

/// The end of an attempt after so many microseconds.
pub fn outcome(
    policy: &mut Balancer,
    id: u64,
    attempt_index: usize,
    outcome: AttemptOutcome,
    micros: u64,
    request_finished: bool,
    load: Option<LoadReport>,
) {
    let duration = Duration::from_micros(micros);
    let result = AttemptResult {
        outcome,
        duration,
        request_finished,
        load,
    };
    let id = AttemptId::new(RequestId::new(id), AttemptIndex::new(attempt_index));
    policy.on_attempt_result(id, result);
}

/// Where a build stands, since so many microseconds.
pub fn rollout_status(
    policy: &mut Balancer,
    build: u32,
    stage: u32,
    phase: RolloutPhase,
    traffic_cap: f64,
    micros: u64,
) {
    let age = Duration::from_micros(micros);
    policy.on_rollout_status(RolloutStatus {
        build: build.into(),
        stage: stage.into(),
        phase,
        traffic_cap,
        age,
    });
}

/// The client of a request no longer waits.
pub fn disconnect(policy: &mut Balancer, id: u64) {
    policy.on_client_disconnected(RequestId::new(id));
}

/// Whether an attempt whose connection was established late may be written.
pub fn may_write(policy: &mut Balancer, id: u64, attempt_index: usize) -> bool {
    let id = AttemptId::new(RequestId::new(id), AttemptIndex::new(attempt_index));
    policy.may_write_attempt(id)
}

/// Latencies, costs and number of the responses behind the baseline latency of a route.
pub fn route_sums(policy: &mut Balancer, route: usize) -> [f64; 3] {
    policy.route_latency(RouteIndex::new(route)).unwrap().into()
}
