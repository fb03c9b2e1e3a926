//! The part of PostgreSQL's frontend/backend protocol, version 3, that simple queries need. No I/O.
//!
//! | module | job |
//! | --- | --- |
//! | [`framing`] | finding the start, the end and the kind of each message |
//! | [`messages`] | decoding the bodies of messages |
//! | [`statement`] | parsing the only form of statement that clients may send |
//! | [`encoding`] | encoding the messages that the proxy sends |
//! | [`sqlstate`] | error codes |
//!
//! Decoders accept any bytes without a panic. They refuse a message by its head if its kind or
//! length is invalid.

pub mod encoding;
pub mod framing;
pub mod messages;
pub mod sqlstate;
pub mod statement;

use thiserror::Error;

pub use encoding::{
    Severity, put_empty_query_response, put_error, put_query, put_ready_for_query, put_startup,
    put_startup_response, put_statement,
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

/// Why a message is invalid.
///
/// The text is sent to the client, so that changing it changes the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length of a startup message is out of bounds.
    #[error("a startup message of impossible length")]
    StartupLength,
    /// A startup message requests an unknown protocol version.
    #[error("an unknown protocol version")]
    UnknownVersion,
    /// The parameters of a startup message are not terminated at its end.
    #[error("a startup message without its end")]
    UnterminatedStartup,
    /// A startup message without a user.
    #[error("no user")]
    NoUser,
    /// A message of a type that this side of a connection does not send.
    #[error("an unknown kind of message")]
    UnknownMessage,
    /// The length of a message is out of the bounds of its type.
    #[error("a message of impossible length")]
    MessageLength,
    /// The body of a query is not one terminated text.
    #[error("a query without its end")]
    UnterminatedQuery,
    /// A field of an error response is not terminated.
    #[error("a field without its end")]
    UnterminatedField,
    /// An error response without an SQLSTATE.
    #[error("an error without a code")]
    ErrorWithoutCode,
    /// A parameter status is not two terminated texts.
    #[error("a parameter without its end")]
    UnterminatedParameter,
    /// A data row without exactly one value.
    #[error("not a row of one column")]
    DataRow,
    /// A row description without exactly one column.
    #[error("not the description of one column")]
    RowDescription,
    /// A command completion for another number of rows than one.
    #[error("not the end of one row")]
    CommandComplete,
    /// The peer requests a password.
    #[error("asked for a password")]
    PasswordRequested,
    /// The peer is in a transaction.
    #[error("not ready after an answer")]
    NotReady,
}
