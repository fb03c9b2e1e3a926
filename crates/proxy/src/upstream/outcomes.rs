//! How attempts and health checks end without a valid response, and what follows for the request.
//! No I/O.

use std::fmt;
use std::io;

use thiserror::Error;
use tidescale_policy::types::AttemptOutcome;

use crate::postgres::{ProtocolError, sqlstate};

/// How much of a request was written to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Nothing.
    NotWritten,
    /// Not the last byte: the endpoint cannot have executed it.
    PartlyWritten,
    /// All of it: the endpoint may have executed it.
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

/// Why an endpoint's message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// Endpoints may not send such a message.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// A response without a query, or a second one.
    #[error("an answer to nothing")]
    Unrequested,
    /// The parts of a response are in the wrong order.
    #[error("an answer out of order")]
    OutOfOrder,
    /// The endpoint accepts another query without a response to this one.
    #[error("no answer to a query")]
    Missing,
    /// The proxy panicked while handling it.
    #[error("panic")]
    Panicked,
}

/// Why an attempt or a health check ended without a response.
#[derive(Debug, Error)]
pub enum AttemptErrorCause {
    /// The connection broke or was not established.
    #[error("{0}")]
    ConnectionBroken(#[source] io::Error),
    /// The endpoint closed the connection.
    #[error("closed")]
    ConnectionClosed,
    /// The endpoint sent an invalid message.
    #[error("{0}")]
    Malformed(#[source] ResponseError),
    /// A deadline has expired.
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
    /// What ended it.
    #[source]
    pub cause: AttemptErrorCause,
}

impl AttemptError {
    /// The outcome for the policy. Only a request that was written completely may have been
    /// executed.
    pub fn outcome(&self) -> AttemptOutcome {
        match (self.progress, &self.cause) {
            (_, AttemptErrorCause::Cancelled) => AttemptOutcome::Cancelled,
            (RequestProgress::NotWritten | RequestProgress::PartlyWritten, _) => {
                AttemptOutcome::Refused
            }
            (RequestProgress::Written, AttemptErrorCause::TimedOut) => AttemptOutcome::TimedOut,
            // The endpoint is alive and has sent something, though nothing valid.
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

/// The outcome of an attempt that an endpoint answered with an error, by its SQLSTATE.
pub fn outcome_of_sqlstate(code: &str) -> AttemptOutcome {
    // Any other endpoint would answer these requests in the same way.
    let is_invalid_request = code.starts_with(sqlstate::DATA_EXCEPTION_CLASS)
        || code.starts_with(sqlstate::SYNTAX_OR_ACCESS_CLASS);
    match code {
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => AttemptOutcome::Overloaded,
        _ if is_invalid_request => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Failed,
    }
}

/// Whether endpoints are known to use this SQLSTATE.
pub(super) fn is_known_sqlstate(code: &str) -> bool {
    matches!(
        code,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW | sqlstate::INTERNAL_ERROR
    )
}
