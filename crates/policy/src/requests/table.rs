//! The table of open requests with their attempts.
//!
//! A request is removed once it is finished and none of its attempts is in flight.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{Attempt, AwaitingResponse, Request};
use crate::types::{
    AttemptId, AttemptIndex, AttemptResult, BuildNumber, EndpointIndex, RequestId, RouteIndex,
    Timestamp,
};

/// Sort key for serving requests: higher priority levels first, then the newest request first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServingOrder {
    priority_level: Reverse<i32>,
    arrived_at: Reverse<Timestamp>,
    id: RequestId,
}

/// An attempt whose response has not begun to arrive, with data of its request.
#[derive(Debug)]
pub(crate) struct WaitingAttempt<'a> {
    pub(crate) id: AttemptId,
    /// Endpoint to which the attempt was sent.
    pub(crate) endpoint: EndpointIndex,
    pub(crate) sent_at: Timestamp,
    /// Route of the request.
    pub(crate) route: RouteIndex,
    /// Cost of the request.
    pub(crate) cost: f64,
    /// Whether the client has received a response or has disconnected.
    pub(crate) request_finished: bool,
    /// Whether the request has no other attempt, ended or not.
    pub(crate) is_only_attempt: bool,
    pub(crate) state: &'a mut AwaitingResponse,
}

/// The open requests by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    by_id: BTreeMap<RequestId, Request>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.by_id.insert(id, request);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Adds an attempt to a request.
    pub(crate) fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.attempts.push(attempt);
        }
    }

    /// Marks the response to an attempt as streaming to the client.
    pub(crate) fn start_streaming(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.start_streaming();
        }
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let request = self.by_id.get_mut(&id.request)?;
        request.attempts.get_mut(id.index.get())
    }

    /// Records the end of an attempt that is in flight and returns its previous state. Returns
    /// `None` if the attempt is unknown or has already ended.
    pub(crate) fn finish_attempt(
        &mut self,
        id: AttemptId,
        result: &AttemptResult,
    ) -> Option<Attempt> {
        let request = self.by_id.get_mut(&id.request)?;
        let attempt = request.attempts.get_mut(id.index.get())?;
        let before = *attempt;
        if !before.in_flight() {
            return None;
        }
        attempt.finish(!result.outcome.never_executed());
        request.finished |= result.request_finished;
        request.crash_suspect = None;
        Some(before)
    }

    /// Marks a request as finished: the client has received a response or has disconnected.
    pub(crate) fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.finished = true;
            self.remove_if_done(id);
        }
    }

    /// Marks an endpoint as the crash suspect of a request, because it has reset the connection of
    /// the request's last attempt.
    pub(crate) fn suspect_crash(&mut self, id: RequestId, endpoint: EndpointIndex) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.crash_suspect = Some(endpoint);
        }
    }

    /// Applies the result of a health check to the requests that suspect the endpoint of a crash.
    pub(crate) fn resolve_crash_suspicion(&mut self, endpoint: EndpointIndex, is_down: bool) {
        for request in self.by_id.values_mut() {
            if request.crash_suspect == Some(endpoint) {
                request.crash_suspect = None;
                request.query_of_death = is_down;
            }
        }
    }

    /// Limits the deadlines of all requests to `deadline`.
    pub(crate) fn limit_deadlines(&mut self, deadline: Timestamp) {
        for request in self.by_id.values_mut() {
            request.deadline = request.deadline.min(deadline);
            request.objective_deadline = request.objective_deadline.min(deadline);
        }
    }

    /// Returns all attempts whose response has not begun to arrive.
    pub(crate) fn awaiting_response(&mut self) -> impl Iterator<Item = WaitingAttempt<'_>> {
        self.by_id.iter_mut().flat_map(|(id, request)| {
            let id = *id;
            let (route, cost, request_finished) = (request.route, request.cost, request.finished);
            let is_only_attempt = request.attempts.len() == 1;
            let attempts = request.attempts.iter_mut().enumerate();
            attempts.filter_map(move |(position, attempt)| {
                let (endpoint, sent_at) = (attempt.endpoint, attempt.sent_at);
                let state = attempt.awaiting_response_mut()?;
                Some(WaitingAttempt {
                    id: AttemptId::new(id, AttemptIndex::new(position)),
                    endpoint,
                    sent_at,
                    route,
                    cost,
                    request_finished,
                    is_only_attempt,
                    state,
                })
            })
        })
    }

    /// Returns the ids of the requests that await an attempt, in the order of serving.
    pub(crate) fn awaiting_attempt(&self) -> Vec<RequestId> {
        let waiting = self
            .by_id
            .iter()
            .filter(|(_, request)| request.awaits_attempt());
        let mut order: Vec<ServingOrder> = waiting
            .map(|(id, request)| ServingOrder {
                priority_level: Reverse(request.priority_level),
                arrived_at: Reverse(request.arrived_at),
                id: *id,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|waiting| waiting.id).collect()
    }

    /// Returns the earliest time after `now` at which a request without an attempt in flight misses
    /// its latency objective.
    pub(crate) fn next_missed_objective(&self, now: Timestamp) -> Option<Timestamp> {
        let requests = self.by_id.values();
        let waiting =
            requests.filter(|request| !request.finished && !request.has_attempt_in_flight());
        let deadlines = waiting.map(|request| request.objective_deadline);
        deadlines.filter(|deadline| *deadline > now).min()
    }

    /// Returns an attempt with its request, provided that the attempt is in flight, the request is
    /// unfinished, and its deadline has not passed.
    pub(crate) fn live_attempt(
        &self,
        id: AttemptId,
        now: Timestamp,
    ) -> Option<(&Request, &Attempt)> {
        let request = self.get(id.request)?;
        let attempt = request.attempt(id.index)?;
        let is_live = attempt.in_flight() && !request.finished && now < request.deadline;
        is_live.then_some((request, attempt))
    }

    /// Returns the latest build that has an attempt with this idempotency key in flight.
    pub(crate) fn latest_build_in_flight(&self, key: &str) -> Option<BuildNumber> {
        let requests = self.by_id.values();
        let same_key = requests.filter(|other| other.idempotency_key.as_deref() == Some(key));
        let attempts = same_key.flat_map(|other| &other.attempts);
        let in_flight = attempts.filter(|attempt| attempt.in_flight());
        in_flight.map(|attempt| attempt.process.build).max()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) {
        if self.get(id).is_some_and(Request::is_done) {
            self.by_id.remove(&id);
        }
    }

    /// Returns whether any request refers to an endpoint.
    pub(crate) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.by_id
            .values()
            .any(|request| request.refers_to(endpoint))
    }
}
