//! One attempt or health check, from its start until the policy has been notified of its end.

use std::time::Duration;

use tidescale_policy::types::{AttemptId, AttemptOutcome, LoadReport, Timestamp};

use super::outcomes::RequestProgress;
use crate::buffers::Chain;
use crate::postgres::{EndpointMessage, StatementWriter};

/// What an exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeKind {
    Attempt(AttemptId),
    HealthCheck,
}

/// An exchange that the policy has decided to start.
#[derive(Clone, Copy, Debug)]
pub struct NewExchange<'a> {
    pub(super) kind: ExchangeKind,
    pub(super) endpoint: &'a str,
    pub(super) deadline: Timestamp,
}

impl<'a> NewExchange<'a> {
    /// Creates an exchange for an attempt of a request at an endpoint.
    pub fn attempt(id: AttemptId, endpoint: &'a str, deadline: Timestamp) -> NewExchange<'a> {
        NewExchange {
            kind: ExchangeKind::Attempt(id),
            endpoint,
            deadline,
        }
    }

    /// Creates an exchange for a health check of an endpoint.
    pub fn health_check(endpoint: &'a str, deadline: Timestamp) -> NewExchange<'a> {
        NewExchange {
            kind: ExchangeKind::HealthCheck,
            endpoint,
            deadline,
        }
    }
}

/// An exchange in flight.
pub(super) struct Exchange {
    pub(super) kind: ExchangeKind,
    pub(super) started_at: Timestamp,
    /// When the exchange times out.
    pub(super) deadline: Timestamp,
    pub(super) progress: RequestProgress,
    /// The rest of the request, if it is an attempt that is partly written.
    pub(super) statement_writer: Option<StatementWriter>,
    pub(super) load: Option<LoadReport>,
    /// The messages of the response received so far. The response is forwarded only when complete.
    pub(super) response: Chain,
    /// The message of the response that has to come next.
    pub(super) next_part: EndpointMessage,
    /// How the exchange ended. It is kept here until all available input has been handled, because
    /// the load report may follow the response.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl Exchange {
    pub(super) fn new(
        kind: ExchangeKind,
        deadline: Timestamp,
        now: Timestamp,
        response: Chain,
    ) -> Exchange {
        Exchange {
            kind,
            started_at: now,
            deadline,
            progress: RequestProgress::NotWritten,
            statement_writer: None,
            load: None,
            response,
            next_part: EndpointMessage::RowDescription,
            outcome: None,
        }
    }

    /// Whether the request has been written completely and no part of the response was received.
    pub(super) fn awaits_response(&self) -> bool {
        self.progress == RequestProgress::Written
            && self.next_part == EndpointMessage::RowDescription
    }
}

/// An exchange that has ended, as the policy is notified of it.
pub(super) struct EndedExchange {
    pub(super) kind: ExchangeKind,
    pub(super) endpoint: String,
    pub(super) outcome: AttemptOutcome,
    pub(super) duration: Duration,
    pub(super) load: Option<LoadReport>,
}

/// The query that a health check sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthCheckQuery {
    /// Requests the load report, from endpoints that send it only on demand.
    LoadReport,
    /// Requests a response of any content, which shows that the endpoint responds.
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
