//! Ids of finished requests that must not be executed twice. No I/O.
//!
//! A request whose client has left may come again with the same id, on another connection. If an
//! attempt may have executed it, it must not be executed once more.

use std::rc::Rc;

use tidescale_policy::types::Timestamp;

use crate::deadlines::Deadlines;

/// Maximum number of ids. At this limit, those that expire first are removed early.
pub const MAX_EXECUTED_REQUESTS: usize = 16 * 1024;

/// The client request ids of requests with a side effect that may have been executed. An id is
/// removed when it expires: no client waits for its response any more.
#[derive(Default)]
pub struct ExecutedRequests {
    ids: Deadlines<Rc<str>>,
}

impl ExecutedRequests {
    /// Adds an id that expires at `expires_at`.
    pub fn add(&mut self, client_request_id: &str, expires_at: Timestamp) {
        self.ids.set(client_request_id.into(), expires_at);
        if self.ids.count() > MAX_EXECUTED_REQUESTS {
            self.ids.pop_first();
        }
    }

    /// Whether a request with this id may have been executed.
    pub fn contains(&self, client_request_id: &str) -> bool {
        self.ids.contains(client_request_id)
    }

    /// Removes the ids that have expired.
    pub fn remove_expired(&mut self, now: Timestamp) {
        while self.ids.pop_due(now).is_some() {}
    }
}
