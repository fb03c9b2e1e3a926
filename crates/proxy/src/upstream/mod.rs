//! Connections to endpoints: attempts and health checks, one at a time on each.
//!
//! | module | its job |
//! | --- | --- |
//! | `connection` | one connection's states, and the exchange that it carries |
//! | `pool` | which connection carries the next exchange: an idle one, or a new one |
//! | `exchanges` | starting, writing and cancelling attempts and health checks, and notifying the policy |
//! | `answers` | what endpoints send |
//! | [`outcomes`] | how an exchange can end without a good answer |
//!
//! Invariants: a connection that stands in an endpoint's `idle` list is in the table and carries no exchange; every
//! exchange that is started ends in exactly one notification of the policy.

mod answers;
mod connection;
mod exchanges;
pub mod outcomes;
mod pool;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tidescale_policy::types::{AttemptOutcome, BuildNumber, Timestamp};
use tidescale_settings::ConnectionSettings;

use crate::connection::{Component, IoContext, Owner};
use crate::slots::Slots;

use connection::{EndpointConnection, HealthCheckQuery, Job};

pub use outcomes::{
    AnswerError, AttemptError, AttemptErrorCause, RequestProgress, outcome_of_sqlstate,
};

/// What distinguishes a process from another one under the same endpoint name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Where it listens.
    pub address: SocketAddr,
    /// The build that it runs.
    pub build: BuildNumber,
    /// When it started; none where it has run for long.
    pub started_at: Option<Timestamp>,
}

/// What is known of an endpoint.
#[derive(Default)]
struct Endpoint {
    process: Option<ProcessIdentity>,
    /// New exchanges may go there.
    is_wanted: bool,
    /// Its idle connections. The one used last is used first, so that what is not needed stays idle until it is closed.
    idle: Vec<u64>,
}

/// An exchange that ended outside the handling of events; the policy is notified in the next event-loop iteration.
struct EndedExchange {
    job: Job,
    endpoint: String,
    outcome: AttemptOutcome,
}

/// All endpoints and the connections to them.
pub struct Upstream {
    endpoints: BTreeMap<String, Endpoint>,
    connections: Slots<EndpointConnection>,
    settings: ConnectionSettings,
    ended: Vec<EndedExchange>,
    /// Connections with more to read than was read in this iteration.
    pending: Vec<u64>,
    /// When a reused connection last broke under a request with nothing answered.
    last_stale_at: Option<Timestamp>,
}

impl Upstream {
    /// No endpoints yet; at most so many connections at one time.
    pub fn new(settings: ConnectionSettings, max_connections: usize) -> Upstream {
        Upstream {
            endpoints: BTreeMap::new(),
            connections: Slots::new(max_connections),
            settings,
            ended: Vec::new(),
            pending: Vec::new(),
            last_stale_at: None,
        }
    }

    /// There is something to do before the event loop reports anything.
    pub fn has_pending_work(&self, context: &IoContext) -> bool {
        !self.ended.is_empty() || !self.pending.is_empty() && !context.pool.is_empty()
    }

    /// Takes over what the endpoint list says of an endpoint: its process, none once it is removed, and whether
    /// anything new goes there. Where the process changes or nothing new goes there, idle connections are closed, and
    /// so are those that are being made: their attempts end as never sent.
    pub fn update_endpoint(
        &mut self,
        name: &str,
        process: Option<ProcessIdentity>,
        is_wanted: bool,
        context: &mut IoContext,
    ) {
        let endpoint = self.endpoints.entry(name.into()).or_default();
        let is_changed = endpoint.process != process;
        endpoint.process = process;
        endpoint.is_wanted = is_wanted;
        if is_changed || !is_wanted {
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
        let connecting: Vec<u64> = self
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
                self.ended.push(EndedExchange {
                    job: exchange.job,
                    endpoint: name.to_string(),
                    outcome: AttemptOutcome::NotSent,
                });
            }
        }
    }

    /// The process that runs under an endpoint's name.
    pub fn process_of(&self, name: &str) -> Option<ProcessIdentity> {
        self.endpoints.get(name)?.process
    }

    /// The names of all listed endpoints, in order.
    pub fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Takes a report of the event loop on a connection.
    pub fn on_ready(&mut self, key: u64, readiness: calloop::Readiness) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.connection.on_ready(readiness);
        }
    }

    /// Takes out the connections that have more to read than was read in the last iteration.
    pub fn take_pending(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.pending)
    }

    /// Whatever is in flight ends by then.
    pub fn begin_shutdown(&mut self, deadline: Timestamp, context: &mut IoContext) {
        let keys: Vec<u64> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            let connect_deadline = connection.connect_deadline();
            let exchange = connection
                .exchange_mut()
                .filter(|exchange| exchange.deadline > deadline);
            if let Some(exchange) = exchange {
                exchange.deadline = deadline;
                set_deadline(
                    key,
                    connect_deadline.map_or(deadline, |at| at.min(deadline)),
                    context,
                );
            }
        }
    }

    fn health_check_query(&self) -> HealthCheckQuery {
        if self.settings.load_on_demand {
            HealthCheckQuery::LoadReport
        } else {
            HealthCheckQuery::Ping
        }
    }
}

fn set_deadline(key: u64, at: Timestamp, context: &mut IoContext) {
    context
        .deadlines
        .set(Owner::new(Component::Endpoint, key), at);
}
