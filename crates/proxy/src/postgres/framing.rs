//! Finds the start, the end and the kind of each message.
//!
//! Each kind has a maximum length, so that a message that is too long is refused after its first
//! five bytes.

use super::ProtocolError;
use crate::buffers::Chain;

/// Protocol 3.0 in a startup message.
pub const PROTOCOL_VERSION: u32 = 196_608;
/// The codes in place of the version, in requests other than a startup.
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;

/// Bytes before the body of a startup message: the length and the protocol version.
pub const STARTUP_HEAD: usize = 8;
/// Bytes before the body of any other message: the type and the length.
pub const MESSAGE_HEAD: usize = 5;
/// Bytes of the length field, which the length of a message includes.
const LENGTH_FIELD: usize = 4;

/// The longest startup message, as in PostgreSQL.
const MAX_STARTUP_LENGTH: usize = 10_000;
/// The longest value that clients write, in bytes.
pub const MAX_VALUE_LENGTH: usize = 64 * 1024;
/// Bytes in a query for the statement around a value.
const STATEMENT_LENGTH: usize = 4096;
/// The longest body of a query: a value in hexadecimal, and the statement around it.
const MAX_QUERY_BODY: usize = 2 * MAX_VALUE_LENGTH + STATEMENT_LENGTH;
/// The longest body of a data row; endpoints return values of some hundred kilobytes.
pub const MAX_DATA_ROW_BODY: usize = 1024 * 1024;
/// The longest body of a message with neither a statement nor a value.
const MAX_OTHER_BODY: usize = 8 * 1024;

/// The kinds of messages that one side of a connection sends after the startup.
pub trait MessageKind: Copy {
    /// The kind with this type byte; `None` if this side sends no such message.
    fn from_type_byte(byte: u8) -> Option<Self>;
    /// The longest body, in bytes.
    fn max_body(self) -> usize;
}

/// The messages of a client after the startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A simple query.
    Query,
    /// Parse, Bind, Describe, Execute or Close: a part of an extended query.
    ExtendedQuery,
    /// The end of an extended query.
    Sync,
    /// A function call.
    FunctionCall,
    /// Requests pending responses; the proxy never holds them back.
    Flush,
    /// Part of a copy, which the proxy never starts.
    CopyData,
    /// The end of a copy.
    CopyDone,
    /// An aborted copy.
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

    fn max_body(self) -> usize {
        match self {
            ClientMessage::Query => MAX_QUERY_BODY,
            ClientMessage::ExtendedQuery
            | ClientMessage::FunctionCall
            | ClientMessage::CopyData
            | ClientMessage::CopyFail => MAX_OTHER_BODY,
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
    /// Accepts the proxy, or requests a password.
    Authentication,
    /// A setting, or a load report.
    ParameterStatus,
    /// The key for cancel requests.
    BackendKeyData,
    /// A warning.
    Notice,
    /// First part of a response.
    RowDescription,
    /// Second part of a response.
    DataRow,
    /// Last part of a response.
    CommandComplete,
    /// An error in place of a response.
    Error,
    /// The endpoint accepts the next query.
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

    fn max_body(self) -> usize {
        match self {
            EndpointMessage::DataRow => MAX_DATA_ROW_BODY,
            EndpointMessage::RowDescription
            | EndpointMessage::CommandComplete
            | EndpointMessage::ParameterStatus
            | EndpointMessage::Error
            | EndpointMessage::Notice => MAX_OTHER_BODY,
            EndpointMessage::Authentication | EndpointMessage::BackendKeyData => 8,
            EndpointMessage::ReadyForQuery => 1,
        }
    }
}

/// The first message of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// Opens the connection.
    Startup,
    /// Requests an encrypted connection.
    Encryption,
    /// Cancels a query of another connection.
    Cancel,
}

/// The kind and the length of the message at the front of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<K> {
    /// The kind.
    pub kind: K,
    /// Number of bytes, including the head.
    pub length: usize,
}

/// The first message of a connection, once it is complete.
///
/// # Errors
/// The message is not a valid first message; found by its head if possible.
pub fn startup_frame(input: &Chain) -> Result<Option<Frame<StartupKind>>, ProtocolError> {
    let Some(length) = read_u32(input, 0) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(STARTUP_HEAD..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(ProtocolError::StartupLength);
    }
    let Some(code) = read_u32(input, LENGTH_FIELD) else {
        return Ok(None);
    };
    let kind = match code {
        PROTOCOL_VERSION => StartupKind::Startup,
        SSL_REQUEST | GSS_ENCRYPTION_REQUEST if length == 8 => StartupKind::Encryption,
        CANCEL_REQUEST if length == 16 => StartupKind::Cancel,
        _ => return Err(ProtocolError::UnknownVersion),
    };
    Ok((input.len() >= length).then_some(Frame { kind, length }))
}

/// The next message as its head announces it, even if its body is incomplete.
///
/// # Errors
/// This side of a connection sends no such kind of message, or the message is too long.
pub fn frame_head<K: MessageKind>(input: &Chain) -> Result<Option<Frame<K>>, ProtocolError> {
    let Some(byte) = input.slices(0..1).flatten().next() else {
        return Ok(None);
    };
    let kind = K::from_type_byte(*byte).ok_or(ProtocolError::UnknownMessage)?;
    let Some(length) = read_u32(input, 1) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(LENGTH_FIELD..=kind.max_body() + LENGTH_FIELD).contains(&length) {
        return Err(ProtocolError::MessageLength);
    }
    Ok(Some(Frame {
        kind,
        length: length + 1,
    }))
}

/// The next message, once it is complete.
///
/// # Errors
/// As for [`frame_head`].
pub fn whole_frame<K: MessageKind>(input: &Chain) -> Result<Option<Frame<K>>, ProtocolError> {
    let head = frame_head(input)?;
    Ok(head.filter(|frame| input.len() >= frame.length))
}

fn read_u32(input: &Chain, offset: usize) -> Option<u32> {
    let mut bytes = Vec::with_capacity(4);
    input.copy_to(offset..offset + 4, &mut bytes);
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
