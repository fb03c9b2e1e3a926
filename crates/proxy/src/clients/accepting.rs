//! New connections, and the room that others make for them.

use std::io;
use std::net::TcpStream;

use slog::{debug, warn};
use tidescale_policy::Balancer;

use super::connection::ClientConnection;
use super::stages::{Placement, Stage};
use super::{Clients, RECENT};
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::postgres::sqlstate;

/// Connections accepted in one event-loop iteration, so that others are served too.
const ACCEPTED_AT_ONCE: usize = 16;

/// What is known of connections that have not been accepted. The event loop reports them once, when the first comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    /// There are none.
    Drained,
    /// There may be some.
    Ready,
    /// There may be more than were accepted in this iteration.
    BatchTaken,
    /// The system would not accept one; that is tried again in the next iteration, whenever it comes.
    Failed,
}

impl Clients {
    /// The event loop reports that clients connect.
    pub fn on_accept_ready(&mut self) {
        if self.listener_state == ListenerState::Drained {
            self.listener_state = ListenerState::Ready;
        }
    }

    /// Accepts connections while there are descriptors; over that, idle ones make room, never those in use.
    pub fn accept(&mut self, context: &mut IoContext, policy: &mut Balancer) {
        if self.listener_state == ListenerState::Drained {
            return;
        }
        self.listener_state = ListenerState::Ready;
        for _ in 0..ACCEPTED_AT_ONCE {
            if self.connections.is_full() && !self.make_room(context, policy) {
                return;
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.add(socket, context),
                Err(error) if is_transient(&error) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.listener_state = ListenerState::Drained;
                    return;
                }
                Err(error) => {
                    self.listener_state = ListenerState::Failed;
                    warn!(context.log, "cannot accept"; "error" => %error);
                    return;
                }
            }
        }
        self.listener_state = ListenerState::BatchTaken;
    }

    fn add(&mut self, socket: TcpStream, context: &mut IoContext) {
        let accepted_in_shutdown = self.is_shutting_down;
        let inserted = self.connections.insert(|key| {
            let owner = Owner::new(Component::Client, key);
            let connection = Connection::over(context, socket, owner, &context.clients_pool)?;
            Ok::<_, io::Error>(ClientConnection::new(connection, accepted_in_shutdown))
        });
        match inserted {
            Some(Ok(key)) => {
                self.place(key, Stage::Opening, context);
                // Its first request has mostly come with it.
                self.pending.push(key);
            }
            Some(Err(error)) => {
                warn!(context.log, "cannot keep a client"; "error" => %error);
            }
            None => {}
        }
    }

    /// Closes the connection that is missed least, if any may be closed. Whether one was.
    fn make_room(&mut self, context: &mut IoContext, policy: &mut Balancer) -> bool {
        let Some(Placement {
            stage, connection, ..
        }) = self.least_missed(context)
        else {
            // One that has just come has a request on its way; soon it will be old enough to close.
            context
                .deadlines
                .set(Owner::new(Component::Listener, 0), context.now + RECENT);
            return false;
        };
        debug!(context.log, "an idle client makes room");
        if stage == Stage::ReceivingMessage
            && let Some(client) = self.connections.get_mut(connection)
        {
            // Of what it sends nothing has been executed.
            client.refuse(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
            let _ = client.connection.flush();
        }
        self.close(connection, context, policy);
        true
    }

    fn least_missed(&self, context: &IoContext) -> Option<Placement> {
        let latest = context.now - RECENT;
        // What has come since a connection was served last is looked at first.
        let has_sent_nothing = |placement: &Placement| {
            self.connections
                .get(placement.connection)
                .is_some_and(|client| client.is_closing() || client.connection.is_silent())
        };
        self.stages.least_missed(latest).find(has_sent_nothing)
    }
}

/// The next connection may be accepted all the same.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}
