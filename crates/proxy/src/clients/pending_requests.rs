//! The table of requests whose client waits for a response or that have an attempt in flight. No
//! I/O.

use std::collections::BTreeSet;
use std::ops::Range;

use tidescale_policy::types::{AttemptId, AttemptOutcome, RequestId, Timestamp};

use super::executed_requests::ExecutedRequests;
use crate::buffers::Chain;
use crate::ids::{ClientKey, EndpointConnectionKey};
use crate::slots::Slots;

/// A request from its arrival until its last attempt has ended and its client has been sent a
/// response or has disconnected.
pub struct PendingRequest {
    /// The client that waits for the response; `None` once it was sent or the client has
    /// disconnected.
    pub(super) client: Option<ClientKey>,
    /// The request id in the client's statement.
    pub(super) client_request_id: String,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
    /// The client's statement.
    pub statement: Chain,
    /// The byte range of the time limit's digits in the statement.
    pub time_limit_range: Range<usize>,
    /// The connection that each attempt is in flight on, by the index of the attempt; `None` if the
    /// attempt is not in flight.
    pub attempt_connections: Vec<Option<EndpointConnectionKey>>,
    /// Whether an attempt that has ended may have executed the request.
    pub(super) may_have_executed: bool,
    /// Until when a request with the same id must not be executed after this one; `None` if it may
    /// be executed at any time.
    pub(super) no_repeat_until: Option<Timestamp>,
}

impl PendingRequest {
    /// Returns the connection that an attempt is in flight on; `None` if it is not in flight.
    pub fn attempt_connection(&self, id: AttemptId) -> Option<EndpointConnectionKey> {
        self.attempt_connections
            .get(id.index.get())
            .copied()
            .flatten()
    }

    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempt_connections.iter().all(Option::is_none)
    }
}

/// All pending requests, and the ids of finished ones that must not be executed again. The client
/// request ids of pending requests are unique.
pub(super) struct PendingRequests {
    requests: Slots<PendingRequest, RequestId>,
    client_request_ids: BTreeSet<String>,
    executed: ExecutedRequests,
}

impl PendingRequests {
    /// Creates an empty table. It needs no limit of its own: each client connection has at most one
    /// request that waits for a response.
    pub(super) fn new() -> PendingRequests {
        PendingRequests {
            requests: Slots::new(usize::MAX),
            client_request_ids: BTreeSet::new(),
            executed: ExecutedRequests::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.entry_count()
    }

    pub(super) fn has_client_request_id(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    /// Whether a finished request with this client request id may have been executed and must not be
    /// executed again.
    pub(super) fn may_have_executed(&self, client_request_id: &str) -> bool {
        self.executed.contains(client_request_id)
    }

    /// Removes the ids of finished requests whose clients wait no longer.
    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.executed.remove_expired(now);
    }

    /// Adds a request. The caller has checked that no pending request has its client request id.
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

    /// Whether a client still waits for the response.
    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| request.client.is_some())
    }

    /// Removes and returns the client that waits for the response.
    pub(super) fn take_client(&mut self, id: RequestId) -> Option<ClientKey> {
        self.requests.get_mut(id)?.client.take()
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        if let Some(request) = self.requests.get_mut(id.request) {
            request.may_have_executed |= !outcome.never_executed();
            if let Some(connection) = request.attempt_connections.get_mut(id.index.get()) {
                *connection = None;
            }
        }
        self.remove_if_finished(id.request);
    }

    /// Removes a request if no client waits for it and it has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self
            .requests
            .get(id)
            .is_some_and(PendingRequest::is_finished);
        if !is_finished {
            return;
        }
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.client_request_ids.remove(&request.client_request_id);
        if let Some(expires_at) = request.no_repeat_until
            && request.may_have_executed
        {
            self.executed.add(&request.client_request_id, expires_at);
        }
    }
}
