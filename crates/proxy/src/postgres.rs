//! PostgreSQL's frontend/backend protocol, version 3, as far as simple queries need it. No I/O.
//!
//! | module | its job |
//! | --- | --- |
//! | [`framing`] | where a message begins and ends, and of which kind it is |
//! | [`messages`] | what the bodies of messages say |
//! | [`statement`] | the one form of statement that clients may send |
//! | [`encoding`] | messages that the proxy writes |
//! | [`sqlstate`] | error codes |
//!
//! Decoders take bytes that any peer may have sent: they never panic, and refuse a message at its head where its kind
//! or length shows that it cannot be used.

pub mod encoding;
pub mod framing;
pub mod messages;
pub mod sqlstate;
pub mod statement;

use thiserror::Error;

pub use encoding::{
    Severity, put_empty_query, put_error, put_query, put_ready, put_startup, put_statement,
    put_welcome,
};
pub use framing::{
    ClientMessage, EndpointMessage, Frame, StartupKind, frame_head, startup_frame, whole_frame,
};
pub use messages::{
    ErrorResponse, ParameterStatus, check_authentication, check_command_complete,
    check_ready_for_query, check_row_description, error, names_user, parameter, query, row,
};
pub use statement::{ClientStatement, parse_statement};

/// Why bytes are no message of the protocol.
///
/// Its text goes to the client that sent them, so that a change of it changes the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length of a startup message is out of its bounds.
    #[error("a startup message of impossible length")]
    StartupLength,
    /// A startup message asks for a version that the proxy does not speak.
    #[error("an unknown protocol version")]
    UnknownVersion,
    /// A startup message whose list of parameters does not end where the message does.
    #[error("a startup message without its end")]
    UnterminatedStartup,
    /// A startup message without a user.
    #[error("no user")]
    NoUser,
    /// A message of a type that this side of a connection does not send.
    #[error("an unknown kind of message")]
    UnknownMessage,
    /// The length of a message is out of its type's bounds.
    #[error("a message of impossible length")]
    MessageLength,
    /// A query that is not one text with its terminator.
    #[error("a query without its end")]
    UnterminatedQuery,
    /// A field of an error response without its terminator.
    #[error("a field without its end")]
    UnterminatedField,
    /// An error response without an SQLSTATE.
    #[error("an error without a code")]
    ErrorWithoutCode,
    /// A parameter status that is not two texts.
    #[error("a parameter without its end")]
    UnterminatedParameter,
    /// A data row that does not hold exactly one value.
    #[error("not a row of one column")]
    DataRow,
    /// A row description that does not hold exactly one column.
    #[error("not the description of one column")]
    RowDescription,
    /// A command completion that does not count one row.
    #[error("not the end of one row")]
    CommandComplete,
    /// The far side demands a password.
    #[error("asked for a password")]
    PasswordRequested,
    /// The far side is in a transaction.
    #[error("not ready after an answer")]
    NotReady,
}
