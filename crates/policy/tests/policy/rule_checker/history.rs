//! Generates the random events of a history: rollouts, endpoint replacements, requests, and the
//! results of attempts, health checks and votes. The order of the random draws is part of a
//! history: reordering them changes every history.

use std::time::Duration;

use tidescale_policy::types::{
    AttemptOutcome, BuildNumber, EndpointState, RequestId, RolloutPhase, RolloutStatus, RouteIndex,
    StageIndex, Timestamp, VoteResult,
};
use tidescale_policy::{Balancer, EventSource};

use super::model::{
    Arrival, ENDPOINT_COUNT, EffectiveCap, IssuedRequest, Observer, PendingCheck, SentAttempt,
    SimulatedEndpoint, endpoint_name,
};
use crate::harness::{AttemptResultBuilder, RequestBuilder, START, millis};

/// Length of the initial period of a history. Neither the rollout nor the endpoints change during
/// it, so that the instance can learn the endpoints' capacity.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Period during which most requests are on the same route. Without it, limits per route and limits
/// over all routes would hardly differ.
const DOMINANT_ROUTE_PERIOD: Duration = millis(1500);
/// Age of the new process when a replaced endpoint is listed as ready again.
const NEW_PROCESS_AGE: Duration = millis(300);
/// The minimum number of ready endpoints.
const MIN_READY_ENDPOINTS: usize = 2;
/// Id of the first request.
const FIRST_REQUEST_ID: u64 = 1000;
/// Number of values from which the change of an endpoint is drawn. A drawn change that does not
/// apply to a draining or removed endpoint restarts it.
const ENDPOINT_CHANGE_COUNT: u64 = 4;
/// Drawn change: a ready endpoint starts to drain.
const DRAIN: u64 = 0;
/// Drawn change: a draining endpoint is removed.
const REMOVE: u64 = 1;
/// Drawn change: a draining or removed endpoint restarts with the newest build instead of the one
/// before it.
const RESTART_WITH_NEWEST_BUILD: u64 = 2;

impl EventSource for Observer {
    fn deliver(&mut self, policy: &mut Balancer) {
        if self.now == START {
            self.announce_initial_state(policy);
        }
        self.apply_lower_cap();
        let is_quiet = self.now < START + QUIET_TIME;
        if !is_quiet && self.draw(0.02) {
            self.advance_rollout(policy);
        }
        if !is_quiet && self.draw(0.1) {
            self.change_endpoint(policy);
        }
        if self.poll_pending && self.draw(0.02) {
            self.poll_pending = false;
            policy.on_endpoint_list_failed();
        }
        self.end_attempts(policy);
        self.end_health_checks(policy);
        self.answer_vote(policy);
        if self.draw(0.01) {
            self.flag_wrong_response(policy);
        }
        if self.draw(0.01) {
            self.disconnect_latest_client(policy);
        }
        self.send_requests(policy);
    }
}

/// Rollouts.
impl Observer {
    fn announce_initial_state(&mut self, policy: &mut Balancer) {
        for index in 0..self.endpoints.len() {
            self.list_endpoint(policy, index);
        }
        policy.on_rollout_status(self.rollout);
    }

    /// Applies a lowered cap once its grace period has ended.
    fn apply_lower_cap(&mut self) {
        if self.lower_cap_applies_at.is_some_and(|at| self.now >= at) {
            self.effective_cap = EffectiveCap {
                traffic_cap: self.rollout.traffic_cap,
                counted_from: self.now,
            };
            self.lower_cap_applies_at = None;
        }
    }

    /// Starts another stage or build, or releases, rolls back or withdraws the current build. The
    /// traffic cap may rise or fall.
    fn advance_rollout(&mut self, policy: &mut Balancer) {
        let previous_build = self.rollout.build;
        self.rollout = self.next_rollout_status();
        let traffic_cap = self.rollout.traffic_cap;
        let is_lower = traffic_cap < self.effective_cap.traffic_cap;
        if is_lower && previous_build == self.rollout.build {
            let applies_at = self.now + self.settings.grace_period;
            self.lower_cap_applies_at.get_or_insert(applies_at);
        } else {
            self.effective_cap = EffectiveCap {
                traffic_cap,
                counted_from: Timestamp::ZERO,
            };
            self.lower_cap_applies_at = None;
        }
        policy.on_rollout_status(self.rollout);
    }

    fn next_rollout_status(&mut self) -> RolloutStatus {
        let current = RolloutStatus {
            age: Duration::ZERO,
            ..self.rollout
        };
        match current.phase {
            RolloutPhase::Released | RolloutPhase::Withdrawn => {
                let next = BuildNumber::new(current.build.get() + 1);
                self.canary_status(next, 0)
            }
            RolloutPhase::RollingBack => RolloutStatus {
                phase: RolloutPhase::Withdrawn,
                traffic_cap: 0.0,
                ..current
            },
            RolloutPhase::Canary => self.next_canary_status(current),
        }
    }

    fn next_canary_status(&mut self, current: RolloutStatus) -> RolloutStatus {
        let last_stage = self.settings.stage_caps.len() as u32 - 1;
        let stage = current.stage.get();
        if self.draw(0.2) {
            RolloutStatus {
                phase: RolloutPhase::RollingBack,
                traffic_cap: 0.0,
                ..current
            }
        } else if self.draw(0.2) {
            self.canary_status(current.build, 0)
        } else if stage < last_stage {
            self.canary_status(current.build, stage + 1)
        } else {
            RolloutStatus {
                phase: RolloutPhase::Released,
                traffic_cap: 1.0,
                ..current
            }
        }
    }

    fn canary_status(&self, build: BuildNumber, stage: u32) -> RolloutStatus {
        RolloutStatus {
            build,
            stage: StageIndex::new(stage),
            phase: RolloutPhase::Canary,
            traffic_cap: self.settings.stage_caps[stage as usize],
            age: Duration::ZERO,
        }
    }

    fn answer_vote(&mut self, policy: &mut Balancer) {
        if self.vote_pending && self.draw(0.3) {
            self.vote_pending = false;
            let result = if self.draw(0.7) {
                VoteResult::Accepted
            } else {
                VoteResult::Unknown
            };
            policy.on_vote_result(result);
        }
    }
}

/// Endpoints.
impl Observer {
    /// Drains or removes an endpoint, or lists it again with a new process and possibly another
    /// build.
    fn change_endpoint(&mut self, policy: &mut Balancer) {
        let index = (self.random.rand_u64() % ENDPOINT_COUNT) as usize;
        let change = self.random.rand_u64() % ENDPOINT_CHANGE_COUNT;
        let build = self.build_of_new_process(change);
        let moves_zone = self.draw(0.2);
        let is_ready = |endpoint: &&SimulatedEndpoint| endpoint.state == EndpointState::Ready;
        let may_remove = self.endpoints.iter().filter(is_ready).count() > MIN_READY_ENDPOINTS;
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        match (change, endpoint.state) {
            (DRAIN, EndpointState::Ready) if may_remove => {
                endpoint.state = EndpointState::Draining;
                endpoint.drain_started_at = now;
            }
            (REMOVE, EndpointState::Draining) if may_remove => {
                endpoint.state = EndpointState::Removed;
            }
            (_, EndpointState::Ready) => {}
            (_, EndpointState::Draining | EndpointState::Removed) => {
                endpoint.state = EndpointState::Ready;
                endpoint.started_at = Some(now - NEW_PROCESS_AGE);
                endpoint.build = build;
                if moves_zone {
                    endpoint.zone = "z1";
                }
            }
        }
        self.list_endpoint(policy, index);
    }

    /// Returns the newest build if the drawn change is [`RESTART_WITH_NEWEST_BUILD`], otherwise the
    /// one before it. In one of eight draws, a build that has not been announced yet counts as the
    /// newest.
    fn build_of_new_process(&mut self, change: u64) -> BuildNumber {
        let is_unannounced = self.random.rand_u64().is_multiple_of(8);
        let newest = self.rollout.build.get() + u32::from(is_unannounced);
        let build = if change == RESTART_WITH_NEWEST_BUILD {
            newest
        } else {
            newest.max(2) - 1
        };
        BuildNumber::new(build)
    }

    fn end_health_checks(&mut self, policy: &mut Balancer) {
        let now = self.now;
        let ended = self
            .pending_checks
            .extract_if(.., |check| check.ends_at <= now);
        for PendingCheck { endpoint, .. } in ended.collect::<Vec<_>>() {
            let outcome = if self.draw(0.7) {
                AttemptOutcome::Succeeded
            } else {
                AttemptOutcome::Refused
            };
            policy.on_health_check(&endpoint_name(endpoint), outcome, None);
        }
    }

    /// Lets a client report that a response that an endpoint sent 100 ms ago was wrong.
    fn flag_wrong_response(&mut self, policy: &mut Balancer) {
        let index = (self.random.rand_u64() % ENDPOINT_COUNT) as usize;
        policy.on_response_flagged(&endpoint_name(index), millis(100));
    }
}

/// Requests and their attempts.
impl Observer {
    fn send_requests(&mut self, policy: &mut Balancer) {
        while self.draw(0.35) {
            let id = FIRST_REQUEST_ID + self.arrivals.len() as u64;
            let route = self.draw_route();
            let idempotency_key = self
                .draw(0.5)
                .then(|| format!("k{}", self.random.rand_u64() % 20));
            let time_remaining = Duration::from_micros(50_000 + self.random.rand_u64() % 900_000);
            let mut request = RequestBuilder::new(route)
                .time_remaining(time_remaining)
                .without_cost_hint();
            if let Some(key) = &idempotency_key {
                request = request.idempotency_key(key);
            }
            request.send(policy, id);
            self.arrivals.push(Arrival {
                at: self.now,
                route,
            });
            let issued = IssuedRequest {
                route,
                idempotency_key,
                deadline: self.now + time_remaining,
                finished: false,
                attempts: Vec::new(),
            };
            self.requests.insert(RequestId::new(id), issued);
        }
    }

    fn draw_route(&mut self) -> RouteIndex {
        let period = self.now.as_micros() / DOMINANT_ROUTE_PERIOD.as_micros() as u64;
        let drawn = if self.draw(0.8) {
            period
        } else {
            self.random.rand_u64()
        };
        RouteIndex::new((drawn % self.settings.routes.len() as u64) as usize)
    }

    fn disconnect_latest_client(&mut self, policy: &mut Balancer) {
        if let Some((id, request)) = self.requests.iter_mut().next_back() {
            request.finished = true;
            policy.on_client_disconnected(*id);
        }
    }

    /// Ends the attempts whose outcome is known by now and reports them to the policy.
    fn end_attempts(&mut self, policy: &mut Balancer) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            for index in 0..self.requests[&id].attempts.len() {
                if let Some(outcome) = self.draw_outcome(id, index) {
                    self.end_attempt(id, index, outcome);
                    self.report_attempt(policy, id, index);
                }
            }
        }
        self.requests.retain(|_, request| {
            !request.finished || request.attempts.iter().any(SentAttempt::is_in_flight)
        });
    }

    /// Draws the outcome of an attempt if that is known by now.
    fn draw_outcome(&mut self, id: RequestId, index: usize) -> Option<AttemptOutcome> {
        let request = &self.requests[&id];
        let attempt = &request.attempts[index];
        let endpoint = &self.endpoints[attempt.endpoint];
        let is_restarted = endpoint.started_at != attempt.process_started_at;
        let is_late = self.now >= request.deadline && !request.finished;
        let is_known = self.now >= attempt.responds_at || is_restarted || is_late;
        if !attempt.is_in_flight() || !is_known {
            return None;
        }
        // Every second build has a high failure rate, so that there is a reason to vote.
        let is_failing_build = endpoint.build.get().is_multiple_of(2);
        let percentile = self.random.rand_u64() % 100;
        Some(match percentile {
            _ if is_restarted => AttemptOutcome::ConnectionReset,
            _ if is_late => AttemptOutcome::TimedOut,
            0..3 => AttemptOutcome::Failed,
            70..90 if is_failing_build => AttemptOutcome::Failed,
            3..5 => AttemptOutcome::ConnectionReset,
            5..7 => AttemptOutcome::Malformed,
            7..10 => AttemptOutcome::Overloaded,
            10..12 => AttemptOutcome::Refused,
            12 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Succeeded,
        })
    }

    fn end_attempt(&mut self, id: RequestId, index: usize, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = &mut request.attempts[index];
        attempt.outcome = Some(outcome);
        if outcome == AttemptOutcome::Succeeded {
            request.finished = true;
            if let Some(key) = &request.idempotency_key {
                let build = self.endpoints[attempt.endpoint].build;
                self.key_builds.insert(key.clone(), build);
            }
        }
    }

    fn report_attempt(&mut self, policy: &mut Balancer, id: RequestId, index: usize) {
        let request = &self.requests[&id];
        let attempt = &request.attempts[index];
        if let Some(outcome) = attempt.outcome {
            AttemptResultBuilder::new(outcome, self.now - attempt.sent_at)
                .finishes_request(request.finished)
                .report_attempt(policy, id.get(), index);
        }
    }
}
