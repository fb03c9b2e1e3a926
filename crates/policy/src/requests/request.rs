//! One open request.

use super::Attempt;
use crate::types::{AttemptIndex, EndpointIndex, RouteIndex, Timestamp};

/// One open request. Only [`RequestTable`](super::RequestTable) changes it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Its route.
    pub(crate) route: RouteIndex,
    /// The client's idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// How much work it is: as hinted, or the route's latency objective in milliseconds.
    pub(crate) cost: f64,
    /// When it arrived.
    pub(crate) arrived_at: Timestamp,
    /// Until when its client waits.
    pub(crate) deadline: Timestamp,
    /// Until when an answer counts in full.
    pub(crate) objective_deadline: Timestamp,
    /// Steps of two below the highest priority; requests of higher levels are served first.
    pub(crate) priority_level: i32,
    /// Its client has its answer or has disconnected.
    pub(crate) finished: bool,
    /// The endpoint that reset the connection of its last attempt, until a health check shows
    /// whether the endpoint still runs.
    pub(crate) crash_suspect: Option<EndpointIndex>,
    /// The endpoint of its attempt crashed and is down: the request may crash the next one too.
    pub(crate) query_of_death: bool,
    /// Its attempts, by index.
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// The attempt at this index.
    pub(crate) fn attempt(&self, index: AttemptIndex) -> Option<&Attempt> {
        self.attempts.get(index.get())
    }

    /// One of its attempts has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::in_flight)
    }

    /// It is open, and another attempt may be made now.
    pub(crate) fn awaits_attempt(&self) -> bool {
        !self.finished && !self.attempts.iter().any(Attempt::blocks_request)
    }

    /// It is finished, and none of its attempts is in flight.
    pub(crate) fn is_done(&self) -> bool {
        self.finished && !self.has_attempt_in_flight()
    }

    /// Attempts that may have executed it, except for `ignored`.
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

    /// One of its attempts executed it, or may have.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_executed)
    }

    /// It has been sent to this endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }

    /// It refers to this endpoint.
    pub(super) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.was_sent_to(endpoint) || self.crash_suspect == Some(endpoint)
    }
}
