//! Which connection carries the next exchange: an idle one that can be trusted, or a new one.

use std::io;
use std::time::Duration;

use slog::debug;
use tidescale_policy::types::Timestamp;

use super::connection::{ConnectionState, EndpointConnection};
use super::{Endpoint, ProcessIdentity, Upstream, set_deadline};
use crate::connection::{Component, Connection, IoContext, Owner};
use crate::postgres;

/// For so long after a reused connection broke under a request, what must not be executed twice goes over new ones.
const STALE_PERIOD: Duration = Duration::from_millis(10_000);
/// An endpoint may send an answer twice, some milliseconds apart: the second would be taken for the answer to a request
/// written meanwhile. A connection therefore stands idle for so long before it is used again.
const SETTLING_TIME: Duration = Duration::from_millis(20);

/// Whether an idle connection will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// An idle one, where there is one.
    ReuseIdle,
    /// Only a new one.
    OpenNew,
}

impl Upstream {
    /// A reused connection may be dead without a sign, and what is written to it may have been executed.
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

    /// A connection that can carry an exchange, at once or once it is made; none when all descriptors are in use.
    ///
    /// # Errors
    /// The endpoint is not listed, or the connection cannot even be begun.
    pub(super) fn acquire(
        &mut self,
        name: &str,
        choice: ConnectionChoice,
        context: &mut IoContext,
    ) -> io::Result<Option<u64>> {
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

    /// The connection that was used last among those that are fit to be used again; those that are not are closed.
    fn reuse_idle(&mut self, name: &str, context: &mut IoContext) -> Option<u64> {
        let idle = &self.endpoints.get(name)?.idle;
        let settled: Vec<u64> = idle
            .iter()
            .rev()
            .filter(|key| self.is_settled(**key, context.now))
            .copied()
            .collect();
        for key in settled {
            // A close that has come in the meantime would look like a request that may have been executed.
            let is_quiet = self
                .connections
                .get(key)
                .is_some_and(|connection| connection.connection.is_quiet());
            if is_quiet {
                self.remove_from_idle(name, key);
                return Some(key);
            }
            self.remove_from_idle(name, key);
            self.close(key, context);
        }
        None
    }

    fn is_settled(&self, key: u64, now: Timestamp) -> bool {
        self.connections
            .get(key)
            .is_some_and(|connection| connection.last_used_at + SETTLING_TIME <= now)
    }

    fn remove_from_idle(&mut self, name: &str, key: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.idle.retain(|idle| *idle != key);
        }
    }

    /// A new connection takes the place of the one that has been idle longest.
    fn close_longest_idle_at(&mut self, name: &str, context: &mut IoContext) {
        let longest = self
            .endpoints
            .get(name)
            .and_then(|endpoint| endpoint.idle.first().copied());
        if let Some(key) = longest {
            self.close(key, context);
        }
    }

    /// Closes the connection without an exchange that was used longest ago. Whether there was one.
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
        debug!(context.log, "an idle connection makes room");
        self.close(key, context);
        true
    }

    fn open(
        &mut self,
        name: &str,
        process: ProcessIdentity,
        context: &IoContext,
    ) -> io::Result<Option<u64>> {
        let deadline = context.now + self.settings.connect_timeout;
        let inserted = self.connections.insert(|key| {
            let owner = Owner::new(Component::Endpoint, key);
            let mut connection = Connection::open(context, process.address, owner)?;
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
                has_served: false,
            })
        });
        inserted.transpose()
    }

    /// Keeps a connection for the next exchange there, or closes it where nothing new goes to its process.
    pub(super) fn keep_idle(&mut self, key: u64, context: &mut IoContext) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let is_usable = |endpoint: &&mut Endpoint| {
            endpoint.is_wanted && endpoint.process == Some(connection.process)
        };
        let endpoint = self.endpoints.get_mut(&connection.endpoint);
        let Some(endpoint) = endpoint.filter(is_usable) else {
            return self.close(key, context);
        };
        endpoint.idle.push(key);
        connection.state = ConnectionState::Idle;
        connection.last_used_at = context.now;
        connection.has_served = true;
        // Well before the endpoint closes it, or a request would cross the close and count as executed.
        let close_at = context.now + self.settings.idle_timeout / 2;
        set_deadline(key, close_at, context);
    }

    /// Closes a connection, whatever state it is in. An exchange that it carries has to be taken off before.
    pub(super) fn close(&mut self, key: u64, context: &mut IoContext) {
        context
            .deadlines
            .clear(Owner::new(Component::Endpoint, key));
        if let Some(connection) = self.connections.remove(key) {
            self.remove_from_idle(&connection.endpoint, key);
        }
    }
}
