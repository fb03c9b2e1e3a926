//! Starting, writing and cancelling attempts and health checks.

use std::time::Duration;

use slog::debug;
use tidescale_policy::types::{AttemptId, AttemptOutcome};

use super::exchange::{Exchange, ExchangeKind, NewExchange};
use super::outcomes::{AttemptError, AttemptErrorCause, RequestProgress};
use super::{Upstream, set_deadline};
use crate::buffers::Chain;
use crate::clients::Clients;
use crate::context::IoContext;
use crate::ids::EndpointConnectionKey;
use crate::log_lines;
use crate::postgres;

/// The shortest time limit that a statement can carry.
const MIN_STATEMENT_TIMEOUT: Duration = Duration::from_millis(1);

impl Upstream {
    /// Starts an attempt, unless its request is no longer pending, or a health check.
    pub fn start(&mut self, new: NewExchange<'_>, context: &mut IoContext, clients: &mut Clients) {
        let ExchangeKind::Attempt(id) = new.kind else {
            self.start_exchange(new, context, clients);
            return;
        };
        if clients.request(id.request).is_none() {
            return;
        }
        let connection = self.start_exchange(new, context, clients);
        if let Some(pending) = clients.request(id.request) {
            pending.attempt_connections.push(connection);
        }
    }

    /// Starts an exchange and returns the connection that carries it.
    fn start_exchange(
        &mut self,
        new: NewExchange<'_>,
        context: &mut IoContext,
        clients: &mut Clients,
    ) -> Option<EndpointConnectionKey> {
        let key = self.acquire_for(new, context, clients)?;
        let connection = self.connections.get_mut(key)?;
        let response = Chain::new(&context.endpoint_buffers);
        connection.assign(Exchange::new(new.kind, new.deadline, context.now, response));
        connection.last_used_at = context.now;
        let deadline = connection.limit_by_connect_deadline(new.deadline);
        set_deadline(key, deadline, context);
        self.write(key, context, clients);
        Some(key)
    }

    /// Acquires a connection for an exchange. If there is none, records the end of the exchange.
    fn acquire_for(
        &mut self,
        new: NewExchange<'_>,
        context: &mut IoContext,
        clients: &mut Clients,
    ) -> Option<EndpointConnectionKey> {
        let NewExchange { kind, endpoint, .. } = new;
        let choice = self.connection_choice(is_repeatable(kind, clients), context.now);
        match self.acquire(endpoint, choice, context) {
            Ok(Some(key)) => Some(key),
            Ok(None) => {
                log_lines::endpoint_connection_limit_reached(&context.log, endpoint);
                self.queue_ended_exchange(kind, endpoint, AttemptOutcome::NotSent);
                None
            }
            Err(error) => {
                log_lines::endpoint_connection_failed(&context.log, endpoint, &error);
                self.queue_ended_exchange(kind, endpoint, AttemptOutcome::Refused);
                None
            }
        }
    }

    /// Writes the request of the connection's exchange, if the connection is ready for it, and
    /// other pending output.
    pub(super) fn write(
        &mut self,
        key: EndpointConnectionKey,
        context: &IoContext,
        clients: &mut Clients,
    ) {
        if self.put_request(key, context, clients).is_none() {
            return;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let flushed = connection.connection.flush();
        let is_written = connection.connection.output.is_empty();
        if let Some(exchange) = connection.exchange_mut() {
            // Bytes accepted by the operating system may reach the endpoint.
            if exchange.progress == RequestProgress::PartlyWritten && is_written {
                exchange.progress = RequestProgress::Written;
            }
        }
        // The failure is handled by the next read, after what the endpoint may have sent before it.
        if let Err(error) = flushed {
            debug!(context.log, "write failed";
                "endpoint" => &connection.endpoint, "error" => %error);
        }
    }

    /// Appends the request of the connection's exchange to the output, if the connection is ready
    /// for it. Returns `None` if the connection or the request no longer exists.
    fn put_request(
        &mut self,
        key: EndpointConnectionKey,
        context: &IoContext,
        clients: &mut Clients,
    ) -> Option<()> {
        let health_check = self.health_check_query();
        let connection = self.connections.get_mut(key)?;
        let Some(exchange) = connection.exchange_to_write() else {
            return Some(());
        };
        let kind = exchange.kind;
        let time_limit = (exchange.deadline - context.now).max(MIN_STATEMENT_TIMEOUT);
        let output = &mut connection.connection.output;
        match kind {
            ExchangeKind::Attempt(id) => {
                let pending = clients.request(id.request)?;
                let statement = &pending.statement;
                postgres::put_statement(output, statement, &pending.time_limit_range, time_limit);
            }
            ExchangeKind::HealthCheck => postgres::put_query(output, health_check.text()),
        }
        if let Some(exchange) = connection.exchange_mut() {
            exchange.progress = RequestProgress::PartlyWritten;
        }
        Some(())
    }

    /// Cancels an attempt and closes its connection. The policy is notified of the end of the
    /// attempt in the next iteration, as for any other attempt.
    pub fn cancel_attempt(
        &mut self,
        id: AttemptId,
        context: &mut IoContext,
        clients: &mut Clients,
    ) {
        let key = clients
            .request(id.request)
            .and_then(|pending| pending.attempt_connection(id));
        let Some(key) = key else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(exchange) = connection.take_exchange() else {
            return;
        };
        let error = AttemptError {
            progress: exchange.progress,
            cause: AttemptErrorCause::Cancelled,
        };
        let endpoint = connection.endpoint.clone();
        self.queue_ended_exchange(exchange.kind, &endpoint, error.outcome());
        self.close(key, context);
    }
}

fn is_repeatable(kind: ExchangeKind, clients: &mut Clients) -> bool {
    match kind {
        ExchangeKind::Attempt(id) => clients
            .request(id.request)
            .is_none_or(|pending| pending.is_repeatable),
        ExchangeKind::HealthCheck => true,
    }
}
