//! Handlers of the host's events, which pass each event to the parts that depend on it.

use std::time::Duration;

use super::{Balancer, TimedOutAttempt};
use crate::admission::{CostAndValue, LatencyObservation, retry_after};
use crate::endpoints::EndpointUpdate;
use crate::health::{EndpointOutcome, HealthChange};
use crate::latency::{BaselineLearning, LatencySample, RequestWork};
use crate::requests::{Attempt, Request};
use crate::retries::{PossibleAnswer, may_write};
use crate::rollout::{AttemptEvidence, EndpointObservation, FlaggedResponse, RolloutView};
use crate::statistics::WindowKey;
use crate::types::{
    AttemptId, AttemptOutcome, AttemptResult, EndpointEntry, EndpointIndex, HardwareClassIndex,
    IncomingRequest, LoadReport, RequestId, RolloutPhase, RolloutStatus, RouteIndex, Timestamp,
    VoteResult,
};
use crate::warm_up::warm_up_fraction;

/// Handlers of the endpoint list.
impl Balancer {
    /// Marks all endpoints as removed, because the entries of a complete endpoint list follow.
    /// Endpoints that do not occur in it stay removed.
    pub fn on_complete_endpoint_list(&mut self) {
        self.endpoints.mark_all_removed();
    }

    /// Adds or updates an endpoint from an entry of the endpoint list, and resets its state if a
    /// new process runs there.
    pub fn on_endpoint(&mut self, entry: EndpointEntry<'_>) {
        let own_zone = &self.context.settings.zone;
        let change = self.endpoints.update(&entry, own_zone);
        self.add_class(change.endpoint.class);
        if change.is_new {
            self.add_endpoint(change.endpoint.index);
        }
        if change.is_new_process {
            self.record_process_start(change);
        }
    }

    /// Adds a hardware class to all parts.
    pub(super) fn add_class(&mut self, class: HardwareClassIndex) {
        self.loads.add_class(class);
        self.latency.add_class(class);
        self.slow_start.add_class(class);
    }

    /// Adds an endpoint to all parts.
    fn add_endpoint(&mut self, index: EndpointIndex) {
        self.loads.add_endpoint(index);
        self.health.add_endpoint(index);
        self.latency.add_endpoint(index);
        self.slow_start.add_endpoint(index);
        self.limits.add_endpoint(index);
        self.evaluator.add_endpoint(index);
    }

    /// Resets the state of an endpoint at which a new process runs. A process that started recently
    /// has less than its full capacity, so it is subject to slow start.
    fn record_process_start(&mut self, change: EndpointUpdate) {
        let index = change.endpoint.index;
        let now = self.context.now;
        let started_at = self.endpoints[index].process.started_at;
        let warm_up_time = self.context.settings.warm_up_time;
        let warms_up = started_at.is_some_and(|started_at| now < started_at + warm_up_time);
        let name_rank = self.endpoints.name_rank(index);
        self.loads.record_process_start(index);
        self.health.record_process_start(index, now);
        self.latency.clear_slowdown(index);
        self.limits.record_process_start(index, warms_up);
        self.slow_start
            .record_process_start(index, name_rank, &self.context);
    }

    /// Schedules another poll of the endpoint list after a failed one.
    pub fn on_endpoint_list_failed(&mut self) {
        let max_interval = self.context.settings.max_poll_interval;
        let now = self.context.now;
        self.schedule
            .retry_poll(max_interval, &mut self.context.random, now);
    }
}

/// Handlers of requests.
impl Balancer {
    /// Adds a request from a client to the open requests, with its cost, deadlines and priority
    /// level.
    pub fn on_request(&mut self, id: RequestId, incoming: IncomingRequest<'_>) {
        let now = self.context.now;
        let route = incoming.route;
        self.exposure.record_request(route, now);
        self.slow_start.record_arrival(now);
        let settings = &self.context.settings.routes[route.get()];
        let cost_and_value = CostAndValue::new(settings, incoming.cost_hint);
        let work = RequestWork {
            route,
            cost: cost_and_value.cost,
        };
        let expected = self.latency.expected_latency(work, now);
        let deadline = (now + incoming.time_remaining).min(self.shutdown_deadline);
        let request = Request {
            route,
            idempotency_key: incoming.idempotency_key.map(String::from),
            cost: cost_and_value.cost,
            arrived_at: now,
            deadline,
            objective_deadline: deadline.min(now + settings.latency_objective),
            priority_level: self.priorities.level(settings, cost_and_value, expected),
            finished: false,
            crash_suspect: None,
            query_of_death: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
    }

    /// Returns the delay after which the client of a request on this route should retry, for hosts
    /// that reject a request which they cannot store.
    pub fn retry_after(&self, route: RouteIndex) -> Duration {
        let settings = &self.context.settings;
        retry_after(&settings.routes[route.get()], settings)
    }

    /// Checks all conditions of an attempt again and returns whether it may be written to its
    /// connection. The host calls this if it had to establish the connection first, because the
    /// conditions may have changed since the endpoint was selected. An attempt that may not be
    /// written has certainly not been executed.
    pub fn may_write_attempt(&mut self, id: AttemptId) -> bool {
        let now = self.context.now;
        let Some((request, attempt)) = self.requests.live_attempt(id, now) else {
            return false;
        };
        let build = attempt.process.build;
        let may_write = self.endpoints[attempt.endpoint].still_runs(attempt.process)
            && build >= self.lowest_build(request)
            && may_write(request, id.index, &self.endpoints, &self.context);
        if !may_write {
            return false;
        }
        // The limit on traffic to builds under evaluation (rule 5) counts an attempt from the time
        // at which it is written.
        let key = WindowKey {
            build,
            route: request.route,
        };
        self.exposure.remove_attempt(key, attempt.sent_at);
        let view = RolloutView {
            rollout: &self.rollout,
            endpoints: &self.endpoints,
        };
        let may_expose = self.exposure.may_attempt(key, view, &self.context);
        if may_expose {
            self.exposure.record_attempt(key, now);
        }
        may_expose
    }

    /// Marks the response to an attempt as streaming to the client. No time limit applies to the
    /// attempt from then on.
    pub fn on_response_started(&mut self, id: AttemptId) {
        self.requests.start_streaming(id);
    }

    /// Marks a request as finished because its client has disconnected.
    pub fn on_client_disconnected(&mut self, id: RequestId) {
        self.requests.finish(id);
    }

    /// Limits the deadlines of all open and later requests to the end of this instance's shutdown,
    /// even if their clients would wait longer.
    pub fn begin_shutdown(&mut self, deadline: Timestamp) {
        self.shutdown_deadline = deadline;
        self.requests.limit_deadlines(deadline);
    }
}

/// Handlers of the results of attempts and health checks.
impl Balancer {
    /// Records the result of an attempt in all parts. The result is ignored if the attempt is
    /// unknown or has already ended.
    pub fn on_attempt_result(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.requests.finish_attempt(id, &result) else {
            return;
        };
        let AttemptResult {
            outcome, duration, ..
        } = result;
        let index = attempt.endpoint;
        let suspects_crash = outcome == AttemptOutcome::ConnectionReset;
        if suspects_crash && self.context.settings.health_checks {
            self.requests.suspect_crash(id.request, index);
        }
        if let Some(request) = self.requests.get(id.request) {
            let answer = PossibleAnswer {
                build: attempt.process.build,
                outcome,
            };
            self.key_builds.record(request, answer, &self.context);
        }
        if !attempt.evidence_finalized() {
            self.record_evidence(id, outcome, duration);
        }
        let endpoint = self.endpoints.with_class(index);
        self.loads
            .record_report(endpoint, result.load, self.context.now);
        self.loads.end_attempt(index);
        if outcome == AttemptOutcome::Succeeded {
            self.record_success(id.request, &attempt, duration);
        }
        self.record_health(EndpointOutcome {
            endpoint: index,
            outcome,
        });
        self.adapt_limits(id.request, index, &result);
        self.requests.remove_if_done(id.request);
    }

    /// Records a successful response for the capacity and latency estimates of its endpoint.
    fn record_success(&mut self, id: RequestId, attempt: &Attempt, latency: Duration) {
        if attempt.conditions.warm {
            let class = self.endpoints[attempt.endpoint].hardware_class;
            self.slow_start.record_response(class, self.context.now);
        }
        if !self.context.stalled {
            self.record_latency(id, attempt, latency);
        }
    }

    /// Records an attempt that has timed out. If it is due to be hedged, its age is recorded as a
    /// latency, because latencies would be underestimated if only completed responses were
    /// measured.
    pub(super) fn record_timed_out(&mut self, timed_out: TimedOutAttempt) {
        let TimedOutAttempt { id, age } = timed_out;
        self.record_evidence(id, AttemptOutcome::TimedOut, age);
        let attempt = self.attempt(id);
        if let Some(attempt) = attempt.filter(Attempt::hedge_due) {
            self.record_latency(id.request, &attempt, age);
        }
    }

    fn attempt(&self, id: AttemptId) -> Option<Attempt> {
        let request = self.requests.get(id.request)?;
        request.attempt(id.index).copied()
    }

    /// Records the outcome of an attempt as evidence about its build.
    fn record_evidence(&mut self, id: AttemptId, outcome: AttemptOutcome, latency: Duration) {
        let now = self.context.now;
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let Some(attempt) = request.attempt(id.index) else {
            return;
        };
        let work = RequestWork {
            route: request.route,
            cost: request.cost,
        };
        let endpoint = self.endpoints.with_class(attempt.endpoint);
        let observation = EndpointObservation {
            load: self.loads.load(endpoint, now).in_flight,
            class_baseline: self.latency.class_baseline(endpoint.class, work, now),
            warm_up_fraction: warm_up_fraction(&self.endpoints[endpoint.index], &self.context),
            last_response_at: self.health.last_response_at(endpoint.index),
        };
        let evidence = AttemptEvidence {
            attempt,
            outcome,
            latency,
            objective: self.context.settings.routes[request.route.get()].latency_objective,
            endpoint: observation,
        };
        self.evaluator.record_attempt(&evidence, &self.context);
    }

    /// Records the latency of a response, or the age of an attempt whose response may be lost.
    ///
    /// Known baselines are only updated in steady state. Otherwise, congestion left over from a bad
    /// build would distort the baseline for the next build.
    fn record_latency(&mut self, id: RequestId, attempt: &Attempt, latency: Duration) {
        let now = self.context.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let endpoint = self.endpoints.with_class(attempt.endpoint);
        let sample = LatencySample {
            endpoint,
            in_other_zone: self.endpoints[attempt.endpoint].in_other_zone,
            work: RequestWork {
                route: request.route,
                cost: request.cost,
            },
            latency,
            endpoint_load: 1.0 + self.loads.load(endpoint, now).in_flight,
        };
        let learning = self.baseline_learning(attempt);
        self.latency.record(&sample, learning, now);
    }

    /// Returns under which condition the latency of an attempt may update the baselines.
    fn baseline_learning(&self, attempt: &Attempt) -> BaselineLearning {
        let build = attempt.process.build;
        let is_under_evaluation = self.rollout.is_under_evaluation(build, &self.endpoints);
        if !attempt.conditions.warm || is_under_evaluation {
            BaselineLearning::Never
        } else if self.is_steady() {
            BaselineLearning::Always
        } else {
            BaselineLearning::IfUnknown
        }
    }

    /// Updates the health and failure history of an endpoint with the outcome of an attempt.
    fn record_health(&mut self, attempt: EndpointOutcome) {
        let EndpointOutcome { endpoint, outcome } = attempt;
        let change = self
            .health
            .record_outcome(attempt, &self.endpoints, &self.context);
        self.apply_health_change(endpoint, change);
        let is_caused_by_load =
            outcome == AttemptOutcome::TimedOut && self.limits.fleet_is_overloaded();
        if outcome.counts_against_endpoint() && !is_caused_by_load {
            self.latency.record_failure(endpoint, self.context.now);
        }
    }

    fn apply_health_change(&mut self, endpoint: EndpointIndex, change: HealthChange) {
        match change {
            HealthChange::None => {}
            HealthChange::ReturnedToService => {
                self.latency.clear_slowdown(endpoint);
                self.limits.return_to_service(endpoint);
            }
        }
    }

    /// Adapts the concurrency limits to the result of an attempt.
    fn adapt_limits(&mut self, id: RequestId, endpoint: EndpointIndex, result: &AttemptResult) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let observed = LatencyObservation {
            endpoint,
            endpoint_in_flight: self.loads.in_flight(endpoint),
            outcome: result.outcome,
            latency: result.duration,
            objective: self.context.settings.routes[request.route.get()].latency_objective,
        };
        self.limits.record(&observed, &self.context);
    }

    /// Records the result of a health check, which may return the endpoint to service. It also
    /// decides whether a request whose connection the endpoint has reset may be retried. The result
    /// of an unknown endpoint is ignored.
    pub fn on_health_check(
        &mut self,
        name: &str,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let Some(index) = self.endpoints.find(name) else {
            return;
        };
        let now = self.context.now;
        self.loads
            .record_report(self.endpoints.with_class(index), load, now);
        let is_down = matches!(
            outcome,
            AttemptOutcome::Refused | AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut
        );
        self.requests.resolve_crash_suspicion(index, is_down);
        let check = EndpointOutcome {
            endpoint: index,
            outcome,
        };
        let change = self.health.record_check(check, &self.endpoints, now);
        self.apply_health_change(index, change);
    }
}

/// Handlers of rollout events.
impl Balancer {
    /// Applies the rollout status of the newest build that the platform has announced. For a new
    /// build, the current state of the fleet becomes the baseline. A lower traffic cap resets the
    /// count of admitted requests, and a rollback discards the fleet's latencies.
    pub fn on_rollout_status(&mut self, status: RolloutStatus) {
        let now = self.context.now;
        let change = self.rollout.update(status, now);
        if change.has_lower_cap {
            let applies_from = now + self.context.settings.grace_period;
            self.exposure.restart_counting(applies_from);
        }
        if change.is_new_build {
            let attempts_per_second = self.fleet_comparison.attempts_per_second(&self.context);
            let in_service = self.health.in_service_count(&self.endpoints);
            self.evaluator
                .begin_rollout(in_service, attempts_per_second, now);
        }
        if status.phase == RolloutPhase::RollingBack {
            self.evaluator.discard_fleet_outcomes(now);
        }
    }

    /// Records the platform's response to the pending vote. It is ignored if no vote is pending.
    pub fn on_vote_result(&mut self, result: VoteResult) {
        self.votes.record_result(result, self.context.now);
    }

    /// Records a response that an endpoint sent `age` ago and that a client has flagged as wrong,
    /// as a failure of the endpoint's build. An unknown endpoint is ignored.
    pub fn on_response_flagged(&mut self, name: &str, age: Duration) {
        if let Some(endpoint) = self.endpoints.find(name) {
            let now = self.context.now;
            let flagged = FlaggedResponse {
                endpoint,
                process: self.endpoints[endpoint].process,
                responded_at: now - age,
            };
            self.evaluator.record_flagged_response(flagged, now);
        }
    }
}
