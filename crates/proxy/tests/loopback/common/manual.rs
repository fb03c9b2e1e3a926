//! Stand-ins whose connections a test accepts and answers by hand.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;
use super::protocol::{message, next, read_to, row};

/// A server whose connections the test accepts and answers by hand.
pub struct ManualServer(TcpListener);

impl ManualServer {
    pub fn new() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ManualServer(listener)
    }
    pub fn addr(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
    pub fn try_accept(&self) -> Option<ManualConnection> {
        let (stream, _) = self.0.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Some(ManualConnection(stream, Vec::new()))
    }
    pub fn accept(&self) -> ManualConnection {
        self.accept_unless(|| false).unwrap()
    }
    /// The next connection; none where something else comes to pass first.
    pub fn accept_unless(&self, other: impl Fn() -> bool) -> Option<ManualConnection> {
        let begun = Instant::now();
        loop {
            if let Some(peer) = self.try_accept() {
                return Some(peer);
            }
            if other() {
                return None;
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "nobody connects");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A connection to the proxy, in the hands of the test.
pub struct ManualConnection(pub TcpStream, Vec<u8>);

impl ManualConnection {
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }
    /// Of an endpoint: waits for the startup message, and lets nobody in yet.
    pub fn startup(&mut self) {
        assert!(read_to(&mut self.0, &mut self.1, 4));
        let len = u32::from_be_bytes(self.1[..4].try_into().unwrap()) as usize;
        assert!(read_to(&mut self.0, &mut self.1, len));
        self.1.drain(..len);
    }
    /// Lets the proxy in; goes unheard where that has closed.
    pub fn let_in(&mut self) {
        let _ = self
            .0
            .write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat());
    }
    /// Something has come that has not been read, if only the connection's end.
    pub fn has_sent(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        let is_readable = self.0.peek(&mut [0]).is_ok();
        self.0.set_nonblocking(false).unwrap();
        is_readable
    }
    /// The next query; none at the connection's end.
    pub fn query(&mut self) -> Option<String> {
        let (tag, body) = next(&mut self.0, &mut self.1)?;
        Some(format!(
            "{} {}",
            tag as char,
            String::from_utf8_lossy(&body)
        ))
    }
    pub fn answer(&mut self, value: u8) {
        self.send(&[row(&[value]), message(b'Z', b"I")].concat());
    }
    /// Of discovery: waits for what is asked and begins a stream.
    pub fn begin_stream(&mut self) {
        while !self.1.ends_with(b"\r\n\r\n") {
            let n = self.1.len() + 1;
            assert!(read_to(&mut self.0, &mut self.1, n));
        }
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    pub fn chunk(&mut self, text: &str) {
        self.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }
}
