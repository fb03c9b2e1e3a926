//! Health of endpoints: ejection, health checks, recovery, and the start of new processes.

use std::time::Duration;

use crate::Balancer;
use crate::concurrency::TARGET_LATENCY_RATIO;
use crate::decisions::{DECAY_TIMES, EVALUATION_INTERVAL};
use crate::endpoints::SlowStart;
use crate::host::DecisionSink;
use crate::types::{AttemptOutcome, Timestamp};

/// Time between two health checks of an ejected endpoint, and how long one may take.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// So many refused connections in a row eject an endpoint: it serves nothing, whatever others do.
const MAX_REFUSALS: u32 = 2;
/// Unresponsive endpoints are ejected while this share of the ready ones is not: one in so many.
const MAX_EJECTED_PART: usize = 3;
/// Health checks to pass at first, and where no endpoint is in service; each ejection doubles them,
/// …
const MIN_PASSES: u32 = 2;
/// … up to this: some endpoints answer health checks and fail requests.
const MAX_PASSES: u32 = 16;
/// Attempts that may be in flight at an endpoint that serves for long, returns, or has just
/// started.
const INITIAL_LIMIT: f64 = 6.0;
const RETURN_LIMIT: f64 = 2.0;
const WARMING_LIMIT: f64 = 1.0;
/// Whether an endpoint answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// It takes no requests until health checks or a trial request say that it serves.
    pub ejected: bool,
    /// Connections that it refused in a row.
    pub consecutive_refusals: u32,
    /// When it last broke connections with requests on them.
    pub last_crash_at: Timestamp,
    /// When it last answered anything.
    pub last_response_at: Timestamp,
    /// It let an attempt pass its latency objective and has answered nothing since.
    pub unresponsive: bool,
    /// A health check is in flight.
    pub check_in_flight: bool,
    /// When the last health check was sent.
    pub last_check_at: Timestamp,
    /// While ejected: since when, or when a request was last tried there.
    pub last_trial_request_at: Timestamp,
    /// Health checks that it passed in a row.
    pub consecutive_passes: u32,
    /// Health checks that it has to pass in a row to return.
    pub passes_required: u32,
}

impl Health {
    /// Takes the endpoint out of service.
    pub fn eject(&mut self, now: Timestamp) {
        self.ejected = true;
        self.consecutive_passes = 0;
        self.last_check_at = now;
        self.last_trial_request_at = now;
    }
}

impl Balancer {
    /// Another process runs at an endpoint. One that is back could do far less than its age says:
    /// it starts slowly.
    pub(crate) fn start_process(&mut self, index: usize, started_at: Option<Timestamp>) {
        let now = self.clock.now;
        let warms_up = started_at.is_some_and(|at| now < at + self.settings.warm_up_time);
        let limit = if warms_up {
            WARMING_LIMIT
        } else {
            INITIAL_LIMIT
        };
        // Instances start a step apart, so that each takes every n-th new endpoint in the order of
        // names.
        let rank = self.endpoints.rank(&self.endpoints[index].name) as u32;
        let instances = self.settings.instance_count;
        let step = (rank + self.settings.instance_index) % instances;
        let endpoint = &mut self.endpoints[index];
        endpoint.return_to_service(limit, now, DECAY_TIMES);
        endpoint.health.passes_required = MIN_PASSES;
        endpoint.reported_load = Default::default();
        let earned = f64::from(step) / f64::from(instances);
        endpoint.slow_start = SlowStart {
            earned,
            credited_at: now,
        };
    }

    /// What an outcome says of its endpoint's health.
    pub(crate) fn update_health(&mut self, index: usize, outcome: AttemptOutcome) {
        let now = self.clock.now;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let ends_panic = succeeded && self.endpoints.all_ejected();
        // While one answer in ten is slow, time-outs tell of the fleet and make no endpoint
        // expensive.
        let [slow, all] = self.traffic.limit.latency_ratio.last_read();
        let is_jam = outcome == AttemptOutcome::TimedOut && 10.0 * slow > all;
        let health_checks = self.settings.health_checks;
        let endpoint = &mut self.endpoints[index];
        if ends_panic && endpoint.health.ejected {
            endpoint.return_to_service(RETURN_LIMIT, now, DECAY_TIMES);
        }
        if outcome.is_response() {
            endpoint.health.last_response_at = now;
            endpoint.health.consecutive_refusals = 0;
        }
        if !is_jam && speaks_against_endpoint(outcome) {
            endpoint
                .slowdown
                .add([1.0 / TARGET_LATENCY_RATIO, 1.0], now);
        }
        endpoint.health.consecutive_refusals += u32::from(outcome == AttemptOutcome::Refused);
        let refuses = endpoint.health.consecutive_refusals >= MAX_REFUSALS;
        if refuses && health_checks && !endpoint.health.ejected {
            endpoint.health.eject(now);
        }
    }

    /// What a health check says of its endpoint, and of requests that went down with it.
    pub(crate) fn apply_health_check(&mut self, index: usize, outcome: AttemptOutcome) {
        let now = self.clock.now;
        let is_down = matches!(
            outcome,
            AttemptOutcome::Refused | AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut
        );
        for (_, request) in self.requests.iter_mut() {
            if request.crash_suspect == Some(index) {
                request.crash_suspect = None;
                request.query_of_death = is_down;
            }
        }
        let all_ejected = self.endpoints.all_ejected();
        let endpoint = &mut self.endpoints[index];
        let health = &mut endpoint.health;
        health.check_in_flight = false;
        let passed = outcome == AttemptOutcome::Succeeded;
        health.consecutive_passes = if passed {
            health.consecutive_passes + 1
        } else {
            0
        };
        let required = if all_ejected {
            MIN_PASSES
        } else {
            health.passes_required
        };
        if health.ejected && health.consecutive_passes >= required {
            endpoint.return_to_service(RETURN_LIMIT, now, DECAY_TIMES);
            let doubled = endpoint.health.passes_required * 2;
            endpoint.health.passes_required = doubled.min(MAX_PASSES);
        }
    }

    /// Checks ejected endpoints, and ejects unresponsive ones. Errors make an endpoint expensive
    /// and do not eject it: the evaluation needs them.
    pub(crate) fn check_endpoints(&mut self, sink: &mut dyn DecisionSink) {
        let now = self.clock.now;
        let ready = self.endpoints.ready();
        let is_ejected = |index: &&usize| self.endpoints[**index].health.ejected;
        let mut ejected = ready.iter().filter(is_ejected).count();
        for index in &ready {
            let warm_up_time = self.settings.warm_up_time;
            let endpoint = &mut self.endpoints[*index];
            let is_warm = now >= endpoint.started_at.unwrap_or_default() + warm_up_time;
            if endpoint.health.ejected {
                if now >= endpoint.health.last_check_at + HEALTH_CHECK_INTERVAL {
                    self.check_endpoint(*index, sink);
                }
            } else if endpoint.health.unresponsive && ejected * MAX_EJECTED_PART < ready.len() {
                ejected += 1;
                endpoint.health.eject(now);
            } else if is_warm {
                let seconds = EVALUATION_INTERVAL.as_micros() as f64 / 1e6;
                self.endpoints
                    .class_of(*index)
                    .completions
                    .add([0.0, seconds], now);
            }
            self.endpoints[*index].health.unresponsive = false;
        }
    }

    /// Sends a health check unless one is in flight.
    pub(crate) fn check_endpoint(&mut self, index: usize, sink: &mut dyn DecisionSink) {
        let now = self.clock.now;
        let endpoint = &mut self.endpoints[index];
        if !endpoint.health.check_in_flight {
            endpoint.health.check_in_flight = true;
            endpoint.health.last_check_at = now;
            sink.start_health_check(&endpoint.name, now + HEALTH_CHECK_INTERVAL);
        }
    }
}

/// The outcome makes the endpoint more expensive than others.
fn speaks_against_endpoint(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Succeeded
            | AttemptOutcome::InvalidRequest
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
    )
}
