//! The two traits that a host implements: one delivers events to the policy, the other takes its
//! decisions.
//!
//! A host decodes [`Settings`](crate::settings::Settings) once and calls
//! [`Balancer::step`](crate::Balancer::step) whenever there are events or the wake-up that was
//! asked for is due.

use std::time::Duration;

use crate::Balancer;
use crate::types::{Ballot, RollbackVerdict, Timestamp};

/// Events since the last step.
pub trait EventSource {
    /// Delivers them in order, as calls on the policy.
    fn deliver(&mut self, policy: &mut Balancer);
}

/// Takes the decisions of a step, in order.
pub trait DecisionSink {
    /// Sends a request to an endpoint; what has not been answered by the deadline has timed out.
    fn start_attempt(&mut self, request: u64, endpoint: &str, deadline: Timestamp);

    /// Gives an attempt up, by its index among the request's attempts.
    fn cancel_attempt(&mut self, request: u64, attempt_index: usize);

    /// Tells the client that its request was not executed; `retry_after` zero names no time.
    fn reject_request(&mut self, request: u64, retry_after: Duration);

    /// Tells the client that its request has failed and may have been executed.
    fn fail_request(&mut self, request: u64);

    /// Sends a vote to the platform.
    fn cast_vote(&mut self, ballot: Ballot);

    /// Sends a health check; what has not been answered by the deadline has timed out.
    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp);

    /// Asks discovery for the endpoint list.
    fn poll_endpoints(&mut self);

    /// Asks for another step after this time.
    fn schedule_wake_up(&mut self, after: Duration);

    /// A build has been found bad, for the first time.
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict);
}
