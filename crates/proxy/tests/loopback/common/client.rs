//! Clients of the proxy under test.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use tidescale_proxy::postgres;

use super::TEST_TIMEOUT;
use super::protocol::{next, query, read_once, startup};
use super::system::wait_until_end_has_arrived;

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
    /// Closes the connection and waits until the proxy could know that: a process that another test is just starting may
    /// hold a copy of the socket, which keeps the connection open.
    pub fn disconnect(self) {
        let [local, remote] = [self.0.local_addr(), self.0.peer_addr()].map(Result::unwrap);
        drop(self);
        wait_until_end_has_arrived(local, remote);
    }
    pub fn ended(&mut self) -> bool {
        let mut bytes = [0; 16];
        match read_once(&mut self.0, &mut bytes) {
            Ok(0) => true,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => true,
            other => {
                eprintln!("no end of the connection: {other:?}, {bytes:?}");
                false
            }
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
