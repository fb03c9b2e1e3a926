//! Connections to endpoints, each with at most one attempt or health check at a time.
//!
//! | module | contents |
//! | --- | --- |
//! | `exchange` | one attempt or health check |
//! | `connection` | the states of one connection |
//! | `pool` | reusing, opening, keeping and closing connections |
//! | `sending` | starting, writing and cancelling exchanges |
//! | `receiving` | handling what endpoints send |
//! | `ending` | ending exchanges and notifying clients and the policy |
//! | [`outcomes`] | how an exchange can end without a valid response |
//!
//! An attempt or health check with its response is called an exchange.
//!
//! Invariants: a connection in the `idle` list of an endpoint is in the `connections` table and
//! carries no exchange; the policy is notified exactly once of the end of each exchange.

mod connection;
mod ending;
mod exchange;
pub mod outcomes;
mod pool;
mod receiving;
mod sending;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use calloop::Readiness;
use tidescale_policy::Balancer;
use tidescale_policy::types::{AttemptId, AttemptOutcome, BuildNumber, Timestamp};
use tidescale_settings::ConnectionSettings;

use crate::clients::Clients;
use crate::context::{EventContext, IoContext, Owner};
use crate::ids::EndpointConnectionKey;
use crate::slots::Slots;

use connection::EndpointConnection;
use exchange::{EndedExchange, HealthCheckQuery};

pub use exchange::NewExchange;
pub use outcomes::{
    AttemptError, AttemptErrorCause, RequestProgress, ResponseError, outcome_of_sqlstate,
};

/// What distinguishes a process from others under the same endpoint name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The build that it runs.
    pub build: BuildNumber,
    /// When it started; `None` if it has run for longer than it takes to warm up.
    pub started_at: Option<Timestamp>,
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListing {
    /// It is no longer in the list.
    Removed,
    /// It gets no new attempts, but may get health checks.
    Draining(ProcessIdentity),
    /// It gets new attempts.
    Ready(ProcessIdentity),
}

impl EndpointListing {
    /// Returns the listed process, or `None` if the endpoint has been removed.
    fn process(self) -> Option<ProcessIdentity> {
        match self {
            EndpointListing::Removed => None,
            EndpointListing::Draining(process) | EndpointListing::Ready(process) => Some(process),
        }
    }

    fn is_ready(self) -> bool {
        matches!(self, EndpointListing::Ready(_))
    }
}

/// A listed endpoint and its idle connections.
#[derive(Default)]
struct Endpoint {
    process: Option<ProcessIdentity>,
    is_ready: bool,
    /// The most recently used connection is last and is reused first, so that surplus connections
    /// stay idle until they expire.
    idle: Vec<EndpointConnectionKey>,
}

/// Access to everything that handling a connection to an endpoint needs: I/O, the clients that wait
/// for responses, and the policy.
pub struct ExchangeContext<'a> {
    /// The shared resources for I/O.
    pub io: &'a mut IoContext,
    /// The clients, which wait for the responses.
    pub clients: &'a mut Clients,
    /// The policy, which is notified of the end of each exchange.
    pub policy: &'a mut Balancer,
}

impl ExchangeContext<'_> {
    /// Whether an attempt may still be written after waiting for its connection to be established.
    /// Checks first whether its client has disconnected: clients are handled after endpoints, so
    /// the disconnect may not have been noticed yet.
    fn may_still_write(&mut self, id: AttemptId) -> bool {
        let mut context = EventContext {
            io: self.io,
            policy: self.policy,
        };
        self.clients.close_if_disconnected(id.request, &mut context);
        self.policy.may_write_attempt(id)
    }
}

/// All endpoints and the connections to them.
pub struct Upstream {
    endpoints: BTreeMap<String, Endpoint>,
    connections: Slots<EndpointConnection, EndpointConnectionKey>,
    settings: ConnectionSettings,
    /// Exchanges that ended without an event on their connection. The policy is notified of them in
    /// the next iteration of the event loop.
    ended: Vec<EndedExchange>,
    /// Connections that the next iteration reads without a readiness event, because more input may
    /// be available than was read in this one.
    scheduled: Vec<EndpointConnectionKey>,
    /// When a reused connection was last lost after its request had been written and before any
    /// part of the response; `None` if that has not happened.
    last_stale_at: Option<Timestamp>,
}

impl Upstream {
    /// Creates an empty set of endpoints. At most `max_connections` connections to all endpoints
    /// together are open at a time.
    pub fn new(settings: ConnectionSettings, max_connections: usize) -> Upstream {
        Upstream {
            endpoints: BTreeMap::new(),
            connections: Slots::new(max_connections),
            settings,
            ended: Vec::new(),
            scheduled: Vec::new(),
            last_stale_at: None,
        }
    }

    /// Whether there is work to do without waiting for an event.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        !self.ended.is_empty()
            || !self.scheduled.is_empty() && context.endpoint_buffers.has_more_than_reserve()
    }

    /// Applies the listing of an endpoint. If its process has changed or it gets no new attempts,
    /// its idle connections are closed, and so are those that are being established. Exchanges that
    /// wait for a connection to be established end as not sent.
    pub fn update_endpoint(
        &mut self,
        name: &str,
        listing: EndpointListing,
        context: &mut IoContext,
    ) {
        let process = listing.process();
        let endpoint = self.endpoints.entry(name.into()).or_default();
        let is_changed = endpoint.process != process;
        endpoint.process = process;
        endpoint.is_ready = listing.is_ready();
        if is_changed || !endpoint.is_ready {
            for key in std::mem::take(&mut endpoint.idle) {
                self.close(key, context);
            }
            self.close_connecting(name, context);
        }
        if process.is_none() {
            self.endpoints.remove(name);
        }
    }

    fn close_connecting(&mut self, name: &str, context: &mut IoContext) {
        let connecting: Vec<EndpointConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_connecting() && connection.endpoint == name)
            .map(|(key, _)| key)
            .collect();
        for key in connecting {
            let exchange = self
                .connections
                .get_mut(key)
                .and_then(EndpointConnection::take_exchange);
            self.close(key, context);
            if let Some(exchange) = exchange {
                self.queue_ended_exchange(exchange.kind, name, AttemptOutcome::NotSent);
            }
        }
    }

    /// Returns the process listed for an endpoint, or `None` if the endpoint is not listed.
    pub fn process_of(&self, name: &str) -> Option<ProcessIdentity> {
        self.endpoints.get(name)?.process
    }

    /// Returns the names of all listed endpoints, in order.
    pub fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Records that a connection has become ready for I/O.
    pub fn on_ready(&mut self, key: EndpointConnectionKey, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.connection.on_ready(readiness);
        }
    }

    /// Takes the connections that are read in this iteration because the last one may have left
    /// input unread.
    pub fn take_scheduled(&mut self) -> Vec<EndpointConnectionKey> {
        std::mem::take(&mut self.scheduled)
    }

    /// Limits the deadlines of all exchanges in flight to `deadline`.
    pub fn begin_shutdown(&mut self, deadline: Timestamp, context: &mut IoContext) {
        let keys: Vec<EndpointConnectionKey> =
            self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            let exchange = connection
                .exchange_mut()
                .filter(|exchange| exchange.deadline > deadline);
            if let Some(exchange) = exchange {
                exchange.deadline = deadline;
                let deadline = connection.limit_by_connect_deadline(deadline);
                set_deadline(key, deadline, context);
            }
        }
    }

    fn health_check_query(&self) -> HealthCheckQuery {
        if self.settings.request_load_reports {
            HealthCheckQuery::LoadReport
        } else {
            HealthCheckQuery::Ping
        }
    }
}

fn set_deadline(key: EndpointConnectionKey, at: Timestamp, context: &mut IoContext) {
    context.deadlines.set(Owner::endpoint(key), at);
}
