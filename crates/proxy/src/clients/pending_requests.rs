//! Requests whose client awaits a response, or of which an attempt is still in flight. No I/O.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::buffers::Chain;
use crate::slots::Slots;

/// A request from its arrival until its client has been answered or has gone, and its last attempt has ended.
pub struct PendingRequest {
    /// The connection of the client that awaits the response; none once it has been answered or has gone.
    pub(super) client: Option<u64>,
    /// As the client gave it.
    pub(super) request_id: String,
    /// It may be executed more than once.
    pub is_repeatable: bool,
    /// The client's statement.
    pub statement: Chain,
    /// Where the digits of the client's wait stand in the statement.
    pub wait_range: Range<usize>,
    /// For each attempt, by its index, the endpoint connection that it is in flight on.
    pub attempts: Vec<Option<u64>>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// All pending requests by number. No two of them have the same id from their clients.
pub(super) struct PendingRequests {
    requests: Slots<PendingRequest>,
    request_ids: BTreeSet<String>,
}

impl PendingRequests {
    /// Clients' connections bound their number, each with at most one request that is not finished.
    pub(super) fn new() -> PendingRequests {
        PendingRequests {
            requests: Slots::new(usize::MAX),
            request_ids: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.used()
    }

    pub(super) fn has_request_id(&self, request_id: &str) -> bool {
        self.request_ids.contains(request_id)
    }

    /// Adds a request whose id no other has, and gives its number.
    pub(super) fn insert(&mut self, request: PendingRequest) -> Option<u64> {
        self.request_ids.insert(request.request_id.clone());
        self.requests
            .insert(|_| Ok::<_, std::convert::Infallible>(request))?
            .ok()
    }

    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(number)
    }

    /// Whether a client awaits its response.
    pub(super) fn is_waiting(&self, number: u64) -> bool {
        self.requests
            .get(number)
            .is_some_and(|request| request.client.is_some())
    }

    /// Takes the client out, which awaits the response no longer.
    pub(super) fn take_client(&mut self, number: u64) -> Option<u64> {
        self.requests.get_mut(number)?.client.take()
    }

    /// Notes that an attempt is no longer in flight.
    pub(super) fn end_attempt(&mut self, number: u64, attempt_index: usize) {
        let attempt = self
            .requests
            .get_mut(number)
            .and_then(|request| request.attempts.get_mut(attempt_index));
        if let Some(connection) = attempt {
            *connection = None;
        }
        self.remove_if_finished(number);
    }

    /// Forgets a request that nobody waits for and no endpoint works on.
    pub(super) fn remove_if_finished(&mut self, number: u64) {
        let is_finished = self
            .requests
            .get(number)
            .is_some_and(PendingRequest::is_finished);
        if !is_finished {
            return;
        }
        if let Some(request) = self.requests.remove(number) {
            self.request_ids.remove(&request.request_id);
        }
    }
}
