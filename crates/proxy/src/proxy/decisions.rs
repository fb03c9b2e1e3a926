//! Carries out the decisions of the policy on the proxy's connections.

use std::cell::RefCell;
use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{AttemptId, Ballot, RequestId, RollbackVerdict, Timestamp};

use super::Proxy;
use crate::context::{Component, Owner};
use crate::log_lines;
use crate::upstream::NewExchange;

/// Owner of the deadline for the next step of the policy.
const POLICY_TIMER: Owner = Owner::only(Component::Policy);

/// Receives the decisions that the policy makes in a step.
pub(crate) struct Decisions<'a>(pub(crate) &'a RefCell<Proxy>);

impl Decisions<'_> {
    fn start(&self, new: NewExchange<'_>) {
        let proxy = &mut *self.0.borrow_mut();
        proxy
            .upstream
            .start(new, &mut proxy.context, &mut proxy.clients);
    }
}

impl DecisionSink for Decisions<'_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        self.start(NewExchange::attempt(attempt, endpoint, deadline));
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let proxy = &mut *self.0.borrow_mut();
        proxy
            .upstream
            .cancel_attempt(attempt, &mut proxy.context, &mut proxy.clients);
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Duration) {
        let clients = &mut self.0.borrow_mut().clients;
        clients.reject_request(request, retry_after);
    }

    fn fail_request(&mut self, request: RequestId) {
        self.0.borrow_mut().clients.fail_request(request);
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let proxy = &mut *self.0.borrow_mut();
        log_lines::vote_cast(&proxy.context.log, ballot);
        proxy.votes.cast_vote(ballot, &mut proxy.context);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        self.start(NewExchange::health_check(endpoint, deadline));
    }

    /// Does nothing: the endpoint list is received over a stream that is always open or about to be
    /// reopened.
    fn poll_endpoints(&mut self) {}

    fn schedule_wake_up(&mut self, after: Duration) {
        let context = &mut self.0.borrow_mut().context;
        context.deadlines.set(POLICY_TIMER, context.now + after);
    }

    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        log_lines::rollback_verdict(&self.0.borrow().context.log, verdict);
    }
}
