//! The states of one connection to an endpoint, and the response that it receives.

use tidescale_policy::types::{AttemptOutcome, Timestamp};

use super::ProcessIdentity;
use super::exchange::{Exchange, HealthCheckQuery, Job};
use super::outcomes::{AnswerError, RequestProgress};
use crate::connection::Connection;
use crate::load_report;
use crate::postgres::framing::MESSAGE_HEAD;
use crate::postgres::{self, EndpointMessage, Frame};

/// The state of a connection to an endpoint.
pub(super) enum ConnectionState {
    /// It is being established: the endpoint has not sent ReadyForQuery yet.
    Connecting {
        /// When establishing it times out.
        deadline: Timestamp,
        /// The exchange to carry afterwards; none once the endpoint has refused the connection.
        exchange: Option<Exchange>,
    },
    /// It carries an attempt or a health check.
    Busy(Exchange),
    /// The response was received, or none is awaited any more; the endpoint has to send
    /// ReadyForQuery.
    Draining,
    /// It is kept for another exchange.
    Idle,
}

/// A connection to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) connection: Connection,
    /// The name of the endpoint.
    pub(super) endpoint: String,
    /// The process that it was opened to.
    pub(super) process: ProcessIdentity,
    pub(super) state: ConnectionState,
    /// When an exchange last started on it, or it last became idle.
    pub(super) last_used_at: Timestamp,
    /// It has completed an exchange before.
    pub(super) is_reused: bool,
}

impl EndpointConnection {
    fn connect_deadline(&self) -> Option<Timestamp> {
        match self.state {
            ConnectionState::Connecting { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    /// The earlier one of a deadline and the one for establishing the connection, while that is in
    /// progress.
    pub(super) fn limit_by_connect_deadline(&self, deadline: Timestamp) -> Timestamp {
        self.connect_deadline()
            .map_or(deadline, |at| at.min(deadline))
    }

    pub(super) fn is_connecting(&self) -> bool {
        self.connect_deadline().is_some()
    }

    /// The exchange that it carries or will carry.
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

    /// The exchange, while its outcome is unknown.
    pub(super) fn open_exchange(&mut self) -> Option<&mut Exchange> {
        self.exchange_mut()
            .filter(|exchange| exchange.outcome.is_none())
    }

    /// Assigns an exchange to carry, either now or once the connection is established.
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

    /// The connection is established: its exchange can be written.
    pub(super) fn finish_connecting(&mut self) {
        if !self.is_connecting() {
            return;
        }
        self.state = match self.take_exchange() {
            Some(exchange) => ConnectionState::Busy(exchange),
            None => ConnectionState::Draining,
        };
    }

    /// The exchange whose request can be written now.
    pub(super) fn exchange_to_write(&mut self) -> Option<&mut Exchange> {
        match &mut self.state {
            ConnectionState::Busy(exchange) => Some(exchange).filter(|exchange| {
                exchange.progress == RequestProgress::NotWritten && exchange.outcome.is_none()
            }),
            _ => None,
        }
    }

    /// Removes a message from the input and copies its body.
    pub(super) fn take_body(&mut self, frame: Frame<EndpointMessage>, body: &mut Vec<u8>) {
        let input = &mut self.connection.input;
        body.clear();
        input.copy_to(MESSAGE_HEAD..frame.length, body);
        input.skip(frame.length);
    }

    /// Moves one of the three parts of a response from the input to the exchange.
    ///
    /// # Errors
    /// No response is awaited, another part has to come first, or the part is invalid.
    pub(super) fn take_answer_part(
        &mut self,
        frame: Frame<EndpointMessage>,
        body: &mut Vec<u8>,
        health_check: HealthCheckQuery,
    ) -> Result<(), AnswerError> {
        body.clear();
        self.connection
            .input
            .copy_to(MESSAGE_HEAD..frame.length, body);
        let exchange = match &mut self.state {
            ConnectionState::Busy(exchange) if exchange.outcome.is_none() => exchange,
            _ => return Err(AnswerError::Unrequested),
        };
        if exchange.next_part != frame.kind {
            return Err(AnswerError::OutOfOrder);
        }
        match frame.kind {
            EndpointMessage::RowDescription => {
                postgres::check_row_description(body)?;
                exchange.next_part = EndpointMessage::DataRow;
            }
            EndpointMessage::DataRow => {
                let value = postgres::row(body)?;
                let is_load_report = exchange.job == Job::HealthCheck
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
        self.connection
            .input
            .move_to(frame.length, &mut exchange.answer);
        Ok(())
    }
}
