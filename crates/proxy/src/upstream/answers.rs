//! What endpoints send: parts of answers, errors, load reports, and that they take the next query.

use slog::{debug, info};
use tidescale_policy::Balancer;
use tidescale_policy::types::{AttemptId, AttemptOutcome};

use super::connection::{EndpointConnection, Job};
use super::outcomes::{AnswerError, AttemptErrorCause, is_known_sqlstate, outcome_of_sqlstate};
use super::{Upstream, set_deadline};
use crate::buffers::Fill;
use crate::clients::Clients;
use crate::connection::IoContext;
use crate::load_report;
use crate::postgres::framing::{MAX_DATA_ROW_BODY, MESSAGE_HEAD};
use crate::postgres::{self, EndpointMessage, Frame, whole_frame};

/// Bytes that are read before they are looked at: the longest message, and what comes around it.
const READ_AHEAD: usize = MAX_DATA_ROW_BODY + 4096;
/// Characters of an error's message that go to the log.
const LOGGED_MESSAGE_LENGTH: usize = 200;
/// The parameter under which endpoints report their load.
const LOAD_PARAMETER: &str = "vitals";

impl Upstream {
    /// Reads what an endpoint has sent, passes answers on, and notifies the policy.
    pub fn serve(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        self.write(key, context, clients);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let read = connection.connection.read(READ_AHEAD);
        if matches!(read, Ok(Fill::Starved)) {
            self.pending.push(key);
        }
        let is_ready = self.handle_messages(key, context, clients, policy);
        self.notify_answered(key, context, clients, policy);
        match is_ready {
            Err(error) => {
                let cause = AttemptErrorCause::Malformed(error);
                return self.fail(key, cause, context, clients, policy);
            }
            Ok(true) => self.release(key, context),
            Ok(false) => {}
        }
        match read {
            Ok(Fill::Enough) => self.pending.push(key),
            Ok(Fill::Ended) => {
                let cause = AttemptErrorCause::ConnectionClosed;
                self.fail(key, cause, context, clients, policy);
            }
            Err(error) => {
                let cause = AttemptErrorCause::ConnectionBroken(error);
                self.fail(key, cause, context, clients, policy);
            }
            Ok(Fill::Drained | Fill::Starved) => {}
        }
    }

    /// Keeps a connection whose endpoint takes the next query, unless more has come than belongs to the answer.
    fn release(&mut self, key: u64, context: &mut IoContext) {
        let has_more = self
            .connections
            .get(key)
            .is_some_and(|connection| !connection.connection.input.is_empty());
        if has_more {
            // A second answer, say: it would be taken for the answer to what is sent next.
            self.close(key, context);
        } else {
            self.keep_idle(key, context);
        }
    }

    /// Deals with messages in their order. Whether the endpoint takes the next query.
    fn handle_messages(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) -> Result<bool, AnswerError> {
        let health_check = self.health_check_query();
        let mut body = Vec::new();
        let mut is_ready = false;
        while let Some(connection) = self.connections.get_mut(key) {
            let input = &connection.connection.input;
            let Some(frame) = whole_frame::<EndpointMessage>(input)? else {
                break;
            };
            match frame.kind {
                EndpointMessage::RowDescription
                | EndpointMessage::DataRow
                | EndpointMessage::CommandComplete => {
                    connection.take_answer_part(frame, &mut body, health_check)?;
                }
                EndpointMessage::ReadyForQuery => {
                    take_body(connection, frame, &mut body);
                    postgres::check_ready_for_query(&body)?;
                    is_ready |= self.on_ready_for_query(key, context, clients, policy)?;
                }
                EndpointMessage::Authentication => {
                    take_body(connection, frame, &mut body);
                    postgres::check_authentication(&body)?;
                }
                EndpointMessage::ParameterStatus => {
                    take_body(connection, frame, &mut body);
                    take_parameter(connection, &body, context);
                }
                EndpointMessage::Error => {
                    take_body(connection, frame, &mut body);
                    take_error(connection, &body, context)?;
                }
                EndpointMessage::BackendKeyData | EndpointMessage::Notice => {
                    connection.connection.input.skip(frame.length);
                }
            }
        }
        Ok(is_ready)
    }

    /// The endpoint takes a query: that of the exchange for which the connection was made, or the next one, which is
    /// the result.
    fn on_ready_for_query(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) -> Result<bool, AnswerError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(false);
        };
        if !connection.is_connecting() {
            return if connection.open_exchange().is_some() {
                Err(AnswerError::Missing)
            } else {
                Ok(true)
            };
        }
        connection.finish_connecting();
        // Much may have been learned and passed since its endpoint was chosen.
        if let Some(exchange) = connection.open_exchange()
            && let Job::Attempt {
                request,
                attempt_index,
            } = exchange.job
            && !policy.may_write_attempt(AttemptId::new(request.into(), attempt_index.into()))
        {
            exchange.outcome = Some(AttemptOutcome::NotSent);
            debug!(context.log, "an attempt that may not be sent any more"; "endpoint" => &connection.endpoint);
            return Ok(true);
        }
        let deadline = connection
            .exchange()
            .map_or(context.now, |exchange| exchange.deadline);
        set_deadline(key, deadline, context);
        self.write(key, context, clients);
        Ok(false)
    }

    /// Notifies client and policy of an exchange that the endpoint has answered.
    fn notify_answered(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(outcome) = connection.exchange().and_then(|exchange| exchange.outcome) else {
            return;
        };
        let Some(exchange) = connection.take_exchange() else {
            return;
        };
        let endpoint = connection.endpoint.clone();
        // It has still to say that it takes the next query, or closes.
        let deadline = context.now + self.settings.connect_timeout;
        set_deadline(key, deadline, context);
        self.notify_ended(exchange, &endpoint, outcome, context, clients, policy);
    }

    /// Ends a connection whose handling has panicked.
    pub fn close_after_panic(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        let cause = AttemptErrorCause::Malformed(AnswerError::Panicked);
        self.fail(key, cause, context, clients, policy);
    }

    /// A time limit has passed: to connect, to answer, or to stay idle.
    pub fn on_deadline(
        &mut self,
        key: u64,
        context: &mut IoContext,
        clients: &mut Clients,
        policy: &mut Balancer,
    ) {
        self.fail(key, AttemptErrorCause::TimedOut, context, clients, policy);
    }
}

/// Takes a message out of the input.
fn take_body(
    connection: &mut EndpointConnection,
    frame: Frame<EndpointMessage>,
    body: &mut Vec<u8>,
) {
    let input = &mut connection.connection.input;
    body.clear();
    input.copy(MESSAGE_HEAD..frame.length, body);
    input.skip(frame.length);
}

/// Takes a load report, if it is one. The answer beside it is none the worse for a report that cannot be read.
fn take_parameter(connection: &mut EndpointConnection, body: &[u8], context: &IoContext) {
    let Ok(parameter) = postgres::parameter(body) else {
        return;
    };
    if parameter.name != LOAD_PARAMETER {
        return;
    }
    let Some(report) = load_report::parse(parameter.value) else {
        info!(context.log, "endpoint's load report can't be read"; "endpoint" => &connection.endpoint);
        return;
    };
    if let Some(exchange) = connection.exchange_mut() {
        exchange.load = Some(report);
    }
}

/// Takes an error in place of an answer; while connecting it is the connection that the endpoint refused.
fn take_error(
    connection: &mut EndpointConnection,
    body: &[u8],
    context: &IoContext,
) -> Result<(), AnswerError> {
    let error = postgres::error(body)?;
    if !is_known_sqlstate(&error.code) {
        let message: String = error.message.chars().take(LOGGED_MESSAGE_LENGTH).collect();
        info!(context.log, "endpoint answered with an unknown error";
            "endpoint" => &connection.endpoint, "code" => &error.code, "message" => message);
    }
    let outcome = match outcome_of_sqlstate(&error.code) {
        AttemptOutcome::Overloaded => AttemptOutcome::Overloaded,
        _ if connection.is_connecting() => AttemptOutcome::Refused,
        outcome => outcome,
    };
    if let Some(exchange) = connection.open_exchange() {
        exchange.outcome = Some(outcome);
    }
    Ok(())
}
