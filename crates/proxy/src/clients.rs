//! Connections of clients and the requests received over them.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | the states of one connection |
//! | `messages` | handling one message of a client, as far as that needs no table |
//! | [`arrivals`] | when the bytes of each request were received |
//! | [`stages`] | what each connection waits for, and which connections are closed first to free resources |
//! | `pending_requests` | requests that are not finished |
//! | `accepting` | accepting connections, and closing others to make room for them |
//! | `reading` | reading from connections and handling what was received |
//! | `requests` | validating statements and passing requests to the policy |
//! | `responses` | sending responses |
//! | `lifecycle` | time limits, idle connections, closing |
//!
//! Invariants: each connection in the table has a placement in the index of stages; the request
//! that a connection waits for is pending and refers back to that connection; a response is written
//! as a whole, followed by ReadyForQuery.

mod accepting;
pub mod arrivals;
mod connection;
mod lifecycle;
mod messages;
mod pending_requests;
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
use tidescale_policy::types::{AttemptId, RequestId};

use crate::context::{Component, IoContext, Owner};
use crate::ids::ClientKey;
use crate::slots::Slots;

use accepting::ListenerState;
use connection::ClientConnection;
use pending_requests::PendingRequests;
use stages::{ConnectionsByStage, Stage};

pub use pending_requests::PendingRequest;

/// Under pressure, a connection is not closed before it has been in its stage for this long: its
/// next message may be in transit.
const MIN_STAGE_AGE: Duration = Duration::from_millis(100);

/// How many connections clients may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections at a time.
    pub connections: usize,
    /// Connections that are idle between requests.
    pub idle: usize,
}

/// All connections of clients and all pending requests.
pub struct Clients {
    listener: Rc<TcpListener>,
    listener_state: ListenerState,
    connections: Slots<ClientConnection, ClientKey>,
    max_idle: usize,
    stages: ConnectionsByStage,
    requests: PendingRequests,
    routes: Vec<Route>,
    /// Connections that may already have received their next message.
    pending: Vec<ClientKey>,
    /// Connections that were not read because no buffer was free.
    starved: Vec<ClientKey>,
    is_shutting_down: bool,
}

impl Clients {
    /// Starts to listen for clients.
    ///
    /// # Errors
    /// The listener cannot be set up or registered.
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
            max_idle: limits.idle,
            stages: ConnectionsByStage::default(),
            requests: PendingRequests::new(),
            routes,
            pending: Vec::new(),
            starved: Vec::new(),
            is_shutting_down: false,
        })
    }

    /// There is work to do before the event loop reports anything.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        let has_connections_to_accept = match self.listener_state {
            ListenerState::BatchTaken => true,
            ListenerState::Ready => !self.connections.is_full(),
            ListenerState::Drained | ListenerState::Failed => false,
        };
        has_connections_to_accept
            || !self.pending.is_empty()
            || !self.starved.is_empty() && !context.client_pool.is_exhausted()
    }

    /// Number of requests that are not finished.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Records a readiness report of the event loop.
    pub fn on_ready(&mut self, key: ClientKey, readiness: Readiness) {
        if let Some(client) = self.connections.get_mut(key) {
            client.connection.on_ready(readiness);
            self.pending.push(key);
        }
    }

    /// Takes the connections to serve in this iteration, in the order of their keys.
    pub fn take_pending(&mut self) -> Vec<ClientKey> {
        let mut pending = std::mem::take(&mut self.pending);
        pending.append(&mut self.starved);
        pending.sort_unstable();
        pending.dedup();
        pending
    }

    /// A pending request.
    pub fn request(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(id)
    }

    /// Whether a client waits for the response to a request.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests.is_waiting(id)
    }

    /// An attempt is no longer in flight.
    pub fn on_attempt_ended(&mut self, id: AttemptId) {
        self.requests.end_attempt(id);
    }

    /// From now on connections close between requests; new ones are accepted until the accept
    /// period ends.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        self.pending
            .extend(self.connections.iter().map(|(key, _)| key));
    }

    /// Nothing is pending for any client: all requests are answered and the responses written, no
    /// message is incomplete or unread, and no connection waits to be accepted.
    pub fn is_idle(&self) -> bool {
        let is_pending = |client: &ClientConnection| match client.stage() {
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
                .any(|(_, client)| is_pending(client))
    }
}
