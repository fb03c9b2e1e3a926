//! State of a single open request.

use super::Attempt;
use crate::types::{AttemptIndex, EndpointIndex, RouteIndex, Timestamp};

/// An open request. Only [`RequestTable`](super::RequestTable) modifies it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) route: RouteIndex,
    /// The client's idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// Amount of work: the client's cost hint, or else the route's latency objective in
    /// milliseconds.
    pub(crate) cost: f64,
    pub(crate) arrived_at: Timestamp,
    /// When the client stops waiting or this instance shuts down, whichever is earlier.
    pub(crate) deadline: Timestamp,
    /// Latest time of a response that meets the latency objective; never later than `deadline`.
    pub(crate) objective_deadline: Timestamp,
    /// Rounded binary logarithm of the request's priority relative to the highest one; requests
    /// with a higher level are served first.
    pub(crate) priority_level: i32,
    /// The client has received a response or has disconnected.
    pub(crate) finished: bool,
    /// Endpoint that reset the connection of the last attempt; set until a health check shows
    /// whether the endpoint is still running.
    pub(crate) crash_suspect: Option<EndpointIndex>,
    /// The endpoint of the last attempt is down after a suspected crash, so the request is not sent
    /// to another endpoint, which it might crash too.
    pub(crate) query_of_death: bool,
    /// Attempts of the request, indexed by [`AttemptIndex`].
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the attempt at an index.
    pub(crate) fn attempt(&self, index: AttemptIndex) -> Option<&Attempt> {
        self.attempts.get(index.get())
    }

    /// Returns whether any attempt of the request has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::in_flight)
    }

    /// Returns whether the request is unfinished and no attempt prevents another one.
    pub(crate) fn awaits_attempt(&self) -> bool {
        !self.finished && !self.attempts.iter().any(Attempt::blocks_request)
    }

    /// Returns whether the request is finished and has no attempt in flight.
    pub(crate) fn is_done(&self) -> bool {
        self.finished && !self.has_attempt_in_flight()
    }

    /// Returns the attempts that may have executed the request, except for `ignored`.
    pub(crate) fn possibly_executed_attempts(
        &self,
        ignored: Option<AttemptIndex>,
    ) -> impl Iterator<Item = &Attempt> {
        let attempts = self.attempts.iter().enumerate();
        let others = attempts
            .filter(move |(position, _)| ignored.is_none_or(|ignored| ignored.get() != *position));
        others
            .map(|(_, attempt)| attempt)
            .filter(|attempt| attempt.may_have_executed())
    }

    /// Returns whether any attempt may have executed the request.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_executed)
    }

    /// Returns whether the request has been sent to this endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }

    /// Returns whether an attempt was sent to this endpoint, or the endpoint is the crash suspect.
    pub(super) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.was_sent_to(endpoint) || self.crash_suspect == Some(endpoint)
    }
}
