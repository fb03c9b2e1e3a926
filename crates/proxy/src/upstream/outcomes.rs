//! How attempts and health checks can end without a valid response, and the outcome that the policy
//! is notified of. No I/O.

use std::fmt;
use std::io;

use thiserror::Error;
use tidescale_policy::types::AttemptOutcome;

use crate::postgres::{ProtocolError, sqlstate};

/// How much of a request has been written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Nothing has been written.
    NotWritten,
    /// At least the last byte has not been written: the endpoint cannot have executed the request.
    PartlyWritten,
    /// All of it has been written: the endpoint may have executed the request.
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

/// Why the messages from an endpoint are not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A message violates the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// A response was received without a query, or a second one to the same query.
    #[error("response without a query")]
    Unrequested,
    /// The messages of a response are in the wrong order.
    #[error("response messages out of order")]
    OutOfOrder,
    /// The endpoint sent ReadyForQuery without a response to the query.
    #[error("query without a response")]
    Missing,
    /// The proxy panicked while handling the connection.
    #[error("panic in the connection handler")]
    Panicked,
}

/// Why an attempt or a health check ended without a response.
#[derive(Debug, Error)]
pub enum AttemptErrorCause {
    /// The connection was lost or could not be established.
    #[error("{0}")]
    ConnectionBroken(#[source] io::Error),
    /// The endpoint closed the connection.
    #[error("closed")]
    ConnectionClosed,
    /// The endpoint sent an invalid message.
    #[error("{0}")]
    Malformed(#[source] ResponseError),
    /// The deadline expired.
    #[error("no answer in time")]
    TimedOut,
    /// The policy cancelled it.
    #[error("cancelled")]
    Cancelled,
}

/// An attempt or a health check that ended without a response.
#[derive(Debug, Error)]
#[error("{progress}: {cause}")]
pub struct AttemptError {
    /// How much of the request was written.
    pub progress: RequestProgress,
    /// Why it ended.
    #[source]
    pub cause: AttemptErrorCause,
}

impl AttemptError {
    /// Returns the outcome that the policy is notified of. Only a request that was written
    /// completely may have been executed.
    pub fn outcome(&self) -> AttemptOutcome {
        match (self.progress, &self.cause) {
            (_, AttemptErrorCause::Cancelled) => AttemptOutcome::Cancelled,
            (RequestProgress::NotWritten | RequestProgress::PartlyWritten, _) => {
                AttemptOutcome::Refused
            }
            (RequestProgress::Written, AttemptErrorCause::TimedOut) => AttemptOutcome::TimedOut,
            // The endpoint has responded, but not with a valid response.
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

/// Returns the outcome of an attempt whose response is an error with this SQLSTATE.
pub fn outcome_of_sqlstate(code: &str) -> AttemptOutcome {
    // These errors are caused by the request: any other endpoint would return them as well.
    let is_invalid_request = code.starts_with(sqlstate::DATA_EXCEPTION_CLASS)
        || code.starts_with(sqlstate::SYNTAX_OR_ACCESS_CLASS);
    match code {
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => AttemptOutcome::Overloaded,
        _ if is_invalid_request => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Failed,
    }
}

/// Whether this SQLSTATE is one of those that endpoints are expected to send.
pub(super) fn is_known_sqlstate(code: &str) -> bool {
    matches!(
        code,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW | sqlstate::INTERNAL_ERROR
    )
}
