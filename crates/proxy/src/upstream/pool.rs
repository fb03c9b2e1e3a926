//! Choosing the connection for the next exchange: a reliable idle one, or a new one.

use std::io;
use std::time::Duration;

use slog::debug;
use tidescale_policy::types::Timestamp;

use super::connection::{ConnectionState, EndpointConnection};
use super::{Endpoint, ProcessIdentity, Upstream, set_deadline};
use crate::connection::Connection;
use crate::context::{IoContext, Owner};
use crate::ids::EndpointConnectionKey;
use crate::postgres;

/// For this long after a reused connection was lost with an unanswered request, requests that must
/// not be executed twice use new connections.
const STALE_PERIOD: Duration = Duration::from_millis(10_000);
/// An endpoint may send a response twice, some milliseconds apart; the duplicate would be taken for
/// the response to the next request. A connection is therefore idle for at least this long before
/// it is reused.
const SETTLING_TIME: Duration = Duration::from_millis(20);

/// Which connection an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// An idle one, if there is one.
    ReuseIdle,
    /// Only a new one.
    OpenNew,
}

impl Upstream {
    /// A reused connection may already be dead. A request written to it is lost, and may have been
    /// executed.
    pub(super) fn connection_choice(
        &self,
        is_repeatable: bool,
        now: Timestamp,
    ) -> ConnectionChoice {
        let are_reused_breaking = self.last_stale_at.is_some_and(|at| now < at + STALE_PERIOD);
        if are_reused_breaking && !is_repeatable {
            ConnectionChoice::OpenNew
        } else {
            ConnectionChoice::ReuseIdle
        }
    }

    /// A connection that can carry an exchange, now or once it is established; `None` if all
    /// descriptors are in use.
    ///
    /// # Errors
    /// The endpoint is not listed, or connecting fails immediately.
    pub(super) fn acquire(
        &mut self,
        name: &str,
        choice: ConnectionChoice,
        context: &mut IoContext,
    ) -> io::Result<Option<EndpointConnectionKey>> {
        let process = self.process_of(name).ok_or(io::ErrorKind::NotFound)?;
        match choice {
            ConnectionChoice::ReuseIdle => {
                if let Some(key) = self.reuse_idle(name, context) {
                    return Ok(Some(key));
                }
            }
            ConnectionChoice::OpenNew => self.close_longest_idle_at(name, context),
        }
        if self.connections.is_full() && !self.make_room(context) {
            return Ok(None);
        }
        self.open(name, process, context)
    }

    /// Takes the usable idle connection that was used last; connections that are not usable are
    /// closed.
    fn reuse_idle(&mut self, name: &str, context: &mut IoContext) -> Option<EndpointConnectionKey> {
        let idle = &self.endpoints.get(name)?.idle;
        let settled: Vec<EndpointConnectionKey> = idle
            .iter()
            .rev()
            .filter(|key| self.is_settled(**key, context.now))
            .copied()
            .collect();
        for key in settled {
            // If the endpoint has closed it meanwhile, a request would look as if it might have
            // been executed.
            let has_no_pending_input = self
                .connections
                .get(key)
                .is_some_and(|connection| connection.connection.has_no_pending_input());
            if has_no_pending_input {
                self.remove_from_idle(name, key);
                return Some(key);
            }
            self.remove_from_idle(name, key);
            self.close(key, context);
        }
        None
    }

    fn is_settled(&self, key: EndpointConnectionKey, now: Timestamp) -> bool {
        self.connections
            .get(key)
            .is_some_and(|connection| connection.last_used_at + SETTLING_TIME <= now)
    }

    fn remove_from_idle(&mut self, name: &str, key: EndpointConnectionKey) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.idle.retain(|idle| *idle != key);
        }
    }

    /// Closes the connection that has been idle for longest, which a new one replaces.
    fn close_longest_idle_at(&mut self, name: &str, context: &mut IoContext) {
        let longest = self
            .endpoints
            .get(name)
            .and_then(|endpoint| endpoint.idle.first().copied());
        if let Some(key) = longest {
            self.close(key, context);
        }
    }

    /// Closes the least recently used connection without an exchange. Returns whether there was
    /// one.
    fn make_room(&mut self, context: &mut IoContext) -> bool {
        let least_recently_used = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.exchange().is_none())
            .min_by_key(|(_, connection)| connection.last_used_at)
            .map(|(key, _)| key);
        let Some(key) = least_recently_used else {
            return false;
        };
        debug!(context.log, "idle endpoint connection evicted");
        self.close(key, context);
        true
    }

    fn open(
        &mut self,
        name: &str,
        process: ProcessIdentity,
        context: &IoContext,
    ) -> io::Result<Option<EndpointConnectionKey>> {
        let deadline = context.now + self.settings.connect_timeout;
        let inserted = self.connections.insert(|key| {
            let owner = Owner::endpoint(key);
            let mut connection = Connection::connect(context, process.address, owner)?;
            postgres::put_startup(&mut connection.output);
            Ok(EndpointConnection {
                connection,
                endpoint: name.into(),
                process,
                state: ConnectionState::Connecting {
                    deadline,
                    exchange: None,
                },
                last_used_at: context.now,
                is_reused: false,
            })
        });
        inserted.transpose()
    }

    /// Keeps a connection for another exchange, or closes it if its process gets no new attempts.
    pub(super) fn keep_idle(&mut self, key: EndpointConnectionKey, context: &mut IoContext) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let is_usable = |endpoint: &&mut Endpoint| {
            endpoint.is_ready && endpoint.process == Some(connection.process)
        };
        let endpoint = self.endpoints.get_mut(&connection.endpoint);
        let Some(endpoint) = endpoint.filter(is_usable) else {
            return self.close(key, context);
        };
        endpoint.idle.push(key);
        connection.state = ConnectionState::Idle;
        connection.last_used_at = context.now;
        connection.is_reused = true;
        // Well before the endpoint closes it: a request that crosses with the close may have been
        // executed.
        let close_at = context.now + self.settings.idle_timeout / 2;
        set_deadline(key, close_at, context);
    }

    /// Closes a connection in any state. Its exchange has to be taken from it before.
    pub(super) fn close(&mut self, key: EndpointConnectionKey, context: &mut IoContext) {
        context.deadlines.clear(Owner::endpoint(key));
        if let Some(connection) = self.connections.remove(key) {
            self.remove_from_idle(&connection.endpoint, key);
        }
    }
}
