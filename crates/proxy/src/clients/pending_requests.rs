//! Requests whose client waits for a response or that have an attempt in flight. No I/O.

use std::collections::BTreeSet;
use std::ops::Range;

use tidescale_policy::types::{AttemptId, RequestId};

use crate::buffers::Chain;
use crate::ids::{ClientKey, EndpointConnectionKey};
use crate::slots::Slots;

/// A request, from its arrival until its client was answered or has disconnected and its last
/// attempt has ended.
pub struct PendingRequest {
    /// The client that waits for the response; none once it was answered or has disconnected.
    pub(super) client: Option<ClientKey>,
    /// The id that the client gave the request.
    pub(super) client_request_id: String,
    /// It may be executed more than once.
    pub is_repeatable: bool,
    /// The statement of the client.
    pub statement: Chain,
    /// Position of the digits of the client's time limit in the statement.
    pub wait_range: Range<usize>,
    /// For each attempt, by its index, the connection that it is in flight on.
    pub attempts: Vec<Option<EndpointConnectionKey>>,
}

impl PendingRequest {
    /// The connection that an attempt is in flight on.
    pub fn attempt_connection(&self, id: AttemptId) -> Option<EndpointConnectionKey> {
        self.attempts.get(id.index.get()).copied().flatten()
    }

    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// All pending requests. No two of them have the same id from their clients.
pub(super) struct PendingRequests {
    requests: Slots<PendingRequest, RequestId>,
    client_request_ids: BTreeSet<String>,
}

impl PendingRequests {
    /// The table needs no limit of its own: each connection of a client has at most one unanswered
    /// request.
    pub(super) fn new() -> PendingRequests {
        PendingRequests {
            requests: Slots::new(usize::MAX),
            client_request_ids: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.entry_count()
    }

    pub(super) fn has_client_request_id(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    /// Adds a request with an id that no other pending request has.
    pub(super) fn insert(&mut self, request: PendingRequest) -> Option<RequestId> {
        self.client_request_ids
            .insert(request.client_request_id.clone());
        self.requests
            .insert(|_| Ok::<_, std::convert::Infallible>(request))?
            .ok()
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(id)
    }

    /// Whether a client waits for the response.
    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| request.client.is_some())
    }

    /// Removes the client from a request and returns it: it no longer waits for the response.
    pub(super) fn take_client(&mut self, id: RequestId) -> Option<ClientKey> {
        self.requests.get_mut(id)?.client.take()
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn end_attempt(&mut self, id: AttemptId) {
        let attempt = self
            .requests
            .get_mut(id.request)
            .and_then(|request| request.attempts.get_mut(id.index.get()));
        if let Some(connection) = attempt {
            *connection = None;
        }
        self.remove_if_finished(id.request);
    }

    /// Removes a request that no client waits for and that has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self
            .requests
            .get(id)
            .is_some_and(PendingRequest::is_finished);
        if !is_finished {
            return;
        }
        if let Some(request) = self.requests.remove(id) {
            self.client_request_ids.remove(&request.client_request_id);
        }
    }
}
