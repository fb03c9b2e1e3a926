//! The host's decision sink, which applies the decisions of an instance to the environment.

use std::cell::RefCell;
use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{
    AttemptId, AttemptOutcome, Ballot, RequestId, RollbackVerdict, Timestamp,
};

use crate::attempts::Attempt;
use crate::environment::Environment;
use crate::events::{AttemptFinished, HealthCheckFinished, Notification};
use crate::ids::{EndpointId, InstanceIndex};

/// Time that an endpoint takes to respond to a health check.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(3);
/// Minimum time from the start of an attempt to the notification of its end.
const MIN_ATTEMPT_TIME: Duration = Duration::from_micros(1);

/// Receives the decisions of one instance in one step.
pub(crate) struct InstanceDecisionSink<'a, 'env> {
    environment: &'a RefCell<&'env mut Environment>,
    instance: InstanceIndex,
    /// When the instance's next step is due if no event arrives earlier.
    wake_up_at: &'a mut Timestamp,
}

impl<'a, 'env> InstanceDecisionSink<'a, 'env> {
    /// Creates a sink for the decisions of an instance.
    pub(crate) fn new(
        environment: &'a RefCell<&'env mut Environment>,
        instance: InstanceIndex,
        wake_up_at: &'a mut Timestamp,
    ) -> Self {
        InstanceDecisionSink {
            environment,
            instance,
            wake_up_at,
        }
    }

    /// Returns the instance that makes the decisions.
    pub(crate) fn instance(&self) -> InstanceIndex {
        self.instance
    }

    /// Returns the id of the endpoint with this name.
    pub(crate) fn endpoint_id(&self, name: &str) -> EndpointId {
        self.environment.borrow().fleet.id_of(name)
    }
}

impl DecisionSink for InstanceDecisionSink<'_, '_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let environment = &mut **self.environment.borrow_mut();
        let Some(route) = environment.clients.route_of(attempt.request) else {
            return;
        };
        let sent = Attempt {
            endpoint: environment.fleet.id_of(endpoint),
            route,
            sent_at: environment.now,
            deadline,
        };
        let network = &mut environment.network;
        let end = environment
            .attempts
            .resolve(sent, &mut environment.fleet, || network.draw_hop_delay());
        let finished = AttemptFinished {
            attempt,
            endpoint: sent.endpoint,
            outcome: end.outcome,
            sent_at: sent.sent_at,
            wrong_answer: end.wrong_answer,
            reported_in_flight: end.reported_in_flight,
        };
        let at = end.at.max(sent.sent_at + MIN_ATTEMPT_TIME);
        network
            .queue
            .notify(at, self.instance, Notification::AttemptFinished(finished));
    }

    /// Does nothing: a simulated endpoint completes every request that it has admitted.
    fn cancel_attempt(&mut self, _attempt: AttemptId) {}

    fn reject_request(&mut self, request: RequestId, _retry_after: Duration) {
        self.environment
            .borrow_mut()
            .finish_unanswered_request(request);
    }

    fn fail_request(&mut self, request: RequestId) {
        self.environment
            .borrow_mut()
            .finish_unanswered_request(request);
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let environment = &mut **self.environment.borrow_mut();
        let result = environment
            .rollout
            .receive_vote(self.instance, ballot, environment.now);
        environment
            .network
            .answer_vote(environment.now, self.instance, result);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let environment = &mut **self.environment.borrow_mut();
        let id = environment.fleet.id_of(endpoint);
        let endpoint = environment.fleet.endpoint(id);
        let unresponsive = endpoint.impairment.unresponsive;
        let outcome = if endpoint.is_removed() {
            AttemptOutcome::Refused
        } else if unresponsive {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::Succeeded
        };
        let at = if unresponsive {
            deadline
        } else {
            environment.now + HEALTH_CHECK_TIME
        };
        let finished = HealthCheckFinished {
            endpoint: id,
            outcome,
        };
        environment.network.queue.notify(
            at,
            self.instance,
            Notification::HealthCheckFinished(finished),
        );
    }

    /// Does nothing: simulated discovery pushes changes without being polled.
    fn poll_endpoints(&mut self) {}

    fn schedule_wake_up(&mut self, after: Duration) {
        *self.wake_up_at = self.environment.borrow().now + after;
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let environment = &mut **self.environment.borrow_mut();
        environment.first_verdict_test.get_or_insert(verdict.test);
    }
}
