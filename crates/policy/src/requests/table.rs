//! The table of open requests with their attempts.
//!
//! A request stays until it is finished and none of its attempts is in flight.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{Attempt, AwaitingResponse, Request};
use crate::types::{
    AttemptId, AttemptIndex, AttemptResult, BuildNumber, EndpointIndex, RequestId, RouteIndex,
    Timestamp,
};

/// The order in which requests are served: by priority, and the newest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServingOrder {
    priority_level: Reverse<i32>,
    arrived_at: Reverse<Timestamp>,
    id: RequestId,
}

/// An attempt of whose response nothing has arrived, with the data of its request.
#[derive(Debug)]
pub(crate) struct WaitingAttempt<'a> {
    /// Which attempt it is.
    pub(crate) id: AttemptId,
    /// The endpoint to which it was sent.
    pub(crate) endpoint: EndpointIndex,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// Route of the request.
    pub(crate) route: RouteIndex,
    /// Cost of the request.
    pub(crate) cost: f64,
    /// The client has its answer or has disconnected.
    pub(crate) request_finished: bool,
    /// It is the only attempt of its request.
    pub(crate) is_only_attempt: bool,
    /// Its state.
    pub(crate) state: &'a mut AwaitingResponse,
}

/// All open requests by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    by_id: BTreeMap<RequestId, Request>,
}

impl RequestTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.by_id.insert(id, request);
    }

    /// The request of this id.
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Adds an attempt to a request.
    pub(crate) fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.attempts.push(attempt);
        }
    }

    /// The response to an attempt has begun to stream to the client.
    pub(crate) fn start_streaming(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.start_streaming();
        }
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let request = self.by_id.get_mut(&id.request)?;
        request.attempts.get_mut(id.index.get())
    }

    /// Records the end of an attempt. Returns the attempt as it was before, if it was in flight.
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

    /// The client has its answer or has disconnected.
    pub(crate) fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.finished = true;
            self.remove_if_done(id);
        }
    }

    /// The connection of the request's last attempt was reset: its endpoint may have crashed.
    pub(crate) fn suspect_crash(&mut self, id: RequestId, endpoint: EndpointIndex) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.crash_suspect = Some(endpoint);
        }
    }

    /// A health check has shown whether an endpoint runs that was suspected to have crashed.
    pub(crate) fn resolve_crash_suspicion(&mut self, endpoint: EndpointIndex, is_down: bool) {
        for request in self.by_id.values_mut() {
            if request.crash_suspect == Some(endpoint) {
                request.crash_suspect = None;
                request.query_of_death = is_down;
            }
        }
    }

    /// No request may be answered later than `deadline`.
    pub(crate) fn limit_deadlines(&mut self, deadline: Timestamp) {
        for request in self.by_id.values_mut() {
            request.deadline = request.deadline.min(deadline);
            request.objective_deadline = request.objective_deadline.min(deadline);
        }
    }

    /// All attempts of whose responses nothing has arrived.
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

    /// Ids of the requests for which another attempt may be made, in the order of serving.
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

    /// The next time after `now` at which a request that has no attempt in flight misses its
    /// latency objective.
    pub(crate) fn next_missed_objective(&self, now: Timestamp) -> Option<Timestamp> {
        let requests = self.by_id.values();
        let waiting =
            requests.filter(|request| !request.finished && !request.has_attempt_in_flight());
        let deadlines = waiting.map(|request| request.objective_deadline);
        deadlines.filter(|deadline| *deadline > now).min()
    }

    /// An attempt in flight whose request is open and whose client still waits.
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

    /// The latest build to which a request with this idempotency key is being sent.
    pub(crate) fn latest_build_in_flight(&self, key: &str) -> Option<BuildNumber> {
        let requests = self.by_id.values();
        let same_key = requests.filter(|other| other.idempotency_key.as_deref() == Some(key));
        let attempts = same_key.flat_map(|other| &other.attempts);
        let in_flight = attempts.filter(|attempt| attempt.in_flight());
        in_flight.map(|attempt| attempt.process.build).max()
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// No request is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) {
        if self.get(id).is_some_and(Request::is_done) {
            self.by_id.remove(&id);
        }
    }

    /// Whether a request refers to this endpoint.
    pub(crate) fn refers_to(&self, endpoint: EndpointIndex) -> bool {
        self.by_id
            .values()
            .any(|request| request.refers_to(endpoint))
    }
}
