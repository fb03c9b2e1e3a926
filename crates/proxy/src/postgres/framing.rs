//! Where a message begins and ends, and of which kind it is.
//!
//! A kind bounds the length of its messages, so that nothing is waited for that could not be used: a message that is
//! too long is refused as soon as its first five bytes have come.

use super::ProtocolError;
use crate::buffers::Chain;

/// Protocol 3.0 in a startup message.
pub const PROTOCOL_VERSION: u32 = 196_608;
/// The codes that stand in place of the version in requests other than a startup.
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;

/// Bytes before the body of a startup message: its length and the protocol version.
pub const STARTUP_HEAD: usize = 8;
/// Bytes before the body of any other message: its type and its length.
pub const MESSAGE_HEAD: usize = 5;
/// What a message's own length counts beside its body: the length field.
const LENGTH_FIELD: usize = 4;

/// The longest startup message, as in PostgreSQL itself.
const MAX_STARTUP_LENGTH: usize = 10_000;
/// The longest value that clients write, in bytes.
pub const MAX_VALUE_LENGTH: usize = 64 * 1024;
/// Room in a query for the statement around a value.
const STATEMENT_ROOM: usize = 4096;
/// The longest body of a query: a value in hexadecimal, and the statement around it.
const MAX_QUERY_BODY: usize = 2 * MAX_VALUE_LENGTH + STATEMENT_ROOM;
/// The longest body of a data row; endpoints have been seen to return values of some hundred KB.
pub const MAX_DATA_ROW_BODY: usize = 1024 * 1024;
/// The longest body of a message that holds neither a statement nor a value.
const MAX_OTHER_BODY: usize = 8 * 1024;

/// The kinds of messages that one side of a connection sends after its startup.
pub trait MessageKind: Copy {
    /// The kind with this type byte; none where this side sends no such message.
    fn from_type_byte(byte: u8) -> Option<Self>;
    /// Its longest body, in bytes.
    fn max_body(self) -> usize;
}

/// What a client sends once its connection is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A simple query.
    Query,
    /// Parse, Bind, Describe, Execute or Close: a part of an extended query.
    ExtendedQuery,
    /// The end of an extended query.
    Sync,
    /// A call of a function by its number.
    FunctionCall,
    /// Asks for what has been answered so far; the proxy holds nothing back.
    Flush,
    /// A part of a copy, which the proxy never starts.
    CopyData,
    /// The end of a copy.
    CopyDone,
    /// A copy given up.
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

/// What an endpoint sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// Lets the proxy in, or demands a password.
    Authentication,
    /// A setting, or a load report.
    ParameterStatus,
    /// What a cancellation would have to name.
    BackendKeyData,
    /// A warning beside the answer.
    Notice,
    /// First part of an answer.
    RowDescription,
    /// Second part of an answer.
    DataRow,
    /// Last part of an answer.
    CommandComplete,
    /// An error in place of an answer.
    Error,
    /// The endpoint takes the next query.
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

/// How a connection can begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// Opens it.
    Startup,
    /// Asks for an encrypted connection first.
    Encryption,
    /// Asks to cancel a query of another connection.
    Cancel,
}

/// A message's kind and its place at the front of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<K> {
    /// Of which kind it is.
    pub kind: K,
    /// Bytes from its first to its last, the head included.
    pub length: usize,
}

/// The first message of a connection, once all of it is there.
///
/// # Errors
/// The message cannot be one that opens a connection; found at its head where that is possible.
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

/// The next message as its head announces it, also when its body has not come yet.
///
/// # Errors
/// This side of a connection sends no such kind of message, or none so long.
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

/// The next message, once all of it is there.
///
/// # Errors
/// As for [`frame_head`].
pub fn whole_frame<K: MessageKind>(input: &Chain) -> Result<Option<Frame<K>>, ProtocolError> {
    let head = frame_head(input)?;
    Ok(head.filter(|frame| input.len() >= frame.length))
}

fn read_u32(input: &Chain, offset: usize) -> Option<u32> {
    let mut bytes = Vec::with_capacity(4);
    input.copy(offset..offset + 4, &mut bytes);
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
