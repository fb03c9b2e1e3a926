//! The connection pool: reusing idle connections, opening new ones, and keeping or closing them
//! after an exchange.

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

/// For this long after a reused connection was lost before any response to its request, requests
/// that must not be executed twice use new connections.
const STALE_PERIOD: Duration = Duration::from_millis(10_000);
/// A connection has to be idle for this long before it is reused. An endpoint may send a response
/// twice, some milliseconds apart, and the duplicate would be taken for the response to the next
/// request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);

/// Which connection an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// An idle one if possible, otherwise a new one.
    ReuseIdle,
    /// Only a new one.
    OpenNew,
}

impl Upstream {
    /// Chooses whether an exchange may reuse an idle connection. A reused connection may have been
    /// broken already; a request written to it is lost, and counts as possibly executed.
    pub(super) fn connection_choice(
        &self,
        is_repeatable: bool,
        now: Timestamp,
    ) -> ConnectionChoice {
        let was_recently_stale = self.last_stale_at.is_some_and(|at| now < at + STALE_PERIOD);
        if was_recently_stale && !is_repeatable {
            ConnectionChoice::OpenNew
        } else {
            ConnectionChoice::ReuseIdle
        }
    }

    /// Returns a connection that can carry an exchange, now or once it is established. Returns
    /// `None` if the limit on connections is reached and none can be closed.
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
            ConnectionChoice::OpenNew => self.close_longest_idle(name, context),
        }
        if self.connections.is_full() && !self.evict_least_recently_used(context) {
            return Ok(None);
        }
        self.open(name, process, context)
    }

    /// Takes the most recently used idle connection that is still open and has no unexpected input.
    /// Closes those on the way that are not.
    fn reuse_idle(&mut self, name: &str, context: &mut IoContext) -> Option<EndpointConnectionKey> {
        let idle = &self.endpoints.get(name)?.idle;
        let idle_long_enough: Vec<EndpointConnectionKey> = idle
            .iter()
            .rev()
            .filter(|key| self.has_min_idle_time(**key, context.now))
            .copied()
            .collect();
        for key in idle_long_enough {
            // A request written to a connection that the endpoint has closed would count as
            // possibly executed.
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

    fn has_min_idle_time(&self, key: EndpointConnectionKey, now: Timestamp) -> bool {
        self.connections
            .get(key)
            .is_some_and(|connection| connection.last_used_at + MIN_IDLE_TIME <= now)
    }

    fn remove_from_idle(&mut self, name: &str, key: EndpointConnectionKey) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.idle.retain(|idle| *idle != key);
        }
    }

    /// Closes the endpoint's longest idle connection, which is going to be replaced by a new one.
    fn close_longest_idle(&mut self, name: &str, context: &mut IoContext) {
        let longest = self
            .endpoints
            .get(name)
            .and_then(|endpoint| endpoint.idle.first().copied());
        if let Some(key) = longest {
            self.close(key, context);
        }
    }

    /// Closes the least recently used of all connections without an exchange. Returns whether there
    /// was one.
    fn evict_least_recently_used(&mut self, context: &mut IoContext) -> bool {
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

    /// Keeps a connection for another exchange, or closes it if its process gets no new attempts or
    /// is no longer the listed one.
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
        // Closed well before the endpoint's own idle timeout: a request that is sent while the
        // endpoint closes the connection may have been executed.
        let close_at = context.now + self.settings.idle_timeout / 2;
        set_deadline(key, close_at, context);
    }

    /// Closes a connection in any state. The caller has to take its exchange first.
    pub(super) fn close(&mut self, key: EndpointConnectionKey, context: &mut IoContext) {
        context.deadlines.clear(Owner::endpoint(key));
        if let Some(connection) = self.connections.remove(key) {
            self.remove_from_idle(&connection.endpoint, key);
        }
    }
}
