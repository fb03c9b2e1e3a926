//! Encoding and decoding of PostgreSQL messages for stand-in endpoints and clients.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

use tidescale_proxy::buffers::{Chain, Pool};
use tidescale_proxy::postgres;

/// A PostgreSQL message with this type byte and body.
pub fn message(type_byte: u8, body: &[u8]) -> Vec<u8> {
    [
        &[type_byte][..],
        &(body.len() as u32 + 4).to_be_bytes(),
        body,
    ]
    .concat()
}

/// The messages with which an endpoint accepts a startup message and opens the session.
pub fn session_accepted() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready_for_query()].concat()
}

/// The ReadyForQuery message, which ends each response.
pub fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

/// A response with one row of one column, `data`, of type `bytea` (OID 17) and in binary format,
/// without its ReadyForQuery.
pub fn row(value: &[u8]) -> Vec<u8> {
    let field = [
        &b"data\0"[..],
        &[0; 6],
        &17u32.to_be_bytes(),
        &[0xff; 6],
        &[0, 1],
    ]
    .concat();
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [
        message(b'T', &[&[0, 1][..], &field].concat()),
        message(b'D', &data),
        message(b'C', b"SELECT 1\0"),
    ]
    .concat()
}

/// An ErrorResponse message with this code.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Reads once. A read with a timeout fails with EINTR if the test process is stopped and continued
/// meanwhile, and is then repeated.
pub fn read_once(stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Appends to `bytes` from the stream until it has at least this length. Returns false if the
/// stream ends or a read fails first.
pub fn read_until_length(stream: &mut TcpStream, bytes: &mut Vec<u8>, length: usize) -> bool {
    let mut buffer = [0; 4096];
    while bytes.len() < length {
        match read_once(stream, &mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(received) => bytes.extend_from_slice(&buffer[..received]),
        }
    }
    true
}

/// Reads and discards a startup message. Returns false if the stream ends first.
pub fn read_startup(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    if !read_until_length(stream, bytes, 4) {
        return false;
    }
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    if !read_until_length(stream, bytes, length) {
        return false;
    }
    bytes.drain(..length);
    true
}

/// Reads the next message and returns its type byte and body, or `None` if the stream ends or a
/// read fails first.
pub fn next_message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    read_until_length(stream, bytes, 5).then_some(())?;
    let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
    read_until_length(stream, bytes, length + 1).then_some(())?;
    let message: Vec<u8> = bytes.drain(..=length).collect();
    Some((message[0], message[5..].to_vec()))
}

/// The text in the body of a message, without the null terminator.
pub fn terminated_text(body: &[u8]) -> String {
    String::from_utf8(body[..body.len() - 1].to_vec()).unwrap()
}

/// The bytes that a function appends to an empty chain.
pub fn encode(write: impl FnOnce(&mut Chain)) -> Vec<u8> {
    let mut chain = Chain::new(&Pool::new(64));
    write(&mut chain);
    let mut bytes = Vec::new();
    chain.copy_to(0..chain.len(), &mut bytes);
    bytes
}

/// A Query message with this statement.
pub fn statement(text: &str) -> Vec<u8> {
    encode(|chain| postgres::put_query(chain, text.as_bytes()))
}

/// A Query message with a statement with this route, request id and time limit.
pub fn query(route: &str, id: u32, time_limit_ms: u64) -> Vec<u8> {
    statement(&format!(
        "SELECT data FROM facts WHERE code = '7f3a' /* id={id:x},c={route},d={time_limit_ms} */"
    ))
}

/// A client's startup message.
pub fn startup() -> Vec<u8> {
    encode(postgres::put_startup)
}
