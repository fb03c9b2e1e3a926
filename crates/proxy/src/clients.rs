//! Client connections and the requests received over them.
//!
//! | module | purpose |
//! | --- | --- |
//! | `connection` | the state of one connection and its limits on input |
//! | `messages` | handling one message with the state of its own connection only |
//! | [`arrivals`] | when the bytes of each request were received |
//! | [`stages`] | the stage of each connection, its timeout, and the order of eviction |
//! | `pending_requests` | the table of unfinished requests |
//! | [`executed_requests`] | ids of finished requests that must not be executed again |
//! | `accepting` | accepting connections, and evicting others at the connection limit |
//! | [`read_schedule`] | which connections an iteration reads, and how much |
//! | `reading` | reading from connections and handling received messages |
//! | `requests` | validating statements and passing requests to the policy |
//! | `responses` | sending responses |
//! | `lifecycle` | timeouts, the limit on idle connections, and closing |
//!
//! Invariants:
//!
//! - Each connection in the table has an entry in the index of stages.
//! - The request that a connection waits for is in the table of pending requests and refers back to
//!   that connection.
//! - A response is appended to the output as a whole, followed by ReadyForQuery.

mod accepting;
pub mod arrivals;
mod connection;
pub mod executed_requests;
mod lifecycle;
mod messages;
mod pending_requests;
pub mod read_schedule;
mod reading;
mod requests;
mod responses;
pub mod stages;

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use calloop::Readiness;
use tidescale_policy::settings::Route;
use tidescale_policy::types::{AttemptId, AttemptOutcome, RequestId, Timestamp};

use crate::context::{Component, IoContext, Owner};
use crate::ids::ClientKey;
use crate::slots::Slots;

use accepting::ListenerState;
use connection::ClientConnection;
use pending_requests::PendingRequests;
use read_schedule::ReadSchedule;
use stages::{ConnectionsByStage, Stage};

pub use pending_requests::PendingRequest;

/// Minimum time in a stage before a connection may be closed to free resources: its next message
/// may be in transit.
const MIN_STAGE_AGE: Duration = Duration::from_millis(100);

/// Limits on the number of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of connections that are idle between requests.
    pub idle: usize,
}

/// All client connections and all pending requests.
pub struct Clients {
    listener: Rc<TcpListener>,
    listener_state: ListenerState,
    connections: Slots<ClientConnection, ClientKey>,
    max_idle_connections: usize,
    stages: ConnectionsByStage,
    requests: PendingRequests,
    routes: Vec<Route>,
    read_schedule: ReadSchedule,
    /// The time of the last iteration in which no connection held buffers that could be freed. The
    /// search is not repeated in the same iteration.
    no_buffer_holder_at: Option<Timestamp>,
    is_shutting_down: bool,
}

impl Clients {
    /// Registers the listening socket with the event loop.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking or registered.
    pub fn new(
        context: &IoContext,
        listener: TcpListener,
        routes: Vec<Route>,
        limits: ClientLimits,
    ) -> io::Result<Clients> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        context.register(listener.clone(), Owner::only(Component::Listener))?;
        Ok(Clients {
            listener,
            listener_state: ListenerState::Drained,
            connections: Slots::new(limits.connections),
            max_idle_connections: limits.idle,
            stages: ConnectionsByStage::default(),
            requests: PendingRequests::new(),
            routes,
            read_schedule: ReadSchedule::default(),
            no_buffer_holder_at: None,
            is_shutting_down: false,
        })
    }

    /// Whether there is work to do without waiting for an event.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        let has_connections_to_accept = match self.listener_state {
            ListenerState::BatchAccepted => true,
            ListenerState::Ready => !self.connections.is_full(),
            ListenerState::Drained | ListenerState::Failed => false,
        };
        let buffers_are_free = !context.client_buffers.is_exhausted();
        has_connections_to_accept || self.read_schedule.has_work(buffers_are_free)
    }

    /// Returns the number of pending requests: those whose client waits for a response or that have
    /// an attempt in flight.
    pub fn pending_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Records a readiness event of a connection, which is then handled in the current iteration.
    pub fn on_ready(&mut self, key: ClientKey, readiness: Readiness) {
        if let Some(client) = self.connections.get_mut(key) {
            client.connection.on_ready(readiness);
            self.read_schedule.schedule(key);
        }
    }

    /// Takes the connections that this iteration has to handle, in their order and without
    /// duplicates.
    pub fn take_scheduled(&mut self) -> Vec<ClientKey> {
        self.read_schedule.take()
    }

    /// Whether this iteration may read from another connection.
    pub fn may_read_more(&self) -> bool {
        self.read_schedule.may_read_more()
    }

    /// Leaves connections to the next iteration.
    pub fn postpone(&mut self, keys: impl IntoIterator<Item = ClientKey>) {
        self.read_schedule.postpone(keys);
    }

    /// Returns a pending request, or `None` if it has finished.
    pub fn request(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(id)
    }

    /// Whether a client still waits for the response to a request.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests.is_waiting(id)
    }

    /// Records that an attempt is no longer in flight, and how it ended.
    pub fn on_attempt_ended(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.requests.end_attempt(id, outcome);
    }

    /// Removes what is kept of finished requests for a limited time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.requests.remove_expired(now);
    }

    /// Schedules all connections, so that those between requests are closed. New connections are
    /// accepted until the accept period of the shutdown ends.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        for (key, _) in self.connections.iter() {
            self.read_schedule.schedule(key);
        }
    }

    /// Whether no work is left for any client: no client waits for a response, all output is
    /// written, no message is incomplete or unread, and no connection waits to be accepted.
    pub fn has_finished_all_work(&self) -> bool {
        let has_unfinished_work = |client: &ClientConnection| match client.stage() {
            Stage::AwaitingResponse | Stage::Writing | Stage::ReceivingMessage => true,
            Stage::Closing => !client.connection.output.is_empty(),
            Stage::Opening | Stage::AwaitingFirstRequest | Stage::Idle => {
                !client.connection.has_no_pending_input()
            }
        };
        let is_drained = self.listener_state == ListenerState::Drained;
        is_drained
            && !self
                .connections
                .iter()
                .any(|(_, client)| has_unfinished_work(client))
    }
}

/// Starts another iteration of the event loop once connections may have reached [`MIN_STAGE_AGE`],
/// so that they may be closed to free resources.
fn retry_after_min_stage_age(context: &mut IoContext) {
    let retry_at = context.now + MIN_STAGE_AGE;
    let listener = Owner::only(Component::Listener);
    context.deadlines.set(listener, retry_at);
}
