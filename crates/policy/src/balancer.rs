//! The policy of one instance: composes its parts and runs them in order in each step.
//!
//! Each part, such as the health checker or the rollout evaluator, owns its state and decisions.
//! This module passes the decisions of one part to the others. `events` handles events from the
//! host, and `persistence` saves and restores snapshots.

mod events;
mod persistence;
mod status;

pub use status::{EndpointStatus, TableSizes};

use std::time::Duration;

use crate::admission::{Admission, ConcurrencyLimits, PriorityScale, decide_admission};
use crate::endpoints::{EndpointLoads, EndpointTable};
use crate::health::HealthChecker;
use crate::host::DecisionSink;
use crate::latency::{LatencyModel, RequestWork};
use crate::requests::{Attempt, AttemptConditions, Request, RequestTable};
use crate::retries::{AttemptTimeouts, KeyBuilds, may_attempt};
use crate::rollout::{
    AttemptTarget, Evaluator, ExposureLimiter, FleetComparison, FleetState, FleetView, Rollout,
    RolloutTracker, RolloutView, VoteScheduler, attempt_conditions,
};
use crate::routing::{EndpointSelector, RoutingInputs};
use crate::schedule::{EVALUATION_INTERVAL, SWEEP_INTERVAL, Schedule};
use crate::settings::Settings;
use crate::snapshot::RouteLatency;
use crate::statistics::{Arm, WindowKey};
use crate::step_context::StepContext;
use crate::types::{
    AttemptId, AttemptIndex, BuildNumber, EndpointIndex, RequestId, RouteIndex, Timestamp,
};
use crate::warm_up::SlowStart;

/// Source of the events that occurred since the last step.
pub trait EventSource {
    /// Delivers the events in order, as calls on the policy.
    fn deliver(&mut self, policy: &mut Balancer);
}

/// An attempt that has timed out while it is still in flight.
#[derive(Clone, Copy, Debug)]
struct TimedOutAttempt {
    id: AttemptId,
    age: Duration,
}

/// The policy of one instance. Its host calls [`Balancer::step`] and supplies the events.
pub struct Balancer {
    context: StepContext,
    /// When this instance shuts down, or [`Timestamp::MAX`] while that is not known. All requests
    /// must be answered by then.
    shutdown_deadline: Timestamp,
    schedule: Schedule,
    endpoints: EndpointTable,
    loads: EndpointLoads,
    requests: RequestTable,
    health: HealthChecker,
    latency: LatencyModel,
    slow_start: SlowStart,
    key_builds: KeyBuilds,
    limits: ConcurrencyLimits,
    priorities: PriorityScale,
    rollout: RolloutTracker,
    exposure: ExposureLimiter,
    evaluator: Evaluator,
    fleet_comparison: FleetComparison,
    votes: VoteScheduler,
}

/// Construction, and queries for hosts and tests.
impl Balancer {
    /// Creates an instance that starts at `now`, without any learned state.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Self {
        Balancer {
            shutdown_deadline: Timestamp::MAX,
            schedule: Schedule::new(now, settings.poll_endpoints),
            endpoints: EndpointTable::default(),
            loads: EndpointLoads::default(),
            requests: RequestTable::default(),
            health: HealthChecker::default(),
            latency: LatencyModel::new(settings.routes.len()),
            slow_start: SlowStart::new(),
            key_builds: KeyBuilds::default(),
            limits: ConcurrencyLimits::new(),
            priorities: PriorityScale::default(),
            rollout: RolloutTracker::default(),
            exposure: ExposureLimiter::default(),
            evaluator: Evaluator::default(),
            fleet_comparison: FleetComparison::new(),
            votes: VoteScheduler::new(now),
            context: StepContext::new(settings, seed, now),
        }
    }

    /// Returns the time of the last step.
    pub fn now(&self) -> Timestamp {
        self.context.now
    }

    /// Returns the time for which the next step has been requested.
    pub fn wake_up_at(&self) -> Timestamp {
        self.schedule.wake_up_at()
    }

    /// Returns the rollout of the newest build, once the platform has announced it.
    pub fn rollout(&self) -> Option<Rollout> {
        self.rollout.current()
    }

    /// Returns the build that this instance rejected last; `None` if it has rejected none since it
    /// started.
    pub fn rejected_build(&self) -> Option<BuildNumber> {
        self.evaluator.rejected_build()
    }

    /// Returns the outcomes of the fleet before the rollout, with slow responses as failures.
    pub fn fleet_baseline(&self) -> Arm {
        self.evaluator.fleet_baseline().arm
    }

    /// Returns the latest build that has answered an idempotency key, if one is recorded. Keys are
    /// recorded only with the setting `monotonic_key_builds`.
    pub fn key_build(&self, key: &str) -> Option<BuildNumber> {
        self.key_builds.get(key)
    }

    /// Returns the sums from which the baseline latency of a route is computed, if the route is
    /// known.
    pub fn route_latency(&mut self, route: RouteIndex) -> Option<RouteLatency> {
        self.latency.route_sums(Some(route), self.context.now)
    }

    /// Returns the index of an endpoint, if it is known.
    pub fn endpoint_index(&self, name: &str) -> Option<EndpointIndex> {
        self.endpoints.find(name)
    }

    /// Returns the state and load of an endpoint, if it is known.
    pub fn endpoint_status(&self, name: &str) -> Option<EndpointStatus> {
        let index = self.endpoints.find(name)?;
        Some(EndpointStatus {
            state: self.endpoints[index].state,
            ejected: self.health.is_ejected(index),
            in_flight: self.loads.in_flight(index),
            reported_load: self.loads.reported(index).in_flight,
        })
    }

    /// Returns the number of entries in each table.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            endpoint_indexes: self.endpoints.len(),
            endpoint_names: self.endpoints.name_count(),
            outcome_counts: self.evaluator.outcome_key_count(),
            key_builds: self.key_builds.len(),
            open_requests: self.requests.len(),
        }
    }
}

/// The steps of the policy.
impl Balancer {
    /// Processes the events since the last step and makes the decisions that follow from them.
    pub fn step(
        &mut self,
        now: Timestamp,
        events: &mut dyn EventSource,
        sink: &mut dyn DecisionSink,
    ) {
        self.context.stalled = self.schedule.is_stalled(now);
        self.context.now = now;
        events.deliver(self);
        if self.schedule.take_due_poll(now) {
            sink.poll_endpoints();
        }
        if self.schedule.take_due_sweep(now) {
            self.sweep(sink);
        }
        if self.schedule.take_due_evaluation(now) {
            self.remove_expired();
            self.evaluate(sink);
            self.cast_vote(sink);
            self.check_endpoints(sink);
            self.limits.lower_idle_limit();
        }
        let in_service = self.health.in_service_count(&self.endpoints);
        self.limits.enforce_minimum(in_service, &self.context);
        self.serve_requests(sink);
        self.schedule_wake_up(sink);
    }

    /// Counts the attempts in flight, records those that have timed out, and cancels those whose
    /// request is finished.
    fn sweep(&mut self, sink: &mut dyn DecisionSink) {
        self.exposure.remove_expired(&self.context);
        let is_congested = self.limits.is_congested();
        let timeouts = AttemptTimeouts::new(&mut self.latency, is_congested, &self.context);
        let mut in_flight = 0.0;
        let mut timed_out = Vec::new();
        for mut attempt in self.requests.awaiting_response() {
            let last_response_at = self.health.last_response_at(attempt.endpoint);
            let timeout = timeouts.check(&mut attempt, last_response_at);
            if timeout.endpoint_is_unresponsive {
                self.health.mark_unresponsive(attempt.endpoint);
            }
            in_flight += f64::from(timeout.counts_as_in_flight);
            if timeout.has_timed_out {
                let age = self.context.now - attempt.sent_at;
                timed_out.push(TimedOutAttempt {
                    id: attempt.id,
                    age,
                });
            }
            if timeout.must_be_cancelled {
                sink.cancel_attempt(attempt.id);
            }
        }
        self.limits.set_in_flight(in_flight);
        for attempt in timed_out {
            self.record_timed_out(attempt);
        }
    }

    /// Removes evidence that has decayed, idempotency keys that no longer restrict routing, and the
    /// names of endpoints that are neither listed nor referenced.
    fn remove_expired(&mut self) {
        self.evaluator.remove_expired(self.context.now);
        self.key_builds.remove_expired(&self.endpoints);
        let is_referenced = |index| {
            self.evaluator.refers_to(index)
                || self.requests.refers_to(index)
                || self.health.check_in_flight(index)
                || self.loads.in_flight(index) > 0.0
        };
        self.endpoints.remove_unreferenced(is_referenced);
    }

    fn evaluate(&mut self, sink: &mut dyn DecisionSink) {
        let Some(rollout) = self.rollout.current() else {
            return;
        };
        let fleet = FleetView {
            endpoints: &self.endpoints,
            health: &self.health,
        };
        if let Some(verdict) = self.evaluator.evaluate(rollout, fleet, &self.context) {
            sink.report_rollback_verdict(&verdict);
        }
    }

    fn cast_vote(&mut self, sink: &mut dyn DecisionSink) {
        let Some(rollout) = self.rollout.current() else {
            return;
        };
        let assessment = self.evaluator.assessment(rollout);
        let vote = self.votes.next_vote(rollout, assessment, &mut self.context);
        if let Some(ballot) = vote {
            sink.cast_vote(ballot);
        }
    }

    /// Starts health checks, ejects endpoints, and records the time that warm endpoints have been
    /// in service.
    fn check_endpoints(&mut self, sink: &mut dyn DecisionSink) {
        let now = self.context.now;
        self.health.check_endpoints(&self.endpoints, now, sink);
        let warm_up_time = self.context.settings.warm_up_time;
        for (index, endpoint) in self.endpoints.ready() {
            let started_at = endpoint.process.started_at.unwrap_or_default();
            let is_warm = now >= started_at + warm_up_time;
            if is_warm && !self.health.is_ejected(index) {
                let class = endpoint.hardware_class;
                self.slow_start
                    .record_time_in_service(class, EVALUATION_INTERVAL, now);
            }
        }
    }

    /// Sends waiting requests to endpoints, and rejects or fails those that cannot be served in
    /// time.
    fn serve_requests(&mut self, sink: &mut dyn DecisionSink) {
        // If no endpoint is found for the first attempt of one request, none will be found for
        // other first attempts on the same route. These are skipped to save CPU time under
        // congestion.
        let mut is_saturated = vec![false; self.context.settings.routes.len()];
        for id in self.requests.awaiting_attempt() {
            if !self.admit(id, sink) {
                continue;
            }
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let route = request.route.get();
            let is_interchangeable =
                request.attempts.is_empty() && !self.context.settings.monotonic_key_builds;
            if let Some(endpoint) = request.crash_suspect {
                self.check_endpoint(endpoint, sink);
            } else if self.limits.admits() && !(is_interchangeable && is_saturated[route]) {
                match self.choose_endpoint(id) {
                    Some(endpoint) => self.start_attempt(id, endpoint, sink),
                    None => is_saturated[route] |= is_interchangeable,
                }
            }
        }
    }

    /// Returns whether a waiting request may be sent now. Rejects or fails it if it cannot be
    /// served any more.
    fn admit(&mut self, id: RequestId, sink: &mut dyn DecisionSink) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let work = RequestWork {
            route: request.route,
            cost: request.cost,
        };
        let expected = self.latency.expected_latency(work, self.context.now);
        let endpoints = &self.endpoints;
        let context = &self.context;
        let may_be_attempted = || {
            let may_attempt = |endpoint| may_attempt(request, endpoint, endpoints, context);
            endpoints.iter().any(may_attempt)
        };
        match decide_admission(request, expected, may_be_attempted, context) {
            Admission::Serve => return true,
            Admission::AwaitAttempt => return false,
            Admission::Reject { retry_after } => sink.reject_request(id, retry_after),
            Admission::Fail => sink.fail_request(id),
        }
        self.requests.finish(id);
        false
    }

    fn choose_endpoint(&mut self, id: RequestId) -> Option<EndpointIndex> {
        let request = self.requests.get(id)?;
        let lowest_build = self.lowest_build(request);
        let inputs = RoutingInputs {
            view: RolloutView {
                rollout: &self.rollout,
                endpoints: &self.endpoints,
            },
            health: &self.health,
            limits: &self.limits,
            exposure: &self.exposure,
            loads: &mut self.loads,
            latency: &mut self.latency,
            slow_start: &mut self.slow_start,
        };
        EndpointSelector::new(inputs, &mut self.context).choose(request, lowest_build)
    }

    /// Returns the lowest build to which a request may be sent. There is no restriction while a
    /// build is being rolled back, because its keys must then go to the previous build.
    fn lowest_build(&self, request: &Request) -> BuildNumber {
        if self.rollout.is_rolled_back_or_unknown() {
            return BuildNumber::default();
        }
        self.key_builds
            .lowest_build(request, &self.requests, &self.context)
    }

    /// Returns the conditions for an attempt that is sent to an endpoint now.
    fn attempt_conditions(&mut self, index: EndpointIndex) -> AttemptConditions {
        let now = self.context.now;
        let load = self.loads.load(self.endpoints.with_class(index), now);
        let rollout = self.rollout.current();
        let newest = rollout.map_or(BuildNumber::new(u32::MAX), |rollout| rollout.build);
        let fleet = FleetState {
            rollout,
            in_service: self.health.in_service(&self.endpoints, newest),
            is_steady: self.is_steady(),
            baseline: self.evaluator.fleet_baseline(),
        };
        let is_comparable = self.fleet_comparison.is_comparable(&fleet, &self.context);
        let target = AttemptTarget {
            endpoint: &self.endpoints[index],
            load: load.in_flight,
        };
        attempt_conditions(&target, &fleet, is_comparable, &self.context)
    }

    /// Returns whether there is no congestion, and no rollout is in progress or has ended recently.
    fn is_steady(&self) -> bool {
        !self.limits.is_congested() && self.rollout.has_no_recent_rollout(&self.context)
    }

    /// Starts a health check of an endpoint unless one is in flight.
    fn check_endpoint(&mut self, index: EndpointIndex, sink: &mut dyn DecisionSink) {
        if let Some(deadline) = self.health.start_check(index, self.context.now) {
            sink.start_health_check(&self.endpoints[index].name, deadline);
        }
    }

    /// Sends an attempt to an endpoint and records it in all parts.
    fn start_attempt(&mut self, id: RequestId, index: EndpointIndex, sink: &mut dyn DecisionSink) {
        let now = self.context.now;
        let conditions = self.attempt_conditions(index);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let endpoint = &self.endpoints[index];
        let attempt = AttemptId::new(id, AttemptIndex::new(request.attempts.len()));
        sink.start_attempt(attempt, &endpoint.name, request.deadline);
        let started_at = endpoint.process.started_at;
        let warm_up_time = self.context.settings.warm_up_time;
        if started_at.is_some_and(|started_at| now - started_at < warm_up_time) {
            self.slow_start.consume_credit(index);
        }
        self.loads.start_attempt(index);
        self.health.start_attempt(index, now);
        self.limits.start_attempt();
        self.fleet_comparison.record_attempt(now);
        let key = WindowKey {
            build: endpoint.build(),
            route: request.route,
        };
        self.exposure.record_attempt(key, now);
        let attempt = Attempt::new(index, endpoint.process, conditions, now);
        self.requests.start_attempt(id, attempt);
    }

    fn schedule_wake_up(&mut self, sink: &mut dyn DecisionSink) {
        let now = self.context.now;
        let pause = if self.requests.is_empty() {
            EVALUATION_INTERVAL
        } else {
            // A waiting request must be rejected or failed as soon as it misses its objective, so
            // the next step may be due before the regular interval has passed.
            let next = self.requests.next_missed_objective(now);
            next.map_or(SWEEP_INTERVAL, |next| SWEEP_INTERVAL.min(next - now))
        };
        if self.schedule.update_wake_up(pause, now) {
            sink.schedule_wake_up(pause);
        }
    }
}
