//! Ejection and recovery of endpoints, and their health checks.

use std::time::Duration;

use super::endpoint_health::EndpointHealth;
use crate::endpoints::{Endpoint, EndpointTable};
use crate::host::DecisionSink;
use crate::indexed_table::IndexedTable;
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, BuildNumber, EndpointIndex, Timestamp};

/// Minimum interval between health checks of an ejected endpoint, and their timeout. The evaluation
/// sends the checks, so the actual interval is a multiple of the evaluation interval.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of refused connections without a response between them after which an endpoint is
/// ejected. It applies however many endpoints are already ejected, because an endpoint that refuses
/// connections serves no requests.
const REFUSALS_TO_EJECT: u32 = 2;
/// An unresponsive endpoint is ejected only while fewer than one in this number of the ready
/// endpoints is ejected.
const READY_PER_EJECTED: usize = 3;
/// Minimum interval between trial requests to an endpoint in panic mode.
const TRIAL_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Change of an endpoint's health that other modules must react to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// Nothing has changed that other modules must react to.
    None,
    /// The endpoint was ejected and is in service again.
    ReturnedToService,
}

/// The outcome of an attempt or a health check at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointOutcome {
    pub(crate) endpoint: EndpointIndex,
    pub(crate) outcome: AttemptOutcome,
}

/// Numbers of endpoints in service in the two arms of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InServiceCounts {
    /// Endpoints of the newest build and later ones.
    pub(crate) candidate: usize,
    /// Endpoints of earlier builds.
    pub(crate) baseline: usize,
}

impl InServiceCounts {
    /// Returns the number of endpoints in service of all builds.
    pub(crate) fn total(self) -> usize {
        self.candidate + self.baseline
    }
}

/// Health of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct HealthChecker {
    endpoints: IndexedTable<EndpointIndex, EndpointHealth>,
}

impl HealthChecker {
    /// Adds a new endpoint, replacing the state of any previous one with this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints.put(index, EndpointHealth::default());
    }

    /// Returns an endpoint to service because a new process runs there, and resets the number of
    /// health checks that it must pass after its next ejection.
    pub(crate) fn record_process_start(&mut self, index: EndpointIndex, now: Timestamp) {
        self.endpoints[index].record_process_start(now);
    }

    pub(crate) fn is_ejected(&self, index: EndpointIndex) -> bool {
        self.endpoints[index].ejected
    }

    /// Returns when the endpoint last responded to an attempt or returned to service.
    pub(crate) fn last_response_at(&self, index: EndpointIndex) -> Timestamp {
        self.endpoints[index].last_response_at
    }

    pub(crate) fn check_in_flight(&self, index: EndpointIndex) -> bool {
        self.endpoints[index].check_in_flight
    }

    /// Counts the endpoints that are ready and not ejected: those of the `newest` and later builds,
    /// and those of earlier builds.
    pub(crate) fn in_service(
        &self,
        endpoints: &EndpointTable,
        newest: BuildNumber,
    ) -> InServiceCounts {
        let mut in_service = InServiceCounts {
            candidate: 0,
            baseline: 0,
        };
        for (index, endpoint) in endpoints.ready() {
            if self.is_ejected(index) {
                continue;
            }
            if endpoint.build() >= newest {
                in_service.candidate += 1;
            } else {
                in_service.baseline += 1;
            }
        }
        in_service
    }

    /// Returns the number of endpoints that are ready and not ejected.
    pub(crate) fn in_service_count(&self, endpoints: &EndpointTable) -> usize {
        let ready = endpoints.ready();
        ready.filter(|(index, _)| !self.is_ejected(*index)).count()
    }

    /// Returns the number of ready endpoints of a build that are ejected.
    pub(crate) fn ejected_count(&self, endpoints: &EndpointTable, build: BuildNumber) -> usize {
        let of_build = endpoints
            .ready()
            .filter(|(_, endpoint)| endpoint.build() == build);
        of_build
            .filter(|(index, _)| self.is_ejected(*index))
            .count()
    }

    /// Returns whether panic mode applies: there are ready endpoints, and all of them are ejected.
    pub(crate) fn all_ejected(&self, endpoints: &EndpointTable) -> bool {
        let mut ready = endpoints.ready().peekable();
        ready.peek().is_some() && ready.all(|(index, _)| self.is_ejected(index))
    }

    /// Returns whether a trial request may be sent to an ejected endpoint in panic mode: one at a
    /// time, and no sooner than [`TRIAL_REQUEST_INTERVAL`] after its ejection or the previous one.
    /// Trial requests supplement health checks because the fault may lie with this instance or with
    /// the health checks.
    pub(crate) fn may_send_trial_request(
        &self,
        index: EndpointIndex,
        in_flight: f64,
        now: Timestamp,
    ) -> bool {
        let next_trial_at = self.endpoints[index].last_trial_request_at + TRIAL_REQUEST_INTERVAL;
        in_flight < 1.0 && now >= next_trial_at
    }

    /// Sets the time of the last trial request if the endpoint is ejected, since an attempt that is
    /// sent to it is then a trial request.
    pub(crate) fn start_attempt(&mut self, index: EndpointIndex, now: Timestamp) {
        let health = &mut self.endpoints[index];
        if health.ejected {
            health.last_trial_request_at = now;
        }
    }

    /// Marks an endpoint as unresponsive, so that the next evaluation may eject it: an attempt has
    /// missed its latency objective, and the endpoint has not responded since the attempt was sent.
    pub(crate) fn mark_unresponsive(&mut self, index: EndpointIndex) {
        self.endpoints[index].unresponsive = true;
    }

    /// Records the outcome of an attempt for the health of its endpoint, which may eject the
    /// endpoint or, in panic mode, return it to service.
    pub(crate) fn record_outcome(
        &mut self,
        attempt: EndpointOutcome,
        endpoints: &EndpointTable,
        context: &StepContext,
    ) -> HealthChange {
        let EndpointOutcome { endpoint, outcome } = attempt;
        let now = context.now;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let ends_panic_mode = succeeded && self.all_ejected(endpoints);
        let health = &mut self.endpoints[endpoint];
        let returns_to_service = ends_panic_mode && health.ejected;
        if returns_to_service {
            health.return_to_service(now);
        }
        if outcome.is_response() {
            health.last_response_at = now;
            health.consecutive_refusals = 0;
        }
        health.consecutive_refusals += u32::from(outcome == AttemptOutcome::Refused);
        let refuses = health.consecutive_refusals >= REFUSALS_TO_EJECT;
        if refuses && context.settings.health_checks && !health.ejected {
            health.eject(now);
        }
        if returns_to_service {
            HealthChange::ReturnedToService
        } else {
            HealthChange::None
        }
    }

    /// Records the outcome of a health check, which may return the endpoint to service.
    pub(crate) fn record_check(
        &mut self,
        check: EndpointOutcome,
        endpoints: &EndpointTable,
        now: Timestamp,
    ) -> HealthChange {
        let passed = check.outcome == AttemptOutcome::Succeeded;
        let panic_mode = self.all_ejected(endpoints);
        if self.endpoints[check.endpoint].record_check(passed, panic_mode, now) {
            HealthChange::ReturnedToService
        } else {
            HealthChange::None
        }
    }

    /// Sends health checks to ejected endpoints, and ejects unresponsive ones. Errors do not eject
    /// an endpoint, because the evaluation of its build needs their outcomes; they only make the
    /// endpoint less likely to be chosen.
    pub(crate) fn check_endpoints(
        &mut self,
        endpoints: &EndpointTable,
        now: Timestamp,
        sink: &mut dyn DecisionSink,
    ) {
        let ready = endpoints.ready();
        let ready_count = ready.clone().count();
        let is_ejected = |(index, _): &(EndpointIndex, &Endpoint)| self.is_ejected(*index);
        let mut ejected_count = ready.clone().filter(is_ejected).count();
        for (index, endpoint) in ready {
            let health = &mut self.endpoints[index];
            let may_eject = ejected_count * READY_PER_EJECTED < ready_count;
            if !health.ejected && health.unresponsive && may_eject {
                ejected_count += 1;
                health.eject(now);
            } else if health.ejected
                && now >= health.last_check_at + HEALTH_CHECK_INTERVAL
                && let Some(deadline) = self.start_check(index, now)
            {
                sink.start_health_check(&endpoint.name, deadline);
            }
            self.endpoints[index].unresponsive = false;
        }
    }

    /// Starts a health check unless one is already in flight. Returns the deadline of the check,
    /// which the caller sends.
    pub(crate) fn start_check(
        &mut self,
        index: EndpointIndex,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let health = &mut self.endpoints[index];
        if health.check_in_flight {
            return None;
        }
        health.check_in_flight = true;
        health.last_check_at = now;
        Some(now + HEALTH_CHECK_INTERVAL)
    }

    /// Restores the ejection of an endpoint from a snapshot. A health check is due immediately.
    pub(crate) fn restore_ejection(&mut self, index: EndpointIndex, now: Timestamp) {
        let health = &mut self.endpoints[index];
        health.eject(now);
        health.last_check_at = Timestamp::ZERO;
    }
}
