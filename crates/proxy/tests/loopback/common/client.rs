//! Clients of the proxy under test.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use tidescale_proxy::postgres;

use super::TEST_TIMEOUT;
use super::protocol::{next, query, startup};

/// A client, with what it has read beyond the last message.
pub struct Client(pub TcpStream, pub Vec<u8>);

impl Client {
    /// One that has been let in.
    pub fn admitted(addr: SocketAddr) -> Client {
        let mut client = Client::open(addr);
        client.send(&startup());
        assert_eq!(client.answer().0, "RSSSZ");
        client
    }
    pub fn open(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client(stream, Vec::new())
    }
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }
    /// The tags of all messages up to ReadyForQuery or the end, and the last row or error code.
    pub fn answer(&mut self) -> (String, Vec<u8>) {
        let (mut tags, mut value) = (String::new(), Vec::new());
        while let Some((tag, body)) = next(&mut self.0, &mut self.1) {
            tags.push(tag as char);
            match tag {
                b'D' => value = postgres::row(&body).unwrap().to_vec(),
                b'E' => value = postgres::error(&body).unwrap().code.into_bytes(),
                b'Z' => return (tags, value),
                _ => {}
            }
        }
        tags.push('.');
        (tags, value)
    }
    pub fn ended(&mut self) -> bool {
        match self.0.read(&mut [0; 16]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// A new client's one request: the tags of its response's messages, and the row or the error's code.
pub fn one_query(addr: SocketAddr, id: u32) -> (String, Vec<u8>) {
    let mut client = Client::open(addr);
    client.send(&[startup(), query("look", id, 1200)].concat());
    client.answer();
    client.answer()
}
