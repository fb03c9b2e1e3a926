//! One connection to an endpoint: its life as a state machine, and the exchange that it carries.

use tidescale_policy::types::{AttemptOutcome, LoadReport, Timestamp};

use super::ProcessIdentity;
use super::outcomes::{AnswerError, RequestProgress};
use crate::buffers::Chain;
use crate::connection::Connection;
use crate::load_report;
use crate::postgres::framing::MESSAGE_HEAD;
use crate::postgres::{self, EndpointMessage, Frame};

/// What an exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// An attempt of a request, by its index among the request's attempts.
    Attempt { request: u64, attempt_index: usize },
    /// A health check of the endpoint.
    HealthCheck,
}

/// An attempt or a health check, from its start until the policy has been notified of its end.
pub(super) struct Exchange {
    pub(super) job: Job,
    pub(super) started_at: Timestamp,
    /// When it has timed out.
    pub(super) deadline: Timestamp,
    pub(super) progress: RequestProgress,
    pub(super) load: Option<LoadReport>,
    /// The answer as far as it has come, held back until it is whole.
    pub(super) answer: Chain,
    /// The part of the answer that has to come next.
    pub(super) next_part: EndpointMessage,
    /// How it ended, until all that came with the answer has been read: the load report may follow it.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl Exchange {
    pub(super) fn new(job: Job, deadline: Timestamp, now: Timestamp, answer: Chain) -> Exchange {
        Exchange {
            job,
            started_at: now,
            deadline,
            progress: RequestProgress::NotWritten,
            load: None,
            answer,
            next_part: EndpointMessage::RowDescription,
            outcome: None,
        }
    }

    /// Its request was written whole and no part of an answer has come.
    pub(super) fn is_unanswered(&self) -> bool {
        self.progress == RequestProgress::Written
            && self.next_part == EndpointMessage::RowDescription
    }
}

/// Where a connection to an endpoint is in its life.
pub(super) enum ConnectionState {
    /// It is being made: the endpoint has not said that it takes a query.
    Connecting {
        /// When it has to be made.
        deadline: Timestamp,
        /// What is sent over it then; none once the endpoint has refused the connection.
        exchange: Option<Exchange>,
    },
    /// It carries an attempt or a health check.
    Busy(Exchange),
    /// The answer has come, or none is awaited any more; the endpoint has still to say that it takes the next query.
    Draining,
    /// Nothing is under way; it is kept for the next attempt.
    Idle,
}

/// What is written when a connection can carry its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthCheckQuery {
    /// Asks for the load report, where that comes only to those who ask.
    LoadReport,
    /// Asks for nothing but an answer.
    Ping,
}

impl HealthCheckQuery {
    pub(super) fn text(self) -> &'static [u8] {
        match self {
            HealthCheckQuery::LoadReport => b"SHOW vitals",
            HealthCheckQuery::Ping => b"SELECT 1",
        }
    }
}

pub(super) struct EndpointConnection {
    pub(super) connection: Connection,
    /// The endpoint's name.
    pub(super) endpoint: String,
    /// The process that it was connected to.
    pub(super) process: ProcessIdentity,
    pub(super) state: ConnectionState,
    /// When an exchange last started on it, or it last became idle.
    pub(super) last_used_at: Timestamp,
    /// It has carried an exchange to its end.
    pub(super) has_served: bool,
}

impl EndpointConnection {
    /// When it has to be made; none once it is.
    pub(super) fn connect_deadline(&self) -> Option<Timestamp> {
        match self.state {
            ConnectionState::Connecting { deadline, .. } => Some(deadline),
            _ => None,
        }
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

    /// The exchange, while its outcome is not known.
    pub(super) fn open_exchange(&mut self) -> Option<&mut Exchange> {
        self.exchange_mut()
            .filter(|exchange| exchange.outcome.is_none())
    }

    /// Gives the connection an exchange to carry, at once or once it is made.
    pub(super) fn assign(&mut self, new: Exchange) {
        match &mut self.state {
            ConnectionState::Connecting { exchange, .. } => *exchange = Some(new),
            state => *state = ConnectionState::Busy(new),
        }
    }

    /// Takes the exchange off the connection.
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

    /// The connection is made: what it was made for can go over it.
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

    /// Takes one of the three parts of an answer.
    ///
    /// # Errors
    /// No answer is awaited, or another part, or the part has another form.
    pub(super) fn take_answer_part(
        &mut self,
        frame: Frame<EndpointMessage>,
        body: &mut Vec<u8>,
        health_check: HealthCheckQuery,
    ) -> Result<(), AnswerError> {
        body.clear();
        self.connection.input.copy(MESSAGE_HEAD..frame.length, body);
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
            .pass(frame.length, &mut exchange.answer);
        Ok(())
    }
}
