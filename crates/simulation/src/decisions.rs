//! The host's side that takes an instance's decisions and lets the world carry them out.

use std::cell::RefCell;
use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{AttemptOutcome, Ballot, RollbackVerdict, Timestamp};

use crate::attempts::Attempt;
use crate::events::{AttemptFinished, HealthCheckFinished, Notice};
use crate::world::World;

/// How long an endpoint takes to answer a health check.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(3);
/// The host sees the end of an attempt this long after its start at the earliest.
const SHORTEST_ATTEMPT: Duration = Duration::from_micros(1);

/// One instance's decisions of one step.
pub(crate) struct InstanceDecisions<'a, 'w> {
    world: &'a RefCell<&'w mut World>,
    instance: usize,
    /// When the instance wants its next step, if nothing happens before.
    wake_up_at: &'a mut Timestamp,
}

impl<'a, 'w> InstanceDecisions<'a, 'w> {
    /// Takes the decisions of this instance.
    pub(crate) fn new(
        world: &'a RefCell<&'w mut World>,
        instance: usize,
        wake_up_at: &'a mut Timestamp,
    ) -> Self {
        InstanceDecisions {
            world,
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
        self.world.borrow().fleet.index_of(endpoint)
    }
}

impl DecisionSink for InstanceDecisions<'_, '_> {
    fn start_attempt(&mut self, request: u64, endpoint: &str, deadline: Timestamp) {
        let world = &mut **self.world.borrow_mut();
        let Some(started) = world.clients.start_attempt(request) else {
            return;
        };
        let attempt = Attempt {
            endpoint: world.fleet.index_of(endpoint),
            route: started.route,
            sent_at: world.now,
            deadline,
        };
        let network = &mut world.network;
        let end = world
            .attempts
            .resolve(attempt, &mut world.fleet, || network.draw_hop_delay());
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
    fn cancel_attempt(&mut self, _request: u64, _attempt_index: usize) {}

    fn reject_request(&mut self, request: u64, _retry_after: Duration) {
        self.world.borrow_mut().give_up_request(request);
    }

    fn fail_request(&mut self, request: u64) {
        self.world.borrow_mut().give_up_request(request);
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let world = &mut **self.world.borrow_mut();
        let result = world.rollout.take_vote(self.instance, ballot, world.now);
        world.network.answer_vote(world.now, self.instance, result);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let world = &mut **self.world.borrow_mut();
        let index = world.fleet.index_of(endpoint);
        let endpoint = world.fleet.endpoint(index);
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
            world.now + HEALTH_CHECK_TIME
        };
        let finished = HealthCheckFinished {
            endpoint: index,
            outcome,
        };
        world
            .network
            .queue
            .notify(at, self.instance, Notice::HealthCheckFinished(finished));
    }

    /// Discovery of the model sends changes whether it is polled or not.
    fn poll_endpoints(&mut self) {}

    fn schedule_wake_up(&mut self, after: Duration) {
        *self.wake_up_at = self.world.borrow().now + after;
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let world = &mut **self.world.borrow_mut();
        world.first_verdict_test.get_or_insert(verdict.test);
    }
}
