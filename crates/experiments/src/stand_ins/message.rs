//! Messages of the PostgreSQL protocol, version 3: a type, a length that counts the length field
//! itself, and a body.

use std::io::{self, Read};
use std::net::TcpStream;

/// Size of the length field in bytes.
const LENGTH_BYTES: usize = 4;
/// Upper limit of the length of a received message; longer ones are truncated.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Protocol version 3.0 in a start-up message.
const PROTOCOL_VERSION: u32 = 196_608;

/// Type of a client's query.
pub(super) const QUERY: u8 = b'Q';
/// Type of the message that ends the response to a query.
pub(super) const READY_FOR_QUERY: u8 = b'Z';
/// Type of the message that reports the success of a statement.
pub(super) const COMMAND_COMPLETE: u8 = b'C';
/// Type of the message that reports the failure of a statement.
pub(super) const ERROR_RESPONSE: u8 = b'E';
/// Type of the message that reports the success of authentication.
pub(super) const AUTHENTICATION: u8 = b'R';
/// Type of the message that describes the rows that follow.
pub(super) const ROW_DESCRIPTION: u8 = b'T';
/// Type of the message with a row.
pub(super) const DATA_ROW: u8 = b'D';

/// A received message.
pub(super) struct Message {
    /// Type of the message.
    pub(super) tag: u8,
    /// The bytes after the length field.
    pub(super) body: Vec<u8>,
}

pub(super) fn encode(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &encode_length(body), body].concat()
}

/// Encodes a start-up message, which has no type.
pub(super) fn encode_start_up(parameters: &[u8]) -> Vec<u8> {
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], parameters].concat();
    [&encode_length(&body)[..], &body].concat()
}

/// Reads the next message.
pub(super) fn read(stream: &mut TcpStream) -> io::Result<Message> {
    let mut tag = [0];
    stream.read_exact(&mut tag)?;
    let body = read_body(stream)?;
    Ok(Message { tag: tag[0], body })
}

/// Reads a start-up message and ignores its contents.
pub(super) fn read_start_up(stream: &mut TcpStream) -> io::Result<()> {
    read_body(stream).map(drop)
}

fn read_body(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length)?;
    let length = (u32::from_be_bytes(length) as usize).clamp(LENGTH_BYTES, MAX_MESSAGE_BYTES);
    let mut body = vec![0; length - LENGTH_BYTES];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn encode_length(body: &[u8]) -> [u8; LENGTH_BYTES] {
    (body.len() as u32 + LENGTH_BYTES as u32).to_be_bytes()
}
