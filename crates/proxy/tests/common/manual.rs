//! Stand-in servers without threads of their own: the test accepts each connection and sends each
//! response.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;
use super::configuration::ProxyConfig;
use super::http::{CHUNKED_HEAD, HttpServer, chunk};
use super::protocol::{
    next_message, read_startup, read_until_length, ready_for_query, row, session_accepted,
};

/// A server that accepts a connection and sends a response only when the test calls for it.
pub struct ManualServer(TcpListener);

impl ManualServer {
    pub fn new() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ManualServer(listener)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts a pending connection, if there is one.
    pub fn try_accept(&self) -> Option<ManualConnection> {
        let (stream, _) = self.0.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Some(ManualConnection {
            stream,
            unread: Vec::new(),
        })
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> ManualConnection {
        self.accept_unless(|| false).unwrap()
    }

    /// Waits for the next connection. Returns `None` if the condition is met first.
    pub fn accept_unless(&self, condition: impl Fn() -> bool) -> Option<ManualConnection> {
        let started_at = Instant::now();
        loop {
            if let Some(connection) = self.try_accept() {
                return Some(connection);
            }
            if condition() {
                return None;
            }
            assert!(started_at.elapsed() < TEST_TIMEOUT, "no connection arrives");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// For an endpoint: accepts the next connection and reads its startup message, without opening
    /// the session.
    pub fn accept_startup(&self) -> ManualConnection {
        let mut connection = self.accept();
        connection.read_startup();
        connection
    }

    /// For an endpoint: accepts the next connection and opens its session.
    pub fn accept_session(&self) -> ManualConnection {
        let mut connection = self.accept_startup();
        connection.open_session();
        connection
    }

    /// For discovery: accepts the next connection and starts a stream.
    pub fn accept_stream(&self) -> ManualConnection {
        let mut connection = self.accept();
        connection.start_stream();
        connection
    }
}

/// An endpoint and a discovery service that the test controls. The platform in their configuration
/// never responds.
pub struct ManualServers {
    pub endpoint: ManualServer,
    pub discovery: ManualServer,
}

impl ManualServers {
    pub fn new() -> ManualServers {
        ManualServers {
            endpoint: ManualServer::new(),
            discovery: ManualServer::new(),
        }
    }

    /// A configuration with these servers, in which the endpoint is the only one.
    pub fn config(&self) -> ProxyConfig {
        ProxyConfig::new()
            .endpoint(self.endpoint.address())
            .discovery(self.discovery.address())
            .platform(HttpServer::unresponsive().address)
    }

    /// The configuration of [`config`](ManualServers::config), with time limits so long that no
    /// attempt and no connection attempt times out during a test.
    pub fn long_timeout_config(&self) -> ProxyConfig {
        self.config().connect_timeout_ms(4000).long_deadline()
    }
}

/// A connection from the proxy that the test controls.
pub struct ManualConnection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl ManualConnection {
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// For an endpoint: waits for the startup message, without opening the session.
    pub fn read_startup(&mut self) {
        assert!(read_startup(&mut self.stream, &mut self.unread));
    }

    /// For an endpoint: opens the session. Has no effect if the proxy has closed the connection.
    pub fn open_session(&mut self) {
        let _ = self.stream.write_all(&session_accepted());
    }

    /// Whether a read would return without blocking: bytes have arrived, or the proxy has closed
    /// the connection.
    pub fn is_readable(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let is_readable = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        is_readable
    }

    /// Waits for the next query. Returns its type byte and body, or `None` at the end of the
    /// connection.
    pub fn query(&mut self) -> Option<String> {
        let (type_byte, body) = next_message(&mut self.stream, &mut self.unread)?;
        Some(format!(
            "{} {}",
            type_byte as char,
            String::from_utf8_lossy(&body)
        ))
    }

    /// Responds to a query with a row whose value is this byte.
    pub fn respond(&mut self, value: u8) {
        self.send(&[row(&[value]), ready_for_query()].concat());
    }

    /// For discovery: waits for the request and starts a stream.
    pub fn start_stream(&mut self) {
        while !self.unread.ends_with(b"\r\n\r\n") {
            let length = self.unread.len() + 1;
            assert!(read_until_length(
                &mut self.stream,
                &mut self.unread,
                length
            ));
        }
        self.send(CHUNKED_HEAD.as_bytes());
    }

    /// For discovery: sends a chunk of the stream.
    pub fn send_chunk(&mut self, text: &str) {
        self.send(chunk(text).as_bytes());
    }
}
