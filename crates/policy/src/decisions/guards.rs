//! Guards on attempts: rule 2 (nothing is executed twice), rule 4 (a warming endpoint is not
//! overloaded) and rule 5 (a build under evaluation gets no more than its cap).

use std::time::Duration;

use crate::Balancer;
use crate::endpoints::Endpoint;
use crate::requests::Request;
use crate::settings::Idempotency;
use crate::types::whole_micros;

/// While all endpoints are ejected, each is tried so often.
const EJECTED_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// The part taken of what a warming endpoint can bear from all instances together.
const WARM_UP_SHARE: f64 = 0.65;

impl Balancer {
    /// Whether this request may go out to this endpoint, as far as rule 2 and the limit on attempts
    /// go.
    pub(super) fn may_attempt(&self, request: &Request, endpoint: &Endpoint) -> bool {
        request.attempts.len() < self.settings.max_attempts
            && !request.query_of_death
            && self.may_execute_again(request, endpoint, None)
    }

    /// Rule 2: whether a request may be executed there, with all attempts that may have executed it
    /// but one.
    fn may_execute_again(
        &self,
        request: &Request,
        endpoint: &Endpoint,
        except: Option<usize>,
    ) -> bool {
        let mut executed = request.executed_attempts(except);
        match self.settings.routes[request.route].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => executed.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => executed.all(|attempt| {
                let in_scope = self.endpoints.shares_keys(scope, attempt, endpoint);
                in_scope && self.clock.now < attempt.sent_at + window
            }),
        }
    }

    /// The guards once more, for an attempt whose connection had to be made first and only now
    /// takes the request: what was told and what has passed since it was chosen binds it too. One
    /// that may not go now has never executed.
    pub fn may_write_attempt(&mut self, id: u64, index: usize) -> bool {
        let now = self.clock.now;
        let Some((request, attempt)) = self.requests.live_attempt(id, index, now) else {
            return false;
        };
        let (build, route) = (attempt.build, request.route);
        let endpoint = &self.endpoints[attempt.endpoint];
        let may_go = endpoint.still_runs(build, attempt.process_started_at)
            && build >= self.lowest_build(request)
            && self.may_execute_again(request, endpoint, Some(index));
        if !may_go {
            return false;
        }
        // Rule 5 counts an attempt from when it is written.
        self.exposure.remove_attempt(build, route, attempt.sent_at);
        let may_expose = self.may_expose(build, route);
        if may_expose {
            self.exposure.record_attempt(build, route, now);
        }
        may_expose
    }

    /// Rule 5: whether one more attempt of this route may go to this build.
    pub(super) fn may_expose(&self, build: u32, route: usize) -> bool {
        if !self.is_under_evaluation(build) {
            return true;
        }
        let settings = &self.settings;
        let announced = self.rollout.filter(|rollout| rollout.build == build);
        let first_cap = settings.stage_caps.first().copied().unwrap_or(0.0);
        let (stage, cap) =
            announced.map_or((0, first_cap), |status| (status.stage, status.traffic_cap));
        let is_idempotent = settings.routes[route].idempotency == Idempotency::Idempotent;
        let is_guarded = stage < settings.guarded_stages && !is_idempotent;
        if cap <= 0.0 || is_guarded {
            return false;
        }
        let window_start = self.clock.now - settings.exposure_window;
        let route = settings.exposure_by_route.then_some(route);
        let attempts = self.exposure.attempts_since(build, route, window_start);
        let requests = self.exposure.requests_since(route, window_start);
        (attempts + 1) as f64 <= settings.exposure_allowance + cap * requests as f64
    }

    /// Where keys must not go back to earlier builds: the build that has answered this request's
    /// key, or is being asked for it and may have answered before this instance hears of it.
    pub(super) fn lowest_build(&self, request: &Request) -> u32 {
        let is_ending = self.rollout.is_none_or(|rollout| rollout.phase.is_ending());
        if !self.settings.monotonic_key_builds || is_ending {
            return 0;
        }
        let Some(key) = &request.idempotency_key else {
            return 0;
        };
        let asked = self.requests.latest_build_asked(key);
        self.key_builds.get(key).copied().max(asked).unwrap_or(0)
    }

    /// Where all endpoints are ejected, one request at a time tries each as a health check would:
    /// the fault may be this instance's own, or lie with the health checks.
    pub(super) fn may_try_ejected(&self, endpoint: &Endpoint) -> bool {
        let rested = endpoint.health.last_trial_request_at + EJECTED_TRIAL_INTERVAL;
        endpoint.in_flight < 1.0 && self.clock.now >= rested
    }

    /// Rule 4: whether this instance may send a request to a warming endpoint now. Its share of
    /// what the endpoint can take is earned as time goes, and due as soon as it makes a request.
    /// What warm endpoints of the class answer this instance stands in for the capacity, so that
    /// the shares of all instances add up to it, however traffic is spread over them.
    pub(super) fn has_slow_start_credit(&mut self, index: usize) -> bool {
        let now = self.clock.now;
        let fraction = self.warm_up_fraction(&self.endpoints[index]);
        let capacity = self.endpoint_capacity(self.endpoints[index].hardware_class);
        let multiple = self.settings.overload_multiple;
        let rate = WARM_UP_SHARE * multiple * fraction * capacity / 1e6;
        let window = whole_micros(self.settings.overload_window) as f64;
        let maximum = 1.0 + rate * window / 4.0;
        let slow_start = &mut self.endpoints[index].slow_start;
        slow_start.earn(rate, maximum, now);
        slow_start.earned >= 1.0
    }
}
