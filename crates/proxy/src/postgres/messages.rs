//! Decodes the bodies of messages.

use super::ProtocolError;

/// A text up to its zero byte, and the bytes after that.
fn split_c_string(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let (text, rest) = body.split_at(end);
    Some((std::str::from_utf8(text).ok()?, rest.get(1..)?))
}

/// Whether a startup message names a user. Its body consists of pairs of texts, up to an empty
/// name.
///
/// # Errors
/// The pairs do not end where the message does.
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

/// The statement of a query.
///
/// # Errors
/// The body is not exactly one text with its terminator.
pub fn decode_query(body: &[u8]) -> Result<&str, ProtocolError> {
    match split_c_string(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(ProtocolError::UnterminatedQuery),
    }
}

/// The fields of an error response that the proxy uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Its SQLSTATE.
    pub code: String,
    /// Its message; empty if it has none.
    pub message: String,
}

/// Decodes an ErrorResponse.
///
/// # Errors
/// A field has no end, or there is no code.
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

/// A setting that the peer announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParameterStatus<'a> {
    /// Which setting.
    pub name: &'a str,
    /// Its value.
    pub value: &'a str,
}

/// Decodes a ParameterStatus.
///
/// # Errors
/// The body is not two texts.
pub fn decode_parameter_status(body: &[u8]) -> Result<ParameterStatus<'_>, ProtocolError> {
    let (name, rest) = split_c_string(body).ok_or(ProtocolError::UnterminatedParameter)?;
    let (value, _) = split_c_string(rest).ok_or(ProtocolError::UnterminatedParameter)?;
    Ok(ParameterStatus { name, value })
}

/// The only value of a DataRow.
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
/// It does not.
pub fn check_row_description(body: &[u8]) -> Result<(), ProtocolError> {
    let after_name = body
        .strip_prefix(&[0, 1])
        .and_then(split_c_string)
        .map(|(_, rest)| rest);
    match after_name {
        // Table, column, type, size and modifier; then the format, text or binary.
        Some([_, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, 0, 0 | 1]) => Ok(()),
        _ => Err(ProtocolError::RowDescription),
    }
}

/// Checks that a CommandComplete is for one row.
///
/// # Errors
/// It does not.
pub fn check_command_complete(body: &[u8]) -> Result<(), ProtocolError> {
    match split_c_string(body) {
        Some(("SELECT 1" | "INSERT 0 1" | "SHOW", [])) => Ok(()),
        _ => Err(ProtocolError::CommandComplete),
    }
}

/// Checks that an authentication message accepts the proxy without a password.
///
/// # Errors
/// It requests a password or another authentication.
pub fn check_authentication(body: &[u8]) -> Result<(), ProtocolError> {
    if body == [0, 0, 0, 0] {
        Ok(())
    } else {
        Err(ProtocolError::PasswordRequested)
    }
}

/// Checks that the peer accepts the next query outside of a transaction.
///
/// # Errors
/// It is in a transaction.
pub fn check_ready_for_query(body: &[u8]) -> Result<(), ProtocolError> {
    if body == b"I" {
        Ok(())
    } else {
        Err(ProtocolError::NotReady)
    }
}
