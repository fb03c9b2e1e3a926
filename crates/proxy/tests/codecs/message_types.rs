//! The type byte and the maximum length of each PostgreSQL message.

use std::fmt::Debug;

use tidescale_proxy::buffers::Chain;
use tidescale_proxy::postgres::{
    ClientMessage, EndpointMessage, Frame, ProtocolError, frame_header,
};

use crate::message_chain::{MESSAGE_HEADER_BYTES, chain_of};

/// Size of the length field in bytes. The length of a message includes it.
const LENGTH_FIELD_BYTES: u32 = 4;

/// Maximum body of a query in bytes: a value of 64 KiB in hexadecimal, and the statement around it.
const MAX_QUERY_BODY_BYTES: u32 = 2 * 64 * 1024 + 4096;
/// Maximum body of a DataRow message in bytes.
const MAX_DATA_ROW_BODY_BYTES: u32 = 1024 * 1024;
/// Maximum body in bytes of a message that carries neither a statement nor a value.
const MAX_OTHER_BODY_BYTES: u32 = 8 * 1024;

/// Decodes the header of the first message of a chain.
type HeaderDecoder<Kind> = fn(&Chain) -> Result<Option<Frame<Kind>>, ProtocolError>;

/// A type byte, the kind of message it stands for, and the maximum body in bytes.
type MessageType<Kind> = (u8, Kind, u32);

const CLIENT_MESSAGES: [MessageType<ClientMessage>; 13] = [
    (b'Q', ClientMessage::Query, MAX_QUERY_BODY_BYTES),
    (b'P', ClientMessage::ExtendedQuery, MAX_OTHER_BODY_BYTES),
    (b'B', ClientMessage::ExtendedQuery, MAX_OTHER_BODY_BYTES),
    (b'D', ClientMessage::ExtendedQuery, MAX_OTHER_BODY_BYTES),
    (b'E', ClientMessage::ExtendedQuery, MAX_OTHER_BODY_BYTES),
    (b'C', ClientMessage::ExtendedQuery, MAX_OTHER_BODY_BYTES),
    (b'F', ClientMessage::FunctionCall, MAX_OTHER_BODY_BYTES),
    (b'd', ClientMessage::CopyData, MAX_OTHER_BODY_BYTES),
    (b'f', ClientMessage::CopyFail, MAX_OTHER_BODY_BYTES),
    (b'c', ClientMessage::CopyDone, 0),
    (b'H', ClientMessage::Flush, 0),
    (b'S', ClientMessage::Sync, 0),
    (b'X', ClientMessage::Terminate, 0),
];

const ENDPOINT_MESSAGES: [MessageType<EndpointMessage>; 9] = [
    (b'D', EndpointMessage::DataRow, MAX_DATA_ROW_BODY_BYTES),
    (b'T', EndpointMessage::RowDescription, MAX_OTHER_BODY_BYTES),
    (b'C', EndpointMessage::CommandComplete, MAX_OTHER_BODY_BYTES),
    (b'S', EndpointMessage::ParameterStatus, MAX_OTHER_BODY_BYTES),
    (b'E', EndpointMessage::Error, MAX_OTHER_BODY_BYTES),
    (b'N', EndpointMessage::Notice, MAX_OTHER_BODY_BYTES),
    (b'R', EndpointMessage::Authentication, 8),
    (b'K', EndpointMessage::BackendKeyData, 8),
    (b'Z', EndpointMessage::ReadyForQuery, 1),
];

/// The header of a message with a body of this length.
fn message_header(type_byte: u8, body_bytes: u32) -> Chain {
    let length = (body_bytes + LENGTH_FIELD_BYTES).to_be_bytes();
    chain_of(&[&[type_byte][..], &length].concat())
}

/// Checks all 256 type bytes: those in the table have the given kind and maximum body, all others
/// are rejected.
fn check_type_bytes<Kind>(message_types: &[MessageType<Kind>], decode_header: HeaderDecoder<Kind>)
where
    Kind: Copy + Debug + PartialEq,
{
    for type_byte in 0..=u8::MAX {
        let message_type = message_types.iter().find(|(byte, ..)| *byte == type_byte);
        let max_body_bytes = message_type.map_or(0, |(.., max_body_bytes)| *max_body_bytes);
        let expected = message_type.map(|(_, kind, max_body_bytes)| Frame {
            kind: *kind,
            length: *max_body_bytes as usize + MESSAGE_HEADER_BYTES,
        });

        let longest = decode_header(&message_header(type_byte, max_body_bytes));
        let too_long = decode_header(&message_header(type_byte, max_body_bytes + 1));

        assert_eq!(longest.ok().flatten(), expected, "{type_byte}");
        assert!(too_long.is_err(), "{type_byte}");
    }
}

#[test]
fn each_type_byte_of_a_client_has_its_kind_and_maximum_length() {
    check_type_bytes(&CLIENT_MESSAGES, frame_header);
}

#[test]
fn each_type_byte_of_an_endpoint_has_its_kind_and_maximum_length() {
    check_type_bytes(&ENDPOINT_MESSAGES, frame_header);
}
