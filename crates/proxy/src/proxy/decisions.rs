//! Carries out the policy's decisions on the proxy's connections.

use std::cell::RefCell;
use std::time::Duration;

use slog::info;
use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{AttemptId, Ballot, RequestId, RollbackVerdict, Timestamp};

use super::Proxy;
use crate::connection::{Component, Owner};
use crate::explain;

/// Wakes the loop for the policy's next step.
const POLICY_TIMER: Owner = Owner::new(Component::Policy, 0);

/// Takes the decisions of a step.
pub(crate) struct Decisions<'a>(pub(crate) &'a RefCell<Proxy>);

impl DecisionSink for Decisions<'_> {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let proxy = &mut *self.0.borrow_mut();
        proxy.upstream.start_attempt(
            attempt.request.get(),
            endpoint,
            deadline,
            &mut proxy.context,
            &mut proxy.clients,
        );
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let proxy = &mut *self.0.borrow_mut();
        proxy.upstream.cancel_attempt(
            attempt.request.get(),
            attempt.index.get(),
            &mut proxy.context,
            &mut proxy.clients,
        );
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Duration) {
        let clients = &mut self.0.borrow_mut().clients;
        clients.reject_request(request.get(), retry_after);
    }

    fn fail_request(&mut self, request: RequestId) {
        self.0.borrow_mut().clients.fail_request(request.get());
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let proxy = &mut *self.0.borrow_mut();
        info!(proxy.context.log, "vote";
            "build" => ballot.build.get(), "stage" => ballot.stage.get(), "vote" => ?ballot.vote);
        proxy.votes.cast_vote(ballot, &mut proxy.context);
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let proxy = &mut *self.0.borrow_mut();
        proxy.upstream.start_health_check(
            endpoint,
            deadline,
            &mut proxy.context,
            &mut proxy.clients,
        );
    }

    /// Nothing to do: the endpoint list's stream is always open or about to be.
    fn poll_endpoints(&mut self) {}

    fn schedule_wake_up(&mut self, after: Duration) {
        let context = &mut self.0.borrow_mut().context;
        context.deadlines.set(POLICY_TIMER, context.now + after);
    }

    /// The line's text and keys are read by `tidescale explain`.
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let round = |value: f64| format!("{value:.2}");
        info!(self.0.borrow().context.log, "verdict: to go back";
            "build" => verdict.build.get(), "stage" => verdict.stage.get(), "test" => explain::test_name(verdict.test),
            "new_hits" => round(verdict.candidate.failures), "new_outcomes" => round(verdict.candidate.outcomes),
            "old_hits" => round(verdict.baseline.failures), "old_outcomes" => round(verdict.baseline.outcomes),
            "recalled" => round(verdict.restored_outcomes), "score" => round(verdict.score),
            "bound" => round(verdict.bound), "alpha" => verdict.alpha, "beta" => verdict.beta,
            "aside" => verdict.ejected_endpoints);
    }
}
