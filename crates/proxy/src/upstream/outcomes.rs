//! How attempts and health checks end without a good answer, and what that says of the request. No I/O.

use std::fmt;
use std::io;

use thiserror::Error;
use tidescale_policy::types::AttemptOutcome;

use crate::postgres::{ProtocolError, sqlstate};

/// How far a request was written to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Not one byte.
    NotWritten,
    /// Not its last byte: the endpoint cannot have executed it.
    PartlyWritten,
    /// Its last byte too: the endpoint may have executed it.
    Written,
}

impl fmt::Display for RequestProgress {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            RequestProgress::NotWritten => "nothing written",
            RequestProgress::PartlyWritten => "part written",
            RequestProgress::Written => "all written",
        })
    }
}

/// Why what an endpoint sent cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// It is no message that an endpoint may send.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// It answers where nothing was asked, or a second time.
    #[error("an answer to nothing")]
    Unrequested,
    /// The parts of an answer come in another order than they must.
    #[error("an answer out of order")]
    OutOfOrder,
    /// The endpoint takes the next query without an answer to this one.
    #[error("no answer to a query")]
    Missing,
    /// The proxy itself panicked over it.
    #[error("panic")]
    Panicked,
}

/// Why an attempt or a health check ended without an answer.
#[derive(Debug, Error)]
pub enum AttemptErrorCause {
    /// The connection broke, or was never made.
    #[error("{0}")]
    ConnectionBroken(#[source] io::Error),
    /// The endpoint closed the connection.
    #[error("closed")]
    ConnectionClosed,
    /// What came is of no use.
    #[error("{0}")]
    Malformed(#[source] AnswerError),
    /// Its deadline, or the connection's, has passed.
    #[error("no answer in time")]
    TimedOut,
    /// The policy gave it up.
    #[error("cancelled")]
    Cancelled,
}

/// An attempt or a health check that ended without an answer.
#[derive(Debug, Error)]
#[error("{progress}: {cause}")]
pub struct AttemptError {
    /// How far the request was written.
    pub progress: RequestProgress,
    /// What ended it.
    #[source]
    pub cause: AttemptErrorCause,
}

impl AttemptError {
    /// The outcome for the policy. Only a request whose last byte was written may have been executed.
    pub fn outcome(&self) -> AttemptOutcome {
        match (self.progress, &self.cause) {
            (_, AttemptErrorCause::Cancelled) => AttemptOutcome::Cancelled,
            (RequestProgress::NotWritten | RequestProgress::PartlyWritten, _) => {
                AttemptOutcome::Refused
            }
            (RequestProgress::Written, AttemptErrorCause::TimedOut) => AttemptOutcome::TimedOut,
            // The endpoint lives and has answered, though with nothing of use.
            (RequestProgress::Written, AttemptErrorCause::Malformed(_)) => {
                AttemptOutcome::Malformed
            }
            (
                RequestProgress::Written,
                AttemptErrorCause::ConnectionBroken(_) | AttemptErrorCause::ConnectionClosed,
            ) => AttemptOutcome::ConnectionReset,
        }
    }
}

/// What an endpoint's error says of the attempt, by its SQLSTATE.
pub fn outcome_of_sqlstate(code: &str) -> AttemptOutcome {
    // No other endpoint would answer these otherwise.
    let is_invalid_request = code.starts_with(sqlstate::DATA_EXCEPTION_CLASS)
        || code.starts_with(sqlstate::SYNTAX_OR_ACCESS_CLASS);
    match code {
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => AttemptOutcome::Overloaded,
        _ if is_invalid_request => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Failed,
    }
}

/// Whether endpoints are known to answer with this SQLSTATE.
pub(super) fn is_known_sqlstate(code: &str) -> bool {
    matches!(
        code,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW | sqlstate::INTERNAL_ERROR
    )
}
