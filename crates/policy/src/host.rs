//! Interface to the host, which carries out the policy's decisions.
//!
//! A host decodes [`Settings`](crate::settings::Settings) once and calls
//! [`Balancer::step`](crate::Balancer::step) whenever events arrive or the requested wake-up is
//! due. It delivers events through [`EventSource`](crate::EventSource).

use std::time::Duration;

use crate::types::{AttemptId, Ballot, RequestId, RollbackVerdict, Timestamp};

/// Carries out the decisions of a step, in order.
pub trait DecisionSink {
    /// Sends a request to an endpoint. The attempt times out if there is no response by the
    /// deadline.
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp);

    /// Cancels an attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId);

    /// Tells the client that it may retry its request: the request was not executed, or may safely
    /// be executed again. A `retry_after` of zero means that no delay is suggested.
    fn reject_request(&mut self, request: RequestId, retry_after: Duration);

    /// Tells the client that its request has failed and may have been executed.
    fn fail_request(&mut self, request: RequestId);

    /// Sends a vote to the platform.
    fn cast_vote(&mut self, ballot: Ballot);

    /// Sends a health check, which times out if there is no response by the deadline.
    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp);

    /// Polls discovery for the endpoint list.
    fn poll_endpoints(&mut self);

    /// Requests another step after this delay.
    fn schedule_wake_up(&mut self, after: Duration);

    /// Reports the verdict that a build must be rolled back; called once for each build.
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict);
}
