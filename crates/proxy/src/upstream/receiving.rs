//! Handling messages from endpoints: responses, errors, load reports and ReadyForQuery.

use std::io;

use slog::debug;
use tidescale_policy::types::AttemptOutcome;

use super::connection::EndpointConnection;
use super::exchange::ExchangeKind;
use super::outcomes::{AttemptErrorCause, ResponseError, is_known_sqlstate, outcome_of_sqlstate};
use super::{ExchangeContext, Upstream, set_deadline};
use crate::buffers::{BUFFER_BYTES, FillStatus, Pool};
use crate::connection::Connection;
use crate::context::IoContext;
use crate::ids::EndpointConnectionKey;
use crate::load_report;
use crate::log_lines;
use crate::postgres::framing::MAX_DATA_ROW_BODY_BYTES;
use crate::postgres::{self, EndpointMessage, Frame, complete_frame};

/// Number of buffered input bytes at which reading pauses until the complete messages among them
/// have been handled. The longest message has to fit, with its header; 4 KiB leave room for that
/// and for short messages.
const READ_AHEAD_BYTES: usize = MAX_DATA_ROW_BODY_BYTES + 4096;
/// Number of bytes after which a read looks at the free buffers again.
const READ_STEP_BYTES: usize = 4 * BUFFER_BYTES;
/// The name of the parameter in which endpoints report their load.
const LOAD_PARAMETER: &str = "vitals";

/// The readiness of an endpoint for another query on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryReadiness {
    Ready,
    NotReady,
}

impl Upstream {
    /// Writes pending output and handles what the endpoint has sent: forwards responses and
    /// notifies the policy.
    pub fn serve(&mut self, key: EndpointConnectionKey, context: &mut ExchangeContext<'_>) {
        self.write(key, context.io, context.clients);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let read = read(&mut connection.connection, &context.io.endpoint_buffers);
        if matches!(read, Ok(FillStatus::PoolExhausted)) {
            self.scheduled.push(key);
        }
        let handled = self.handle_messages(key, context);
        self.finish_completed(key, context);
        match handled {
            Err(error) => {
                return self.fail(key, AttemptErrorCause::Malformed(error), context);
            }
            Ok(QueryReadiness::Ready) => self.release(key, context.io),
            Ok(QueryReadiness::NotReady) => {}
        }
        self.continue_after_read(key, read, context);
    }

    /// Schedules another read for the next iteration if there may be more input. Closes the
    /// connection if it has ended or failed.
    fn continue_after_read(
        &mut self,
        key: EndpointConnectionKey,
        read: io::Result<FillStatus>,
        context: &mut ExchangeContext<'_>,
    ) {
        match read {
            Ok(FillStatus::Filled) => self.scheduled.push(key),
            Ok(FillStatus::EndOfStream) => {
                self.fail(key, AttemptErrorCause::ConnectionClosed, context);
            }
            Err(error) => self.fail(key, AttemptErrorCause::ConnectionBroken(error), context),
            Ok(FillStatus::WouldBlock | FillStatus::PoolExhausted) => {}
        }
    }

    /// Keeps a connection whose endpoint accepts another query, or closes it if input is left after
    /// the response.
    fn release(&mut self, key: EndpointConnectionKey, context: &mut IoContext) {
        let has_more = self
            .connections
            .get(key)
            .is_some_and(|connection| !connection.connection.input.is_empty());
        if has_more {
            // The input, such as a duplicate response, would be taken for the response to the next
            // query.
            self.close(key, context);
        } else {
            self.keep_idle(key, context);
        }
    }

    /// Handles all complete messages in the input, in order. Returns whether the endpoint accepts
    /// another query.
    fn handle_messages(
        &mut self,
        key: EndpointConnectionKey,
        context: &mut ExchangeContext<'_>,
    ) -> Result<QueryReadiness, ResponseError> {
        let mut body = Vec::new();
        let mut readiness = QueryReadiness::NotReady;
        while let Some(connection) = self.connections.get_mut(key) {
            let input = &connection.connection.input;
            let Some(frame) = complete_frame::<EndpointMessage>(input)? else {
                break;
            };
            if frame.kind != EndpointMessage::ReadyForQuery {
                self.handle_message(key, frame, &mut body, context.io)?;
                continue;
            }
            connection.take_body(frame, &mut body);
            postgres::check_ready_for_query(&body)?;
            if self.on_ready_for_query(key, context)? == QueryReadiness::Ready {
                readiness = QueryReadiness::Ready;
            }
        }
        Ok(readiness)
    }

    /// Handles a message other than ReadyForQuery.
    fn handle_message(
        &mut self,
        key: EndpointConnectionKey,
        frame: Frame<EndpointMessage>,
        body: &mut Vec<u8>,
        context: &IoContext,
    ) -> Result<(), ResponseError> {
        let health_check = self.health_check_query();
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match frame.kind {
            EndpointMessage::RowDescription
            | EndpointMessage::DataRow
            | EndpointMessage::CommandComplete => {
                connection.take_response_part(frame, body, health_check)?;
            }
            EndpointMessage::Authentication => {
                connection.take_body(frame, body);
                postgres::check_authentication(body)?;
            }
            EndpointMessage::ParameterStatus => {
                connection.take_body(frame, body);
                record_parameter(connection, body, context);
            }
            EndpointMessage::Error => {
                connection.take_body(frame, body);
                record_error(connection, body, context)?;
            }
            EndpointMessage::BackendKeyData
            | EndpointMessage::Notice
            | EndpointMessage::ReadyForQuery => connection.connection.input.skip(frame.length),
        }
        Ok(())
    }

    /// Handles ReadyForQuery. On a new connection, writes the query of the exchange for which the
    /// connection was opened. Otherwise, the endpoint accepts another query.
    fn on_ready_for_query(
        &mut self,
        key: EndpointConnectionKey,
        context: &mut ExchangeContext<'_>,
    ) -> Result<QueryReadiness, ResponseError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(QueryReadiness::NotReady);
        };
        if !connection.is_connecting() {
            return if connection.exchange_without_outcome().is_some() {
                Err(ResponseError::Missing)
            } else {
                Ok(QueryReadiness::Ready)
            };
        }
        connection.finish_connecting();
        // The policy may no longer allow the attempt that it started before the connection was
        // established.
        if let Some(exchange) = connection.exchange_without_outcome()
            && let ExchangeKind::Attempt(id) = exchange.kind
            && !context.may_still_write(id)
        {
            exchange.outcome = Some(AttemptOutcome::NotSent);
            debug!(context.io.log, "attempt no longer allowed"; "endpoint" => &connection.endpoint);
            return Ok(QueryReadiness::Ready);
        }
        let deadline = connection
            .exchange()
            .map_or(context.io.now, |exchange| exchange.deadline);
        set_deadline(key, deadline, context.io);
        self.write(key, context.io, context.clients);
        Ok(QueryReadiness::NotReady)
    }
}

/// Reads from an endpoint. Once only the reserve of the pool is free, a connection may hold a single
/// buffer, so that long responses which are received slowly do not keep short ones from being read.
fn read(connection: &mut Connection, pool: &Pool) -> io::Result<FillStatus> {
    loop {
        let may_grow = pool.has_more_than_reserve();
        let wanted_bytes = if may_grow {
            (connection.input.len() + READ_STEP_BYTES).min(READ_AHEAD_BYTES)
        } else {
            BUFFER_BYTES
        };
        let status = connection.read(wanted_bytes)?;
        let may_read_on = may_grow && wanted_bytes < READ_AHEAD_BYTES;
        if status != FillStatus::Filled || !may_read_on {
            return Ok(status);
        }
    }
}

/// Records a load report; ignores other parameters. A load report that cannot be parsed does not
/// invalidate the response.
fn record_parameter(connection: &mut EndpointConnection, body: &[u8], context: &IoContext) {
    let Ok(parameter) = postgres::decode_parameter_status(body) else {
        return;
    };
    if parameter.name != LOAD_PARAMETER {
        return;
    }
    let Some(report) = load_report::parse(parameter.value) else {
        log_lines::invalid_load_report(&context.log, &connection.endpoint);
        return;
    };
    if let Some(exchange) = connection.exchange_mut() {
        exchange.load = Some(report);
    }
}

/// Records the outcome of an error response. While connecting, an error that does not report an
/// overload means that the endpoint has refused the connection.
fn record_error(
    connection: &mut EndpointConnection,
    body: &[u8],
    context: &IoContext,
) -> Result<(), ResponseError> {
    let error = postgres::decode_error_response(body)?;
    if !is_known_sqlstate(&error.code) {
        log_lines::unknown_endpoint_error(&context.log, &connection.endpoint, &error);
    }
    let outcome = match outcome_of_sqlstate(&error.code) {
        AttemptOutcome::Overloaded => AttemptOutcome::Overloaded,
        _ if connection.is_connecting() => AttemptOutcome::Refused,
        outcome => outcome,
    };
    if let Some(exchange) = connection.exchange_without_outcome() {
        exchange.outcome = Some(outcome);
    }
    Ok(())
}
