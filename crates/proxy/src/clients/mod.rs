//! Clients' connections and the requests that came over them.
//!
//! | module | its job |
//! | --- | --- |
//! | [`arrivals`] | when each request came |
//! | [`stages`] | which connection has waited longest for what, and makes room first |
//! | `connection` | one connection's states |
//! | `pending_requests` | requests that are not finished |
//! | `accepting` | new connections, and room for them |
//! | `serving` | reading, requests, time limits, closing |
//!
//! Invariants: a connection in the table has a placement in the index of stages; the request that a connection awaits
//! is pending and names that connection; a response is written whole, followed by ReadyForQuery.

mod accepting;
pub mod arrivals;
mod connection;
mod pending_requests;
mod serving;
pub mod stages;

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use tidescale_policy::settings::Route;

use crate::buffers::Chain;
use crate::connection::{Component, IoContext, Owner};
use crate::postgres::{self, Severity, sqlstate};
use crate::slots::Slots;

use accepting::ListenerState;
use connection::{ClientConnection, ClientState};
use pending_requests::PendingRequests;
use stages::{Stage, StageIndex};

pub use pending_requests::PendingRequest;

/// Under pressure no connection is closed that came into its stage more recently: what it sends next may be on its way.
const RECENT: Duration = Duration::from_millis(100);
/// The unit in which clients are told when to retry; less cannot be told.
const RETRY_AFTER_UNIT: Duration = Duration::from_millis(1);

/// How many connections clients may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// At one time.
    pub connections: usize,
    /// Of these, how many may be idle between requests.
    pub resting: usize,
}

/// All clients' connections and pending requests.
pub struct Clients {
    listener: Rc<TcpListener>,
    listener_state: ListenerState,
    connections: Slots<ClientConnection>,
    max_idle: usize,
    stages: StageIndex,
    requests: PendingRequests,
    routes: Vec<Route>,
    /// Connections whose next message may be there already.
    pending: Vec<u64>,
    /// Connections that were not read for want of buffers.
    starved: Vec<u64>,
    is_shutting_down: bool,
}

impl Clients {
    /// Begins to listen for clients.
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
        context.register(listener.clone(), Owner::new(Component::Listener, 0))?;
        Ok(Clients {
            listener,
            listener_state: ListenerState::Drained,
            connections: Slots::new(limits.connections),
            max_idle: limits.resting,
            stages: StageIndex::default(),
            requests: PendingRequests::new(),
            routes,
            pending: Vec::new(),
            starved: Vec::new(),
            is_shutting_down: false,
        })
    }

    /// There is something to do before the event loop reports anything.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        let has_connections_to_accept = match self.listener_state {
            ListenerState::BatchTaken => true,
            ListenerState::Ready => !self.connections.is_full(),
            ListenerState::Drained | ListenerState::Failed => false,
        };
        has_connections_to_accept
            || !self.pending.is_empty()
            || !self.starved.is_empty() && !context.clients_pool.is_empty()
    }

    /// Number of requests that are not finished.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Takes a report of the event loop on a connection.
    pub fn on_ready(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(client) = self.connections.get_mut(key) {
            client.connection.on_ready(readiness);
            self.pending.push(key);
        }
    }

    /// Takes out the connections that are to be served in this iteration, in order of their numbers.
    pub fn take_pending(&mut self) -> Vec<u64> {
        let mut pending = std::mem::take(&mut self.pending);
        pending.append(&mut self.starved);
        pending.sort_unstable();
        pending.dedup();
        pending
    }

    /// A pending request, by its number.
    pub fn request(&mut self, request: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(request)
    }

    /// Whether a client awaits the request's response.
    pub fn is_waiting(&self, request: u64) -> bool {
        self.requests.is_waiting(request)
    }

    /// An attempt is no longer in flight.
    pub fn on_attempt_ended(&mut self, request: u64, attempt_index: usize) {
        self.requests.end_attempt(request, attempt_index);
    }

    /// Gives a request its response, whole, if its client still awaits one.
    fn respond(&mut self, request: u64, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.requests.take_client(request) else {
            return;
        };
        if let Some(client) = self.connections.get_mut(key) {
            client.state = ClientState::Idle;
            write(&mut client.connection.output);
            postgres::put_ready(&mut client.connection.output);
            // An error shows when the connection is served next, in the following iteration.
            let _ = client.connection.flush();
            self.pending.push(key);
        }
        self.requests.remove_if_finished(request);
    }

    fn respond_with_error(&mut self, request: u64, code: &str, message: &str, detail: &str) {
        self.respond(request, |out| {
            postgres::put_error(out, Severity::Error, code, message, detail);
        });
    }

    /// Passes an endpoint's answer on.
    pub fn complete_request(&mut self, request: u64, answer: &mut Chain) {
        self.respond(request, |out| answer.pass(answer.len(), out));
    }

    /// An endpoint has found the request itself invalid.
    pub fn answer_invalid_request(&mut self, request: u64) {
        self.respond_with_error(
            request,
            sqlstate::SYNTAX_ERROR,
            "a machine turned it down",
            "",
        );
    }

    /// Tells the client that its request was not executed, and after how many milliseconds it may retry; less than one
    /// names no time.
    pub fn reject_request(&mut self, request: u64, retry_after: Duration) {
        let detail = if retry_after >= RETRY_AFTER_UNIT {
            retry_after.as_millis().to_string()
        } else {
            String::new()
        };
        self.respond_with_error(
            request,
            sqlstate::TOO_MANY_CONNECTIONS,
            "try again",
            &detail,
        );
    }

    /// Tells the client that its request has failed and may have been executed.
    pub fn fail_request(&mut self, request: u64) {
        self.respond_with_error(request, sqlstate::SYSTEM_ERROR, "not completed", "");
    }

    /// From now on connections close between requests; new ones are still accepted for a while.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        self.pending
            .extend(self.connections.iter().map(|(key, _)| key));
    }

    /// Nothing is pending for anyone: all that was taken is answered and written, no message has begun, nothing that
    /// came stands unread, and nobody waits to be accepted.
    pub fn is_idle(&self) -> bool {
        let is_pending = |client: &ClientConnection| match client.stage() {
            Stage::AwaitingResponse | Stage::Writing | Stage::ReceivingMessage => true,
            Stage::Closing => !client.connection.output.is_empty(),
            Stage::Opening | Stage::AwaitingFirstRequest | Stage::Idle => {
                !client.connection.is_quiet()
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
