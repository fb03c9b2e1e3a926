//! Encoding the messages that the proxy sends, as a client to endpoints and as a server to clients.

use super::framing::{LENGTH_FIELD_BYTES, PROTOCOL_VERSION};
use crate::buffers::Chain;

/// The parameters of the startup message to endpoints.
pub const STARTUP_PARAMETERS: [(&str, &str); 2] = [("user", "portal"), ("database", "crm")];

/// The server parameters that are reported to each client.
const SERVER_PARAMETERS: [(&str, &str); 3] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
];

/// The severity of an error response, which determines whether the connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The connection stays open.
    Error,
    /// The connection closes.
    Fatal,
}

impl Severity {
    const fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Returns the header of a message: its type, and its length without the type.
pub(super) fn message_header(type_byte: u8, body_length: usize) -> Vec<u8> {
    let length = LENGTH_FIELD_BYTES + body_length;
    let mut header = vec![type_byte];
    header.extend_from_slice(&(length as u32).to_be_bytes());
    header
}

/// Writes one message with the concatenation of `body` as its body.
fn put_message(out: &mut Chain, type_byte: u8, body: &[&[u8]]) {
    let body_length = body.iter().map(|part| part.len()).sum();
    out.push(&message_header(type_byte, body_length));
    for part in body {
        out.push(part);
    }
}

/// Writes the startup message to an endpoint.
pub fn put_startup(out: &mut Chain) {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for (name, value) in STARTUP_PARAMETERS {
        for text in [name, value] {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
    }
    body.push(0);
    out.push(&(body.len() as u32 + 4).to_be_bytes());
    out.push(&body);
}

/// Writes a query.
pub fn put_query(out: &mut Chain, statement: &[u8]) {
    put_message(out, b'Q', &[statement, &[0]]);
}

/// Writes the response to a startup message: `AuthenticationOk`, the server parameters, and
/// ReadyForQuery.
pub fn put_startup_response(out: &mut Chain) {
    put_message(out, b'R', &[&[0; 4]]);
    for (name, value) in SERVER_PARAMETERS {
        put_message(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    put_ready_for_query(out);
}

/// Writes ReadyForQuery with the status "not in a transaction".
pub fn put_ready_for_query(out: &mut Chain) {
    put_message(out, b'Z', &[b"I"]);
}

/// Writes `EmptyQueryResponse`, in response to a query without a statement.
pub fn put_empty_query_response(out: &mut Chain) {
    put_message(out, b'I', &[]);
}

/// The fields of an error response to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// Whether the connection closes after the error.
    pub severity: Severity,
    /// The SQLSTATE.
    pub code: &'a str,
    /// The message.
    pub message: &'a str,
    /// More about the error; empty if there is nothing more.
    pub detail: &'a str,
}

/// Writes an ErrorResponse. Empty fields are omitted.
pub fn put_error(out: &mut Chain, error: ErrorFields<'_>) {
    let severity = error.severity.as_str();
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', error.code),
        (b'M', error.message),
        (b'D', error.detail),
    ];
    let mut body = Vec::new();
    for (field, value) in fields {
        if !value.is_empty() {
            body.push(field);
            body.extend_from_slice(value.as_bytes());
            body.push(0);
        }
    }
    put_message(out, b'E', &[&body, &[0]]);
}
