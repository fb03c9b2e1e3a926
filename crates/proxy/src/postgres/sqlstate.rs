//! The SQLSTATE codes that the proxy receives and sends, by PostgreSQL's names.

/// Feature not supported: a part of the protocol that the proxy does not implement.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// Protocol violation: the client sent an invalid message.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// Syntax error: the request itself is invalid and has not been executed.
pub const SYNTAX_ERROR: &str = "42601";
/// Too many connections: rejected under load, not executed.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// Cannot connect now: an endpoint is starting up and has executed nothing.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// System error: the request failed and may have been executed.
pub const SYSTEM_ERROR: &str = "58000";
/// Internal error of an endpoint.
pub const INTERNAL_ERROR: &str = "XX000";

/// First two characters of all data exceptions.
pub const DATA_EXCEPTION_CLASS: &str = "22";
/// First two characters of all syntax errors and access rule violations.
pub const SYNTAX_OR_ACCESS_CLASS: &str = "42";
