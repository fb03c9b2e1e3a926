//! Clients of the proxy under test, and the responses that they receive.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use tidescale_proxy::postgres;

use super::TEST_TIMEOUT;
use super::protocol::{next_message, query, read_once, startup};
use super::system::wait_until_fin_acknowledged;

/// The SQLSTATE of a request that the proxy rejects for lack of capacity.
pub const OVERLOADED: &str = "53300";

/// The messages that a client receives up to ReadyForQuery or the end of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The session is open: Authentication, three ParameterStatus messages and ReadyForQuery.
    SessionOpened,
    /// One row with this value.
    Row(Vec<u8>),
    /// The response to an empty statement.
    EmptyStatement,
    /// An error with this code; the connection stays open.
    Error(String),
    /// An error with this code, after which the connection is closed.
    FatalError(String),
    /// The connection is closed without any message.
    Closed,
    /// The type bytes of any other messages, followed by a dot if the connection is closed.
    Other(String),
}

impl Response {
    pub fn row(value: &[u8]) -> Response {
        Response::Row(value.to_vec())
    }

    pub fn error(code: &str) -> Response {
        Response::Error(code.to_string())
    }

    pub fn fatal_error(code: &str) -> Response {
        Response::FatalError(code.to_string())
    }

    pub fn is_row(&self) -> bool {
        matches!(self, Response::Row(_))
    }

    pub fn is_error(&self) -> bool {
        matches!(self, Response::Error(_))
    }

    /// Whether the connection is closed after the response.
    pub fn ends_connection(&self) -> bool {
        match self {
            Response::FatalError(_) | Response::Closed => true,
            Response::Other(type_bytes) => type_bytes.ends_with('.'),
            _ => false,
        }
    }

    /// The response with messages of these types. `value` is the value of the last row or the code
    /// of the error.
    fn from_messages(type_bytes: String, value: Vec<u8>) -> Response {
        let code = || String::from_utf8(value.clone()).unwrap();
        match type_bytes.as_str() {
            "RSSSZ" => Response::SessionOpened,
            "TDCZ" => Response::Row(value),
            "IZ" => Response::EmptyStatement,
            "EZ" => Response::Error(code()),
            "E." => Response::FatalError(code()),
            "." => Response::Closed,
            _ => Response::Other(type_bytes),
        }
    }
}

/// A client connection, with the bytes received beyond the last decoded message.
pub struct Client {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    /// Connects and opens a session.
    pub fn with_open_session(address: SocketAddr) -> Client {
        let mut client = Client::connect(address);
        assert_eq!(client.request(&startup()), Response::SessionOpened);
        client
    }

    /// Connects and sends nothing.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client {
            stream,
            unread: Vec::new(),
        }
    }

    /// Sends the startup message and this message in one write.
    pub fn send_with_startup(&mut self, message: &[u8]) {
        self.send(&[&startup(), message].concat());
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a message and reads the next response.
    pub fn request(&mut self, message: &[u8]) -> Response {
        self.send(message);
        self.response()
    }

    /// Reads the next response.
    pub fn response(&mut self) -> Response {
        let (mut type_bytes, mut value) = (String::new(), Vec::new());
        while let Some((type_byte, body)) = next_message(&mut self.stream, &mut self.unread) {
            type_bytes.push(type_byte as char);
            match type_byte {
                b'D' => value = postgres::decode_data_row(&body).unwrap().to_vec(),
                b'E' => {
                    let error = postgres::decode_error_response(&body).unwrap();
                    value = error.code.into_bytes();
                }
                b'Z' => return Response::from_messages(type_bytes, value),
                _ => {}
            }
        }
        type_bytes.push('.');
        Response::from_messages(type_bytes, value)
    }

    /// Closes the connection and waits until the proxy's socket has received the FIN. A child
    /// process that another test is spawning may delay the FIN: until it executes its program, it
    /// may hold a copy of this socket, which keeps the connection open.
    pub fn disconnect(self) {
        let [local, remote] =
            [self.stream.local_addr(), self.stream.peer_addr()].map(Result::unwrap);
        drop(self);
        wait_until_fin_acknowledged(local, remote);
    }

    /// Waits for the proxy to close the connection. Returns false if bytes arrive first or the read
    /// times out.
    pub fn is_closed(&mut self) -> bool {
        let mut bytes = [0; 16];
        match read_once(&mut self.stream, &mut bytes) {
            Ok(0) => true,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => true,
            other => {
                eprintln!("connection not closed: {other:?}, {bytes:?}");
                false
            }
        }
    }
}

/// Sends one query on a new connection and returns the response.
pub fn query_with_new_client(address: SocketAddr, id: u32) -> Response {
    let mut client = Client::connect(address);
    client.send_with_startup(&query("look", id, 1200));
    client.response();
    client.response()
}
