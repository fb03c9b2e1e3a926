//! Events from the host: they are recorded here, and what follows from them is decided in
//! `decisions`.

use std::time::Duration;

use crate::Balancer;
use crate::balancer::Rollout;
use crate::decisions::START_UP_TIME;
use crate::requests::{Attempt, AttemptState, Request};
use crate::statistics::CountKey;
use crate::traffic::MIN_SPAN;
use crate::types::{
    AttemptOutcome, AttemptResult, EndpointEntry, EndpointState, EvidenceTest, IncomingRequest,
    LoadReport, RolloutPhase, RolloutStatus, Timestamp, VoteResult, whole_micros,
};

impl Balancer {
    /// A complete endpoint list begins: what it does not name has gone.
    pub fn on_complete_endpoint_list(&mut self) {
        for endpoint in self.endpoints.iter_mut() {
            endpoint.state = EndpointState::Removed;
        }
    }

    /// One entry of the endpoint list has been told.
    pub fn on_endpoint(&mut self, entry: EndpointEntry<'_>) {
        let hardware_class = self.endpoints.find_or_insert_class(entry.hardware_class);
        let index = self.endpoints.find_or_insert(entry.name);
        let endpoint = &self.endpoints[index];
        if endpoint.build != entry.build || endpoint.started_at != entry.started_at {
            self.start_process(index, entry.started_at);
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.zone = entry.zone.into();
        endpoint.in_other_zone = entry.zone != self.settings.zone;
        endpoint.cell = entry.cell;
        endpoint.hardware_class = hardware_class;
        endpoint.build = entry.build;
        endpoint.state = entry.state;
        endpoint.started_at = entry.started_at;
    }

    /// The endpoint list could not be had.
    pub fn on_endpoint_list_failed(&mut self) {
        self.schedule_poll_after_failure();
    }

    /// A client has sent a request.
    pub fn on_request(&mut self, id: u64, incoming: IncomingRequest<'_>) {
        let now = self.clock.now;
        let route = incoming.route;
        self.exposure.record_request(route, now);
        self.traffic.arrivals.add([1.0], now);
        let objective = self.settings.routes[route].latency_objective;
        let (cost, priority_level) = self.prioritize(route, incoming.cost_hint);
        let deadline = (now + incoming.time_remaining).min(self.shutdown_deadline);
        let request = Request {
            route,
            idempotency_key: incoming.idempotency_key.map(String::from),
            cost,
            arrived_at: now,
            deadline,
            objective_deadline: deadline.min(now + objective),
            priority_level,
            finished: false,
            crash_suspect: None,
            query_of_death: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
    }

    /// An attempt has ended.
    pub fn on_attempt_result(&mut self, id: u64, index: usize, result: AttemptResult) {
        let outcome = result.outcome;
        let Some(attempt) = self.requests.finish_attempt(id, index, result) else {
            return;
        };
        let endpoint = attempt.endpoint;
        if outcome == AttemptOutcome::ConnectionReset && self.settings.health_checks {
            self.requests.suspect_crash(id, endpoint);
        }
        if !outcome.never_executed() {
            self.bind_key(id, attempt.build, outcome);
        }
        let micros = whole_micros(result.duration);
        if !attempt.evidence_recorded() {
            self.record_evidence(id, index, outcome, micros);
        }
        self.endpoints
            .record_load(endpoint, result.load, self.clock.now);
        self.endpoints[endpoint].in_flight -= 1.0;
        if outcome == AttemptOutcome::Succeeded {
            self.record_success(id, attempt, micros);
        }
        self.update_health(endpoint, outcome);
        self.update_limits(id, endpoint, outcome, micros);
        self.requests.remove_if_done(id);
    }

    /// Takes what an answer tells of its endpoint's capacity and speed.
    fn record_success(&mut self, id: u64, attempt: Attempt, micros: u64) {
        let endpoint = attempt.endpoint;
        let warm = attempt.conditions.warm;
        if warm {
            let class = self.endpoints.class_of(endpoint);
            class.completions.add([1.0, 0.0], self.clock.now);
        }
        if !self.clock.stalled {
            let counts_as_baseline = warm && !self.is_under_evaluation(attempt.build);
            self.record_latency(id, endpoint, micros, counts_as_baseline);
        }
    }

    /// Notes the build that answered a key, also where the answer was lost on its way: the endpoint
    /// may have given it. A late answer of an earlier build takes nothing back.
    fn bind_key(&mut self, id: u64, build: u32, outcome: AttemptOutcome) {
        let no_answer = matches!(
            outcome,
            AttemptOutcome::Failed | AttemptOutcome::InvalidRequest
        );
        if no_answer || !self.settings.monotonic_key_builds {
            return;
        }
        let key = self
            .requests
            .get(id)
            .and_then(|request| request.idempotency_key.clone());
        if let Some(key) = key {
            let bound = self.key_builds.entry(key).or_default();
            *bound = build.max(*bound);
        }
    }

    /// Takes the latency of an answer, or of an attempt whose answer may be lost.
    ///
    /// Baselines are learned in steady times only: times tell of the fleet as it should be, and a
    /// jam that a bad build leaves behind is no measure for the next.
    pub(crate) fn record_latency(
        &mut self,
        id: u64,
        index: usize,
        micros: u64,
        counts_as_baseline: bool,
    ) {
        let now = self.clock.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (route, cost) = (request.route, request.cost);
        let micros = micros as f64;
        let load = 1.0 + self.endpoint_load(index).in_flight;
        let expected = self.latency.expected(route, cost, now);
        let is_steady = self.is_steady();
        if let Some(expected) = expected {
            let slowdown = [micros / expected, 1.0];
            let endpoint = &mut self.endpoints[index];
            endpoint.slowdown.add(slowdown, now);
            let zones = &mut self.zone_slowdowns;
            let zone = if endpoint.in_other_zone {
                &mut zones.other
            } else {
                &mut zones.own
            };
            zone.add(slowdown, now);
            self.endpoints.class_of(index).slowdown.add(slowdown, now);
        }
        if counts_as_baseline && (is_steady || expected.is_none()) {
            self.latency.record(route, micros, cost, now);
            if let Some(expected) = expected {
                let baseline = [micros / expected, load, 1.0];
                self.endpoints.class_of(index).baseline.add(baseline, now);
            }
        }
    }

    /// The answer to an attempt has begun to stream to the client.
    pub fn on_response_started(&mut self, id: u64, index: usize) {
        let Some(attempt) = self.requests.attempt_mut(id, index) else {
            return;
        };
        if let AttemptState::AwaitingResponse {
            evidence_recorded, ..
        } = attempt.state
        {
            attempt.state = AttemptState::Streaming { evidence_recorded };
        }
    }

    /// The client waits for no answer any more.
    pub fn on_client_disconnected(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(id) {
            request.finished = true;
            self.requests.remove_if_done(id);
        }
    }

    /// A health check has ended.
    pub fn on_health_check(
        &mut self,
        name: &str,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        if let Some(index) = self.endpoints.find(name) {
            self.endpoints.record_load(index, load, self.clock.now);
            self.apply_health_check(index, outcome);
        }
    }

    /// The platform has answered the vote that is out.
    pub fn on_vote_result(&mut self, result: VoteResult) {
        self.voting.settle(result, self.clock.now);
    }

    /// The platform has told where the newest build's rollout stands.
    pub fn on_rollout_status(&mut self, status: RolloutStatus) {
        let RolloutStatus {
            build,
            stage,
            phase,
            traffic_cap,
            age,
        } = status;
        let now = self.clock.now;
        let previous = self.rollout;
        if previous
            .is_some_and(|previous| previous.build == build && traffic_cap < previous.traffic_cap)
        {
            self.exposure
                .restart_counting(now + self.settings.grace_period);
        }
        if previous.is_none_or(|previous| previous.build < build) {
            let [attempts] = self.traffic.attempts.read(now);
            let seconds = self.span_seconds(&self.traffic.attempts, MIN_SPAN);
            let endpoints = self.endpoints.in_service(0).total();
            self.evaluation.begin(endpoints, attempts / seconds, now);
        }
        if phase == RolloutPhase::RollingBack {
            // What a bad build has done to the fleet is no measure for the next.
            self.evaluation.take_fleet_arm(now);
        }
        self.evaluation.rollout_seen |=
            matches!(phase, RolloutPhase::Canary | RolloutPhase::RollingBack);
        self.rollout = Some(Rollout {
            build,
            stage,
            phase,
            traffic_cap,
            since: now - age,
        });
    }

    /// A client has complained of an answer that an endpoint gave so long ago.
    pub fn on_answer_flagged(&mut self, name: &str, age: Duration) {
        if let Some(index) = self.endpoints.find(name) {
            self.record_flagged_answer(index, self.clock.now - age);
        }
    }

    /// A complaint of an answer: a failure whose outcome is counted already.
    fn record_flagged_answer(&mut self, index: usize, answered_at: Timestamp) {
        let endpoint = &self.endpoints[index];
        if answered_at < endpoint.started_at.unwrap_or_default() + START_UP_TIME {
            return;
        }
        let key = CountKey {
            build: endpoint.build,
            endpoint: index,
        };
        for test in [EvidenceTest::Failures, EvidenceTest::Errors] {
            self.evaluation
                .record_late_failure(key, test, self.clock.now);
        }
    }

    /// This instance ends then: what is open must have its answer before, whatever time its client
    /// gives.
    pub fn begin_shutdown(&mut self, deadline: Timestamp) {
        self.shutdown_deadline = deadline;
        for (_, request) in self.requests.iter_mut() {
            request.deadline = request.deadline.min(deadline);
            request.objective_deadline = request.objective_deadline.min(deadline);
        }
    }
}
