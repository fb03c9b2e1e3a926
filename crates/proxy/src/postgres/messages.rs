//! Decoding the bodies of messages.

use super::ProtocolError;

/// Splits off a null-terminated string; returns the string, and the bytes after the terminator.
fn split_c_string(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let (text, rest) = body.split_at(end);
    Some((std::str::from_utf8(text).ok()?, rest.get(1..)?))
}

/// Whether a startup message names a user. The body is a list of parameter names and values, which
/// an empty name terminates.
///
/// # Errors
/// The list does not end at the end of the body.
pub fn startup_has_user(mut body: &[u8]) -> Result<bool, ProtocolError> {
    let mut has_user = false;
    loop {
        let (name, rest) = split_c_string(body).ok_or(ProtocolError::UnterminatedStartup)?;
        if name.is_empty() {
            return if rest.is_empty() {
                Ok(has_user)
            } else {
                Err(ProtocolError::UnterminatedStartup)
            };
        }
        let (value, rest) = split_c_string(rest).ok_or(ProtocolError::UnterminatedStartup)?;
        has_user |= name == "user" && !value.is_empty();
        body = rest;
    }
}

/// Decodes a Query; returns its statement.
///
/// # Errors
/// The body is not exactly one null-terminated string.
pub fn decode_query(body: &[u8]) -> Result<&str, ProtocolError> {
    match split_c_string(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(ProtocolError::UnterminatedQuery),
    }
}

/// The fields of an error response that the proxy uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The SQLSTATE.
    pub code: String,
    /// The message; empty if there is none.
    pub message: String,
}

/// Decodes an ErrorResponse.
///
/// # Errors
/// A field is not null-terminated, or there is no SQLSTATE.
pub fn decode_error_response(mut body: &[u8]) -> Result<ErrorResponse, ProtocolError> {
    let mut code = None;
    let mut message = String::new();
    while let Some((&field, rest)) = body.split_first().filter(|(field, _)| **field != 0) {
        let (value, rest) = split_c_string(rest).ok_or(ProtocolError::UnterminatedField)?;
        match field {
            b'C' => code = Some(value.to_string()),
            b'M' => message = value.to_string(),
            _ => {}
        }
        body = rest;
    }
    let code = code.ok_or(ProtocolError::ErrorWithoutCode)?;
    Ok(ErrorResponse { code, message })
}

/// A server parameter that the peer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParameterStatus<'a> {
    /// The name of the parameter.
    pub name: &'a str,
    /// The value of the parameter.
    pub value: &'a str,
}

/// Decodes a ParameterStatus.
///
/// # Errors
/// The body does not start with two null-terminated strings.
pub fn decode_parameter_status(body: &[u8]) -> Result<ParameterStatus<'_>, ProtocolError> {
    let (name, rest) = split_c_string(body).ok_or(ProtocolError::UnterminatedParameter)?;
    let (value, _) = split_c_string(rest).ok_or(ProtocolError::UnterminatedParameter)?;
    Ok(ParameterStatus { name, value })
}

/// Decodes a DataRow with one value; returns the value.
///
/// # Errors
/// There is not exactly one value, or its length does not match the body.
pub fn decode_data_row(body: &[u8]) -> Result<&[u8], ProtocolError> {
    let Some((length, value)) = body
        .strip_prefix(&[0, 1])
        .and_then(<[u8]>::split_first_chunk)
    else {
        return Err(ProtocolError::DataRow);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == value.len() {
        Ok(value)
    } else {
        Err(ProtocolError::DataRow)
    }
}

/// Checks that a RowDescription has exactly one column.
///
/// # Errors
/// It has another number of columns, or the body is malformed.
pub fn check_row_description(body: &[u8]) -> Result<(), ProtocolError> {
    let after_name = body
        .strip_prefix(&[0, 1])
        .and_then(split_c_string)
        .map(|(_, rest)| rest);
    match after_name {
        // 16 bytes with the table, column, type, size and type modifier, then the format, which is
        // 0 for text or 1 for binary.
        Some([_, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, 0, 0 | 1]) => Ok(()),
        _ => Err(ProtocolError::RowDescription),
    }
}

/// Checks that a CommandComplete is for one row.
///
/// # Errors
/// Its command tag is not one of a statement for one row, or the body is malformed.
pub fn check_command_complete(body: &[u8]) -> Result<(), ProtocolError> {
    match split_c_string(body) {
        Some(("SELECT 1" | "INSERT 0 1" | "SHOW", [])) => Ok(()),
        _ => Err(ProtocolError::CommandComplete),
    }
}

/// Checks that an authentication message is `AuthenticationOk`.
///
/// # Errors
/// It requests authentication, for example with a password.
pub fn check_authentication(body: &[u8]) -> Result<(), ProtocolError> {
    if body == [0, 0, 0, 0] {
        Ok(())
    } else {
        Err(ProtocolError::PasswordRequested)
    }
}

/// Checks that a ReadyForQuery reports no open transaction.
///
/// # Errors
/// It reports a transaction, or the body is malformed.
pub fn check_ready_for_query(body: &[u8]) -> Result<(), ProtocolError> {
    if body == b"I" {
        Ok(())
    } else {
        Err(ProtocolError::NotReady)
    }
}
