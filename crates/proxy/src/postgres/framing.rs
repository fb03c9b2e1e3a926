//! Determining the kind and the length of each message.
//!
//! Each kind has a maximum length, so that a message that is too long is rejected as soon as its
//! header is received.

use super::ProtocolError;
use crate::buffers::Chain;

/// Protocol version 3.0 as encoded in a startup message: the major version in the upper 16 bits.
pub const PROTOCOL_VERSION: u32 = 196_608;
/// The codes that replace the protocol version in other requests at the start of a connection.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;

/// Size of the header of a startup message in bytes: the length and the protocol version.
pub const STARTUP_HEADER_BYTES: usize = 8;
/// Size of the header of any other message in bytes: the type and the length.
pub const MESSAGE_HEADER_BYTES: usize = 5;
/// Size of the length field in bytes, which is included in the length of a message.
pub(super) const LENGTH_FIELD_BYTES: usize = 4;

/// Maximum length of a startup message, including its header; the same as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Maximum length of a value that clients write, in bytes before hexadecimal encoding.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of the part of a statement that is not the value.
const MAX_STATEMENT_OVERHEAD_BYTES: usize = 4096;
/// Maximum length of the body of a query: a value in hexadecimal, and the rest of the statement.
const MAX_QUERY_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES + MAX_STATEMENT_OVERHEAD_BYTES;
/// Maximum length of the body of a data row; endpoints return values of some hundred kilobytes.
pub const MAX_DATA_ROW_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of the body of a message with neither a statement nor a value.
const MAX_OTHER_BODY_BYTES: usize = 8 * 1024;

/// The kinds of messages that one side of a connection sends after the startup message.
pub trait MessageKind: Copy {
    /// Returns the kind of message with this type byte; `None` if this side may not send such a
    /// message.
    fn from_type_byte(byte: u8) -> Option<Self>;
    /// Returns the maximum length of the body in bytes, without the type byte and the length field.
    fn max_body_bytes(self) -> usize;
}

/// The messages of a client after the startup message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A simple query.
    Query,
    /// Parse, Bind, Describe, Execute or Close: a part of an extended query.
    ExtendedQuery,
    /// Ends an extended query.
    Sync,
    /// A function call, which the proxy rejects.
    FunctionCall,
    /// Requests that buffered responses are sent; the proxy never delays responses.
    Flush,
    /// A part of the data of a COPY operation, which the proxy never starts.
    CopyData,
    /// The end of a COPY operation.
    CopyDone,
    /// The failure of a COPY operation.
    CopyFail,
    /// The client closes the connection.
    Terminate,
}

impl MessageKind for ClientMessage {
    fn from_type_byte(byte: u8) -> Option<ClientMessage> {
        match byte {
            b'Q' => Some(ClientMessage::Query),
            b'P' | b'B' | b'D' | b'E' | b'C' => Some(ClientMessage::ExtendedQuery),
            b'S' => Some(ClientMessage::Sync),
            b'F' => Some(ClientMessage::FunctionCall),
            b'H' => Some(ClientMessage::Flush),
            b'd' => Some(ClientMessage::CopyData),
            b'c' => Some(ClientMessage::CopyDone),
            b'f' => Some(ClientMessage::CopyFail),
            b'X' => Some(ClientMessage::Terminate),
            _ => None,
        }
    }

    fn max_body_bytes(self) -> usize {
        match self {
            ClientMessage::Query => MAX_QUERY_BODY_BYTES,
            ClientMessage::ExtendedQuery
            | ClientMessage::FunctionCall
            | ClientMessage::CopyData
            | ClientMessage::CopyFail => MAX_OTHER_BODY_BYTES,
            ClientMessage::Sync
            | ClientMessage::Flush
            | ClientMessage::CopyDone
            | ClientMessage::Terminate => 0,
        }
    }
}

/// The messages of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// The result of authentication, or a request for it.
    Authentication,
    /// A server parameter, or a load report.
    ParameterStatus,
    /// The key for requests to cancel a query.
    BackendKeyData,
    /// A notice or warning.
    Notice,
    /// The first part of a response.
    RowDescription,
    /// The second part of a response.
    DataRow,
    /// The last part of a response.
    CommandComplete,
    /// An error instead of a result.
    Error,
    /// The endpoint is ready for the next query.
    ReadyForQuery,
}

impl MessageKind for EndpointMessage {
    fn from_type_byte(byte: u8) -> Option<EndpointMessage> {
        match byte {
            b'R' => Some(EndpointMessage::Authentication),
            b'S' => Some(EndpointMessage::ParameterStatus),
            b'K' => Some(EndpointMessage::BackendKeyData),
            b'N' => Some(EndpointMessage::Notice),
            b'T' => Some(EndpointMessage::RowDescription),
            b'D' => Some(EndpointMessage::DataRow),
            b'C' => Some(EndpointMessage::CommandComplete),
            b'E' => Some(EndpointMessage::Error),
            b'Z' => Some(EndpointMessage::ReadyForQuery),
            _ => None,
        }
    }

    fn max_body_bytes(self) -> usize {
        match self {
            EndpointMessage::DataRow => MAX_DATA_ROW_BODY_BYTES,
            EndpointMessage::RowDescription
            | EndpointMessage::CommandComplete
            | EndpointMessage::ParameterStatus
            | EndpointMessage::Error
            | EndpointMessage::Notice => MAX_OTHER_BODY_BYTES,
            EndpointMessage::Authentication | EndpointMessage::BackendKeyData => 8,
            EndpointMessage::ReadyForQuery => 1,
        }
    }
}

/// The first message of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// Starts a session.
    Startup,
    /// Requests an encrypted connection.
    Encryption,
    /// Requests that a query on another connection is cancelled.
    Cancel,
}

/// The kind and the length of the message at the front of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<K> {
    /// The kind of message: its type byte or, at the start of a connection, its code.
    pub kind: K,
    /// Length in bytes, including the header.
    pub length: usize,
}

/// Returns the frame of the first message of a connection, or `None` while it is incomplete.
///
/// # Errors
/// The length or the code of the message is invalid, even if the message is incomplete.
pub fn startup_frame(input: &Chain) -> Result<Option<Frame<StartupKind>>, ProtocolError> {
    let Some(length) = read_u32(input, 0) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(STARTUP_HEADER_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(ProtocolError::StartupLength);
    }
    let Some(code) = read_u32(input, LENGTH_FIELD_BYTES) else {
        return Ok(None);
    };
    // The requests other than the startup message have a fixed length.
    let kind = match code {
        PROTOCOL_VERSION => StartupKind::Startup,
        SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE if length == 8 => StartupKind::Encryption,
        CANCEL_REQUEST_CODE if length == 16 => StartupKind::Cancel,
        _ => return Err(ProtocolError::UnknownVersion),
    };
    Ok((input.len() >= length).then_some(Frame { kind, length }))
}

/// Returns the frame of the next message, or `None` while its header is incomplete. The body may be
/// incomplete.
///
/// # Errors
/// The peer may not send messages of this type, or the length is invalid.
pub fn frame_header<K: MessageKind>(input: &Chain) -> Result<Option<Frame<K>>, ProtocolError> {
    let Some(byte) = input.slices(0..1).flatten().next() else {
        return Ok(None);
    };
    let kind = K::from_type_byte(*byte).ok_or(ProtocolError::UnknownMessage)?;
    let Some(length) = read_u32(input, 1) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(LENGTH_FIELD_BYTES..=kind.max_body_bytes() + LENGTH_FIELD_BYTES).contains(&length) {
        return Err(ProtocolError::MessageLength);
    }
    Ok(Some(Frame {
        kind,
        length: length + 1,
    }))
}

/// Returns the frame of the next message, or `None` while it is incomplete.
///
/// # Errors
/// See [`frame_header`].
pub fn complete_frame<K: MessageKind>(input: &Chain) -> Result<Option<Frame<K>>, ProtocolError> {
    let head = frame_header(input)?;
    Ok(head.filter(|frame| input.len() >= frame.length))
}

fn read_u32(input: &Chain, offset: usize) -> Option<u32> {
    let mut bytes = Vec::with_capacity(4);
    input.copy_to(offset..offset + 4, &mut bytes);
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
