//! The host's side that takes an instance's decisions and lets the environment carry them out.

use std::cell::RefCell;
use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{
    AttemptId, AttemptOutcome, Ballot, RequestId, RollbackVerdict, Timestamp,
};

use crate::attempts::Attempt;
use crate::environment::Environment;
use crate::events::{AttemptFinished, HealthCheckFinished, Notice};

/// How long an endpoint takes to answer a health check.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(3);
/// The host sees the end of an attempt this long after its start at the earliest.
const SHORTEST_ATTEMPT: Duration = Duration::from_micros(1);

/// One instance's decisions of one step.
pub(crate) struct InstanceDecisions<'a, 'w> {
    environment: &'a RefCell<&'w mut Environment>,
    instance: usize,
    /// When the instance wants its next step, if nothing happens before.
    wake_up_at: &'a mut Timestamp,
}

impl<'a, 'w> InstanceDecisions<'a, 'w> {
    /// Takes the decisions of this instance.
    pub(crate) fn new(
        environment: &'a RefCell<&'w mut Environment>,
        instance: usize,
        wake_up_at: &'a mut Timestamp,
    ) -> Self {
        InstanceDecisions {
            environment,
            instance,
            wake_up_at,
        }
    }

    /// Index of the instance.
    pub(crate) fn instance(&self) -> usize {
        self.instance
    }

    /// Index of an endpoint by its name.
    pub(crate) fn index_of(&self, endpoint: &str) -> usize {
        self.environment.borrow().fleet.index_of(endpoint)
    }
}

impl DecisionSink for InstanceDecisions<'_, '_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let request = attempt.request;
        let environment = &mut **self.environment.borrow_mut();
        let Some(started) = environment.clients.start_attempt(request) else {
            return;
        };
        let attempt = Attempt {
            endpoint: environment.fleet.index_of(endpoint),
            route: started.route,
            sent_at: environment.now,
            deadline,
        };
        let network = &mut environment.network;
        let end = environment
            .attempts
            .resolve(attempt, &mut environment.fleet, || network.draw_hop_delay());
        let finished = AttemptFinished {
            request,
            attempt_index: started.attempt_index,
            endpoint: attempt.endpoint,
            outcome: end.outcome,
            sent_at: attempt.sent_at,
            wrong_answer: end.wrong_answer,
            reported_in_flight: end.reported_in_flight,
        };
        let at = end.at.max(attempt.sent_at + SHORTEST_ATTEMPT);
        network
            .queue
            .notify(at, self.instance, Notice::AttemptFinished(finished));
    }

    /// An endpoint of the model finishes what it has begun.
    fn cancel_attempt(&mut self, _attempt: AttemptId) {}

    fn reject_request(&mut self, request: RequestId, _retry_after: Duration) {
        self.environment.borrow_mut().give_up_request(request);
    }

    fn fail_request(&mut self, request: RequestId) {
        self.environment.borrow_mut().give_up_request(request);
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let environment = &mut **self.environment.borrow_mut();
        let result = environment
            .rollout
            .take_vote(self.instance, ballot, environment.now);
        environment
            .network
            .answer_vote(environment.now, self.instance, result);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let environment = &mut **self.environment.borrow_mut();
        let index = environment.fleet.index_of(endpoint);
        let endpoint = environment.fleet.endpoint(index);
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
            endpoint: index,
            outcome,
        };
        environment
            .network
            .queue
            .notify(at, self.instance, Notice::HealthCheckFinished(finished));
    }

    /// Discovery of the model sends changes whether it is polled or not.
    fn poll_endpoints(&mut self) {}

    fn schedule_wake_up(&mut self, after: Duration) {
        *self.wake_up_at = self.environment.borrow().now + after;
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let environment = &mut **self.environment.borrow_mut();
        environment.first_verdict_test.get_or_insert(verdict.test);
    }
}
