//! The part of PostgreSQL's frontend/backend protocol, version 3, that simple queries need. No I/O.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`framing`] | determining the kind and the length of each message |
//! | [`messages`] | decoding the bodies of messages |
//! | [`statement`] | parsing the only statements that clients may send |
//! | [`encoding`] | encoding the messages that the proxy sends |
//! | [`statement_writer`] | writing the statement of a client to an endpoint |
//! | [`sqlstate`] | error codes |
//!
//! Decoders accept any input without a panic. A message of an invalid kind or length is rejected as
//! soon as its header is received.

pub mod encoding;
pub mod framing;
pub mod messages;
pub mod sqlstate;
pub mod statement;
pub mod statement_writer;

use thiserror::Error;

pub use encoding::{
    ErrorFields, Severity, put_empty_query_response, put_error, put_query, put_ready_for_query,
    put_startup, put_startup_response,
};
pub use framing::{
    ClientMessage, EndpointMessage, Frame, StartupKind, complete_frame, frame_header, startup_frame,
};
pub use messages::{
    ErrorResponse, ParameterStatus, check_authentication, check_command_complete,
    check_ready_for_query, check_row_description, decode_data_row, decode_error_response,
    decode_parameter_status, decode_query, startup_has_user,
};
pub use statement::{ClientStatement, parse_statement};
pub use statement_writer::StatementWriter;

/// Why a message is invalid.
///
/// The texts are part of the wire format: they are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length of a startup message is out of bounds.
    #[error("a startup message of impossible length")]
    StartupLength,
    /// A startup message requests an unknown protocol version.
    #[error("an unknown protocol version")]
    UnknownVersion,
    /// The list of parameters in a startup message is not terminated exactly at its end.
    #[error("a startup message without its end")]
    UnterminatedStartup,
    /// A startup message does not name a user.
    #[error("no user")]
    NoUser,
    /// A message of a type that the peer may not send.
    #[error("an unknown kind of message")]
    UnknownMessage,
    /// The length of a message is out of bounds for its type.
    #[error("a message of impossible length")]
    MessageLength,
    /// The body of a query is not exactly one null-terminated string.
    #[error("a query without its end")]
    UnterminatedQuery,
    /// A field of an error response is not null-terminated.
    #[error("a field without its end")]
    UnterminatedField,
    /// An error response has no SQLSTATE.
    #[error("an error without a code")]
    ErrorWithoutCode,
    /// A ParameterStatus does not start with two null-terminated strings.
    #[error("a parameter without its end")]
    UnterminatedParameter,
    /// A DataRow does not have exactly one value.
    #[error("not a row of one column")]
    DataRow,
    /// A RowDescription does not have exactly one column.
    #[error("not the description of one column")]
    RowDescription,
    /// A CommandComplete is not for exactly one row.
    #[error("not the end of one row")]
    CommandComplete,
    /// The endpoint requests authentication.
    #[error("asked for a password")]
    PasswordRequested,
    /// The endpoint reports an open transaction.
    #[error("not ready after an answer")]
    NotReady,
}
