//! The SQLSTATE codes that the proxy receives and sends, with PostgreSQL's names.

/// A part of the protocol that the proxy does not implement.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// The client sent an invalid message.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The request itself is invalid and was not executed.
pub const SYNTAX_ERROR: &str = "42601";
/// The request was rejected under load and was not executed.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The endpoint is starting up; the request was not executed.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// The request failed and may have been executed.
pub const SYSTEM_ERROR: &str = "58000";
/// An internal error of an endpoint.
pub const INTERNAL_ERROR: &str = "XX000";

/// The class (first two characters) of data exceptions.
pub const DATA_EXCEPTION_CLASS: &str = "22";
/// The class (first two characters) of syntax errors and access rule violations.
pub const SYNTAX_OR_ACCESS_CLASS: &str = "42";
