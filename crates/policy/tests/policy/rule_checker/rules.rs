//! Checks of the routing rules.

use tidescale_policy::SWEEP_INTERVAL;
use tidescale_policy::settings::{Idempotency, KeyScope};
use tidescale_policy::types::{
    BuildNumber, EndpointState, RequestId, RolloutPhase, RouteIndex, Timestamp, fractional_micros,
};

use super::model::{CAPACITY_PER_SECOND, EffectiveCap, Observer, SentAttempt};
use super::observer::StartedAttempt;
use super::runner::MAX_STEP_INTERVAL;
use super::violation::Rule;

/// Number of attempts by which a warming endpoint's capacity may be exceeded without a violation.
const WARM_UP_TOLERANCE: f64 = 3.0;

/// Rule 1: each request is answered exactly once and in time.
impl Observer {
    /// Checks that the request is still open; `problem` says what happened otherwise.
    pub fn require_open(&mut self, request: RequestId, problem: &str) {
        let is_open = self.is_open(request);
        self.require(is_open, Rule::OneAnswer, || {
            format!("request {request} {problem}")
        });
    }

    /// Checks that no request is still open that should have been answered by now.
    pub fn check_overdue(&mut self) {
        let now = self.now;
        let overdue = self.requests.iter().find(|(_, request)| {
            !request.finished && now > request.deadline + SWEEP_INTERVAL + MAX_STEP_INTERVAL
        });
        let overdue = overdue.map(|(id, _)| *id);
        self.require(overdue.is_none(), Rule::OneAnswer, || {
            format!("overdue request without an answer: {overdue:?}")
        });
    }
}

/// Rule 2: a request that may have executed is repeated only as its idempotency allows.
impl Observer {
    /// Checks that the request may be sent to this endpoint. `None` stands for a rejection, after
    /// which the client may repeat the request at any endpoint.
    pub fn check_idempotency(&mut self, id: RequestId, endpoint: Option<usize>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut executed = request
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed());
        let route = &self.settings.routes[request.route.get()];
        let holds = match route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => executed.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => match endpoint {
                // The client may repeat the request until its deadline.
                None => {
                    let key_outlives_client = window >= route.client_deadline;
                    scope == KeyScope::Fleet && key_outlives_client || executed.next().is_none()
                }
                Some(endpoint) => executed.all(|attempt| {
                    let is_in_window = self.now < attempt.sent_at + window;
                    is_in_window && self.shares_keys(scope, attempt, endpoint)
                }),
            },
        };
        self.require(holds, Rule::Idempotency, || {
            format!(
                "request {id} may have executed; repeated at {endpoint:?} (None: by its client)"
            )
        });
    }

    /// Returns whether the endpoint shares idempotency keys with the one to which the attempt was
    /// sent.
    fn shares_keys(&self, scope: KeyScope, attempt: &SentAttempt, endpoint: usize) -> bool {
        let endpoint = &self.endpoints[endpoint];
        match scope {
            KeyScope::Fleet => true,
            KeyScope::Zone => attempt.zone == endpoint.zone,
            KeyScope::Cell => attempt.cell == endpoint.cell,
        }
    }

    /// Checks that no other attempt of the request is in flight, unless hedging is allowed.
    pub fn check_hedging(&mut self, id: RequestId) {
        let attempts = &self.requests[&id].attempts;
        let is_only_attempt = !attempts.iter().any(SentAttempt::is_in_flight);
        let holds = self.settings.hedging || is_only_attempt;
        self.require(holds, Rule::Hedging, || {
            format!("request {id} has two attempts in flight")
        });
    }
}

/// Rule 3: no attempt is sent to an endpoint that accepts no new requests.
impl Observer {
    /// Checks that the endpoint accepts new requests or started to drain within the grace period.
    pub fn check_endpoint_state(&mut self, index: usize) {
        let endpoint = self.endpoints[index];
        let is_ready = endpoint.state == EndpointState::Ready;
        let grace_period_ends_at = endpoint.drain_started_at + self.settings.grace_period;
        let holds = is_ready || self.now <= grace_period_ends_at;
        self.require(holds, Rule::EndpointState, || {
            format!("endpoint {index} is {:?}", endpoint.state)
        });
    }
}

/// Rule 4: a warming endpoint is not overloaded.
impl Observer {
    /// Returns whether the endpoint's process started less than the warm-up time ago.
    pub fn is_warming_up(&self, endpoint: usize) -> bool {
        let started_at = self.endpoints[endpoint].started_at;
        started_at.is_some_and(|started_at| self.now - started_at < self.settings.warm_up_time)
    }

    /// Checks that the attempts at a warming endpoint within the overload window do not exceed its
    /// capacity.
    pub fn check_slow_start(&mut self, endpoint: usize) {
        let Some(started_at) = self.endpoints[endpoint].started_at else {
            return;
        };
        if !self.is_warming_up(endpoint) {
            return;
        }
        let from = (self.now - self.settings.overload_window).max(started_at);
        let attempts = self.warm_up_attempts.iter();
        let attempts = attempts.filter(|attempt| attempt.at > from && attempt.endpoint == endpoint);
        let attempts = attempts.count() as f64;
        let age = fractional_micros(self.now - started_at);
        let max_attempts = self.max_warm_up_attempts(age);
        self.require(attempts <= max_attempts, Rule::SlowStart, || {
            format!("{attempts} attempts at warming endpoint {endpoint}, at most {max_attempts:.1}")
        });
    }

    /// Returns the number of attempts that a warming endpoint of this age, in microseconds, can
    /// serve within the overload window.
    fn max_warm_up_attempts(&self, age: f64) -> f64 {
        let settings = &self.settings;
        let warm_up_time = fractional_micros(settings.warm_up_time);
        let warm_up_fraction =
            settings.warm_up_start + (1.0 - settings.warm_up_start) * age / warm_up_time;
        let overload_window = fractional_micros(settings.overload_window);
        let capacity = settings.overload_multiple * CAPACITY_PER_SECOND * warm_up_fraction;
        capacity * overload_window / 1e6 + WARM_UP_TOLERANCE
    }
}

/// Rule 5: a build under evaluation receives only the requests that its stage allows.
impl Observer {
    fn build_of(&self, started: StartedAttempt) -> BuildNumber {
        self.endpoints[started.endpoint].build
    }

    /// Checks that a guarded stage receives idempotent requests only. A build that has not been
    /// announced yet counts as being at its first stage.
    pub fn check_guarded_stage(&mut self, started: StartedAttempt) {
        let build = self.build_of(started);
        if !self.is_under_evaluation(build) {
            return;
        }
        let is_announced = build == self.rollout.build;
        let stage = if is_announced {
            self.rollout.stage.get()
        } else {
            0
        };
        let route = self.requests[&started.request].route;
        let idempotency = self.settings.routes[route.get()].idempotency;
        let is_idempotent = idempotency == Idempotency::Idempotent;
        let holds = is_idempotent || stage >= self.settings.guarded_stages;
        self.require(holds, Rule::GuardedStage, || format!("{started:?}"));
    }

    /// Checks that the attempts at a build within the exposure window do not exceed the allowance
    /// plus the traffic cap's share of the requests. After a cap has been lowered, nothing before
    /// the end of the grace period counts.
    pub fn check_traffic_cap(&mut self, started: StartedAttempt) {
        let build = self.build_of(started);
        if !self.is_under_evaluation(build) {
            return;
        }
        let EffectiveCap {
            traffic_cap,
            counted_from,
        } = self.cap_of(build);
        let from = counted_from.max(self.now - self.settings.exposure_window);
        let route = self.requests[&started.request].route;
        let counts = |other: RouteIndex| !self.settings.exposure_by_route || other == route;
        let attempts = self.canary_attempts.iter().filter(|attempt| {
            attempt.at >= from && counts(attempt.route) && attempt.build == build
        });
        let attempts = attempts.count();
        let arrivals = self.arrivals.iter();
        let requests = arrivals.filter(|arrival| arrival.at >= from && counts(arrival.route));
        let requests = requests.count();
        let max_attempts = self.settings.exposure_allowance + traffic_cap * requests as f64;
        let holds = attempts as f64 <= max_attempts;
        self.require(holds, Rule::TrafficCap, || {
            format!("{started:?}: {attempts} attempts at build {build}, at most {max_attempts}")
        });
    }

    /// Returns the cap of a build under evaluation. A build that has not been announced yet has the
    /// cap of the first stage.
    fn cap_of(&self, build: BuildNumber) -> EffectiveCap {
        if build == self.rollout.build {
            self.effective_cap
        } else {
            EffectiveCap {
                traffic_cap: self.settings.stage_caps[0],
                counted_from: Timestamp::ZERO,
            }
        }
    }

    /// Checks that a request whose key a build under evaluation has answered is not sent to an
    /// earlier build, unless the build is being rolled back or has been withdrawn.
    pub fn check_monotonic_key(&mut self, started: StartedAttempt) {
        let key = self.requests[&started.request].idempotency_key.as_ref();
        let answered_by = key.and_then(|key| self.key_builds.get(key).copied());
        let answered_by = answered_by.filter(|build| self.is_under_evaluation(*build));
        let lowest_build = answered_by.unwrap_or_default();
        let is_being_withdrawn = matches!(
            self.rollout.phase,
            RolloutPhase::RollingBack | RolloutPhase::Withdrawn
        );
        let applies = self.settings.monotonic_key_builds && !is_being_withdrawn;
        let holds = !applies || self.build_of(started) >= lowest_build;
        self.require(holds, Rule::MonotonicKeys, || {
            format!("{started:?} goes to a build before {lowest_build}, which answered its key")
        });
    }
}
