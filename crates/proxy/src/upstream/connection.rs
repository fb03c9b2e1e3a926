//! The states of one connection to an endpoint, and the validation of responses received on it.

use tidescale_policy::types::{AttemptOutcome, Timestamp};

use super::ProcessIdentity;
use super::exchange::{Exchange, ExchangeKind, HealthCheckQuery};
use super::outcomes::{RequestProgress, ResponseError};
use crate::connection::Connection;
use crate::load_report;
use crate::postgres::framing::MESSAGE_HEADER_BYTES;
use crate::postgres::{self, EndpointMessage, Frame};

pub(super) enum ConnectionState {
    /// It is being established: the endpoint has not sent ReadyForQuery yet.
    Connecting {
        /// The time by which the connection has to be established.
        deadline: Timestamp,
        /// The exchange to carry once the connection is established; `None` before one is assigned
        /// and after the endpoint has refused the connection.
        exchange: Option<Exchange>,
    },
    /// It carries an attempt or a health check.
    Busy(Exchange),
    /// No response is awaited any more, but the endpoint still has to send ReadyForQuery.
    Draining,
    /// It can be reused for another exchange.
    Idle,
}

pub(super) struct EndpointConnection {
    pub(super) connection: Connection,
    /// The name of the endpoint.
    pub(super) endpoint: String,
    /// The process to which it was opened.
    pub(super) process: ProcessIdentity,
    pub(super) state: ConnectionState,
    /// When an exchange last started on it or it last became idle, whichever is later.
    pub(super) last_used_at: Timestamp,
    /// Whether it has completed an exchange before.
    pub(super) is_reused: bool,
}

impl EndpointConnection {
    fn connect_deadline(&self) -> Option<Timestamp> {
        match self.state {
            ConnectionState::Connecting { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    /// Returns `deadline`, or the time by which the connection has to be established if it is still
    /// being established and that time is earlier.
    pub(super) fn limit_by_connect_deadline(&self, deadline: Timestamp) -> Timestamp {
        self.connect_deadline()
            .map_or(deadline, |at| at.min(deadline))
    }

    pub(super) fn is_connecting(&self) -> bool {
        self.connect_deadline().is_some()
    }

    /// Returns the exchange that the connection carries, or will carry once it is established.
    pub(super) fn exchange(&self) -> Option<&Exchange> {
        match &self.state {
            ConnectionState::Connecting { exchange, .. } => exchange.as_ref(),
            ConnectionState::Busy(exchange) => Some(exchange),
            ConnectionState::Draining | ConnectionState::Idle => None,
        }
    }

    pub(super) fn exchange_mut(&mut self) -> Option<&mut Exchange> {
        match &mut self.state {
            ConnectionState::Connecting { exchange, .. } => exchange.as_mut(),
            ConnectionState::Busy(exchange) => Some(exchange),
            ConnectionState::Draining | ConnectionState::Idle => None,
        }
    }

    /// Returns the exchange, unless its outcome is known already.
    pub(super) fn exchange_without_outcome(&mut self) -> Option<&mut Exchange> {
        self.exchange_mut()
            .filter(|exchange| exchange.outcome.is_none())
    }

    /// Assigns an exchange to carry now or once the connection is established.
    pub(super) fn assign(&mut self, new: Exchange) {
        match &mut self.state {
            ConnectionState::Connecting { exchange, .. } => *exchange = Some(new),
            state => *state = ConnectionState::Busy(new),
        }
    }

    /// Removes the exchange from the connection.
    pub(super) fn take_exchange(&mut self) -> Option<Exchange> {
        if let ConnectionState::Connecting { exchange, .. } = &mut self.state {
            return exchange.take();
        }
        if !matches!(self.state, ConnectionState::Busy(_)) {
            return None;
        }
        match std::mem::replace(&mut self.state, ConnectionState::Draining) {
            ConnectionState::Busy(exchange) => Some(exchange),
            _ => None,
        }
    }

    /// Records that the connection is established, so that its exchange can be written.
    pub(super) fn finish_connecting(&mut self) {
        if !self.is_connecting() {
            return;
        }
        self.state = match self.take_exchange() {
            Some(exchange) => ConnectionState::Busy(exchange),
            None => ConnectionState::Draining,
        };
    }

    /// Returns the exchange if its request can be written now.
    pub(super) fn exchange_to_write(&mut self) -> Option<&mut Exchange> {
        match &mut self.state {
            ConnectionState::Busy(exchange) => Some(exchange).filter(|exchange| {
                exchange.progress == RequestProgress::NotWritten && exchange.outcome.is_none()
            }),
            _ => None,
        }
    }

    /// Removes a message from the input and copies its body to `body`.
    pub(super) fn take_body(&mut self, frame: Frame<EndpointMessage>, body: &mut Vec<u8>) {
        let input = &mut self.connection.input;
        body.clear();
        input.copy_to(MESSAGE_HEADER_BYTES..frame.length, body);
        input.skip(frame.length);
    }

    /// Validates one of the three messages of a response and moves it from the input to the
    /// exchange.
    ///
    /// # Errors
    /// No response is awaited, another message has to come first, or the message is invalid.
    pub(super) fn take_response_part(
        &mut self,
        frame: Frame<EndpointMessage>,
        body: &mut Vec<u8>,
        health_check: HealthCheckQuery,
    ) -> Result<(), ResponseError> {
        let input = &mut self.connection.input;
        body.clear();
        input.copy_to(MESSAGE_HEADER_BYTES..frame.length, body);
        let exchange = match &mut self.state {
            ConnectionState::Busy(exchange) if exchange.outcome.is_none() => exchange,
            _ => return Err(ResponseError::Unrequested),
        };
        if exchange.next_part != frame.kind {
            return Err(ResponseError::OutOfOrder);
        }
        match frame.kind {
            EndpointMessage::RowDescription => {
                postgres::check_row_description(body)?;
                exchange.next_part = EndpointMessage::DataRow;
            }
            EndpointMessage::DataRow => {
                let value = postgres::decode_data_row(body)?;
                let is_load_report = exchange.kind == ExchangeKind::HealthCheck
                    && health_check == HealthCheckQuery::LoadReport;
                if is_load_report {
                    let text = std::str::from_utf8(value).ok();
                    exchange.load = text.and_then(load_report::parse);
                }
                exchange.next_part = EndpointMessage::CommandComplete;
            }
            _ => {
                postgres::check_command_complete(body)?;
                exchange.outcome = Some(AttemptOutcome::Succeeded);
            }
        }
        input.move_to(frame.length, &mut exchange.response);
        Ok(())
    }
}
