//! Messages of the main protocol, as endpoints and clients send and read them.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

use tidescale_proxy::buffers::{Chain, Pool};
use tidescale_proxy::postgres;

/// A message of the main protocol.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A response of one row.
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

/// An error response.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Reads once. A read with a time-out is interrupted where the tests' process is stopped and continued, and then
/// repeated.
pub fn read_once(stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Reads from the stream until `bytes` holds `n` bytes; false at its end.
pub fn read_to(stream: &mut TcpStream, bytes: &mut Vec<u8>, n: usize) -> bool {
    let mut some = [0; 4096];
    while bytes.len() < n {
        match read_once(stream, &mut some) {
            Ok(0) | Err(_) => return false,
            Ok(got) => bytes.extend_from_slice(&some[..got]),
        }
    }
    true
}

/// The next message, without its length.
pub fn next(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    read_to(stream, bytes, 5).then_some(())?;
    let len = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
    read_to(stream, bytes, len + 1).then_some(())?;
    let all: Vec<u8> = bytes.drain(..len + 1).collect();
    Some((all[0], all[5..].to_vec()))
}

/// The bytes that a codec writes.
pub fn encode(write: impl FnOnce(&mut Chain)) -> Vec<u8> {
    let mut chain = Chain::new(&Pool::new(64));
    write(&mut chain);
    let mut bytes = Vec::new();
    chain.copy(0..chain.len(), &mut bytes);
    bytes
}

/// A statement of this route, request id and wait in milliseconds, as a message.
pub fn query(route: &str, id: u32, wait: u64) -> Vec<u8> {
    let statement =
        format!("SELECT data FROM facts WHERE code = '7f3a' /* id={id:x},c={route},d={wait} */");
    encode(|o| postgres::put_query(o, statement.as_bytes()))
}

/// A client's startup message.
pub fn startup() -> Vec<u8> {
    encode(postgres::put_startup)
}
