//! Starting, writing and cancelling attempts and health checks.

use std::io;
use std::time::Duration;

use slog::debug;
use tidescale_policy::types::{AttemptId, AttemptOutcome};

use super::connection::EndpointConnection;
use super::exchange::{Exchange, ExchangeKind, NewExchange};
use super::outcomes::{AttemptError, AttemptErrorCause, RequestProgress};
use super::{Upstream, set_deadline};
use crate::buffers::Chain;
use crate::clients::Clients;
use crate::context::IoContext;
use crate::ids::EndpointConnectionKey;
use crate::log_lines;
use crate::postgres::{self, StatementWriter};

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
        if self.begin_request(key, context, clients).is_none() {
            return;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let flushed = connection.connection.flush();
        let flushed = flushed.and_then(|()| write_statement(connection, clients));
        let is_output_written = connection.connection.output.is_empty();
        if let Some(exchange) = connection.exchange_mut() {
            let is_written = is_output_written && exchange.statement_writer.is_none();
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

    /// Starts to write the request of the connection's exchange, if the connection is ready for it.
    /// Returns `None` if the connection or the request no longer exists.
    fn begin_request(
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
        match exchange.kind {
            ExchangeKind::Attempt(id) => {
                let pending = clients.request(id.request)?;
                let time_limit = (exchange.deadline - context.now).max(MIN_STATEMENT_TIMEOUT);
                exchange.statement_writer = Some(StatementWriter::new(
                    &pending.statement,
                    pending.time_limit_range.clone(),
                    time_limit,
                ));
                exchange.progress = RequestProgress::PartlyWritten;
            }
            ExchangeKind::HealthCheck => {
                exchange.progress = RequestProgress::PartlyWritten;
                let output = &mut connection.connection.output;
                postgres::put_query(output, health_check.text());
            }
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

/// Writes as much of a statement as the endpoint accepts, if one is partly written and all earlier
/// output is written.
fn write_statement(connection: &mut EndpointConnection, clients: &mut Clients) -> io::Result<()> {
    if !connection.connection.output.is_empty() {
        return Ok(());
    }
    let Some(exchange) = connection.exchange_mut() else {
        return Ok(());
    };
    let ExchangeKind::Attempt(id) = exchange.kind else {
        return Ok(());
    };
    let Some(pending) = clients.request(id.request) else {
        return Ok(());
    };
    let Some(mut writer) = exchange.statement_writer.take() else {
        return Ok(());
    };
    let statement = &pending.statement;
    let written = connection
        .connection
        .write_directly(|socket| writer.write_to(statement, socket));
    if !writer.is_finished()
        && let Some(exchange) = connection.exchange_mut()
    {
        exchange.statement_writer = Some(writer);
    }
    written
}

fn is_repeatable(kind: ExchangeKind, clients: &mut Clients) -> bool {
    match kind {
        ExchangeKind::Attempt(id) => clients
            .request(id.request)
            .is_none_or(|pending| pending.is_repeatable),
        ExchangeKind::HealthCheck => true,
    }
}
