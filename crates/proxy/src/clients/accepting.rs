//! Accepting connections, and evicting others at the connection limit.

use std::io;
use std::net::TcpStream;

use slog::debug;

use super::connection::ClientConnection;
use super::stages::{Stage, StageEntry};
use super::{Clients, MIN_STAGE_AGE, retry_after_min_stage_age};
use crate::connection::Connection;
use crate::context::{EventContext, IoContext, Owner};
use crate::ids::ClientKey;
use crate::log_lines;
use crate::postgres::sqlstate;

/// Maximum number of connections accepted in one event-loop iteration, so that a burst of new
/// connections does not delay the established ones.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;

/// State of the listener after the last readiness event or call of `accept`. The listener is
/// registered edge-triggered, so of several waiting connections the event loop reports only the
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    /// No connection waits.
    Drained,
    /// Connections may wait.
    Ready,
    /// [`MAX_ACCEPTS_PER_ITERATION`] was reached; more connections may wait.
    BatchAccepted,
    /// `accept` failed with an error that is not transient. The next iteration of the event loop
    /// retries; it starts with the next event or deadline, not immediately.
    Failed,
}

impl Clients {
    /// Records that connections may wait to be accepted.
    pub fn on_accept_ready(&mut self) {
        if self.listener_state == ListenerState::Drained {
            self.listener_state = ListenerState::Ready;
        }
    }

    /// Accepts connections. At the connection limit, evicts connections without a pending request.
    pub fn accept(&mut self, context: &mut EventContext<'_>) {
        if self.listener_state == ListenerState::Drained {
            return;
        }
        self.listener_state = ListenerState::Ready;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.connections.is_full() && !self.evict_connection(context) {
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
        self.listener_state = ListenerState::BatchAccepted;
    }

    fn add(&mut self, socket: TcpStream, context: &mut IoContext) {
        let accepted_in_shutdown = self.is_shutting_down;
        let inserted = self.connections.insert(|key: ClientKey| {
            let owner = Owner::client(key);
            let connection =
                Connection::from_socket(context, socket, owner, &context.client_buffers)?;
            Ok::<_, io::Error>(ClientConnection::new(connection, accepted_in_shutdown))
        });
        match inserted {
            Some(Ok(key)) => {
                self.set_stage(key, Stage::Opening, context);
                // Most clients send the startup message right after the handshake.
                self.read_schedule.schedule(key);
            }
            Some(Err(error)) => log_lines::client_registration_failed(&context.log, &error),
            None => {}
        }
    }

    /// Closes the first connection in eviction order. Returns whether one could be closed.
    fn evict_connection(&mut self, context: &mut EventContext<'_>) -> bool {
        let Some(StageEntry {
            stage, connection, ..
        }) = self.first_to_evict(context.io)
        else {
            // No connection may be evicted yet; retry once one may have reached the minimum age.
            retry_after_min_stage_age(context.io);
            return false;
        };
        debug!(context.io.log, "client evicted");
        if stage == Stage::ReceivingMessage
            && let Some(client) = self.connections.get_mut(connection)
        {
            // Tells the client that its incomplete message was not executed.
            client.close_with_error(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
            let _ = client.connection.flush();
        }
        self.close(connection, context);
        true
    }

    fn first_to_evict(&self, context: &IoContext) -> Option<StageEntry> {
        let latest = context.now - MIN_STAGE_AGE;
        // A connection with unread bytes is kept: the bytes may be a complete request.
        let may_be_evicted = |entry: &StageEntry| {
            self.connections
                .get(entry.connection)
                .is_some_and(|client| client.is_closing() || client.connection.read_would_block())
        };
        self.stages.eviction_order(latest).find(may_be_evicted)
    }
}

/// Whether the error affects only one connection, so that the next one can be accepted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}
