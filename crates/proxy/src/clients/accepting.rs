//! Accepting connections, and closing others to make room for them.

use std::io;
use std::net::TcpStream;

use slog::debug;

use super::connection::ClientConnection;
use super::stages::{Placement, Stage};
use super::{Clients, MIN_STAGE_AGE};
use crate::connection::Connection;
use crate::context::{Component, EventContext, IoContext, Owner};
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::sqlstate;

/// Most connections accepted in one event-loop iteration, so that others are served too.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;

/// Whether connections wait to be accepted. The event loop reports only the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    /// None waits.
    Drained,
    /// Some may wait.
    Ready,
    /// This iteration has accepted as many as it may; more may wait.
    BatchTaken,
    /// The system could not accept a connection. The next iteration tries again, whenever it is
    /// run.
    Failed,
}

impl Clients {
    /// The event loop reports that a client connects.
    pub fn on_accept_ready(&mut self) {
        if self.listener_state == ListenerState::Drained {
            self.listener_state = ListenerState::Ready;
        }
    }

    /// Accepts connections up to the limit. At the limit, connections without a request are closed
    /// to make room.
    pub fn accept(&mut self, context: &mut EventContext<'_>) {
        if self.listener_state == ListenerState::Drained {
            return;
        }
        self.listener_state = ListenerState::Ready;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.connections.is_full() && !self.make_room(context) {
                return;
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.add(socket, context.io),
                Err(error) if is_transient(&error) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.listener_state = ListenerState::Drained;
                    return;
                }
                Err(error) => {
                    self.listener_state = ListenerState::Failed;
                    log_lines::accept_failed(&context.io.log, &error);
                    return;
                }
            }
        }
        self.listener_state = ListenerState::BatchTaken;
    }

    fn add(&mut self, socket: TcpStream, context: &mut IoContext) {
        let accepted_in_shutdown = self.is_shutting_down;
        let inserted = self.connections.insert(|key: ClientKey| {
            let owner = Owner::client(key);
            let connection = Connection::from_socket(context, socket, owner, &context.client_pool)?;
            Ok::<_, io::Error>(ClientConnection::new(connection, accepted_in_shutdown))
        });
        match inserted {
            Some(Ok(key)) => {
                self.set_stage(key, Stage::Opening, context);
                // Most clients send their startup message with the connect.
                self.pending.push(key);
            }
            Some(Err(error)) => log_lines::client_registration_failed(&context.log, &error),
            None => {}
        }
    }

    /// Closes the first connection in the order of eviction. Returns whether there was one.
    fn make_room(&mut self, context: &mut EventContext<'_>) -> bool {
        let Some(Placement {
            stage, connection, ..
        }) = self.first_to_evict(context.io)
        else {
            // All are too recent to be closed; try again as soon as one may be old enough.
            let retry_at = context.io.now + MIN_STAGE_AGE;
            let listener = Owner::only(Component::Listener);
            context.io.deadlines.set(listener, retry_at);
            return false;
        };
        debug!(context.io.log, "client evicted");
        if stage == Stage::ReceivingMessage
            && let Some(client) = self.connections.get_mut(connection)
        {
            // The client must know that its incomplete message was not executed.
            client.refuse(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
            let _ = client.connection.flush();
        }
        self.close(connection, context);
        true
    }

    fn first_to_evict(&self, context: &IoContext) -> Option<Placement> {
        let latest = context.now - MIN_STAGE_AGE;
        // A connection that has received bytes since it was last served is served before it may be
        // closed.
        let has_sent_nothing = |placement: &Placement| {
            self.connections
                .get(placement.connection)
                .is_some_and(|client| client.is_closing() || client.connection.read_would_block())
        };
        self.stages.eviction_order(latest).find(has_sent_nothing)
    }
}

/// The failure concerns one connection only; the next one can be accepted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}
