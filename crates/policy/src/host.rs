//! Where the policy's decisions go: the trait that a host implements to carry them out.
//!
//! A host decodes [`Settings`](crate::settings::Settings) once and calls
//! [`Balancer::step`](crate::Balancer::step) whenever there are events or the requested wake-up is
//! due. Events are delivered through [`EventSource`](crate::EventSource).

use std::time::Duration;

use crate::types::{AttemptId, Ballot, RequestId, RollbackVerdict, Timestamp};

/// Carries out the decisions of a step, in order.
pub trait DecisionSink {
    /// Sends a request to an endpoint; without a response by the deadline the attempt times out.
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp);

    /// Cancels an attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId);

    /// Tells the client that it may send its request again: it was not executed, or executing it
    /// again does no harm. `retry_after` zero names no time.
    fn reject_request(&mut self, request: RequestId, retry_after: Duration);

    /// Tells the client that its request has failed and may have been executed.
    fn fail_request(&mut self, request: RequestId);

    /// Sends a vote to the platform.
    fn cast_vote(&mut self, ballot: Ballot);

    /// Sends a health check; without a response by the deadline it times out.
    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp);

    /// Polls discovery for the endpoint list.
    fn poll_endpoints(&mut self);

    /// Schedules another step after this time.
    fn schedule_wake_up(&mut self, after: Duration);

    /// Reports that a build has been rejected, once for each build.
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict);
}
