//! Parses the only form of statement that clients may send, with the properties of the request in
//! its comment.
//!
//! ```sql
//! SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */
//! INSERT INTO facts (code, data) VALUES ('7f3a', '\x9f03') RETURNING data /* id=9b1f,c=order,d=480,k=5c0f */
//! ```
//!
//! A statement in any other form is rejected: endpoints accept only these statements.

use std::ops::Range;
use std::time::Duration;

use thiserror::Error;

use super::framing::MAX_VALUE_LENGTH;

/// The longest code, id or key, in hexadecimal digits.
const MAX_ID_LENGTH: usize = 64;
/// The longest time that a client may wait: an hour.
const MAX_WAIT_MS: u64 = 3_600_000;

const SELECT_BEFORE_CODE: &str = "SELECT data FROM facts WHERE code = '";
const SELECT_AFTER_CODE: &str = "' /* ";
const INSERT_BEFORE_CODE: &str = "INSERT INTO facts (code, data) VALUES ('";
const INSERT_BEFORE_VALUE: &str = "', '\\x";
const INSERT_AFTER_VALUE: &str = "') RETURNING data /* ";
const COMMENT_END: &str = " */";

/// Why a statement is not in the form that clients use.
///
/// The text is sent to the client, so that changing it changes the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// It differs from the form.
    #[error("a statement of another form")]
    Form,
    /// Its comment has a field twice.
    #[error("a field given twice")]
    RepeatedField,
    /// Its comment has no id, no route or no time limit.
    #[error("a field is missing")]
    MissingField,
    /// The time limit is not a number of milliseconds of up to an hour.
    #[error("not a time")]
    Wait,
}

/// A parsed statement.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientStatement<'a> {
    /// The id that the client gave the request.
    pub request_id: &'a str,
    /// The name of the route.
    pub route: &'a str,
    /// The code of the fact that it reads or writes.
    pub code: &'a str,
    /// The key of the client, if it sent one.
    pub key: Option<&'a str>,
    /// How long the client waits for the response.
    pub wait: Duration,
    /// Position of the digits of the time limit in the statement.
    pub wait_range: Range<usize>,
}

/// Parses a statement of the form that clients use.
///
/// # Errors
/// It has another form, or a field of its comment is missing or invalid.
pub fn parse_statement(statement: &str) -> Result<ClientStatement<'_>, StatementError> {
    let parts = split_statement(statement)?;
    let comment = Comment::parse(&parts)?;
    let request_id = comment.id.ok_or(StatementError::MissingField)?;
    let route = comment.route.ok_or(StatementError::MissingField)?;
    let wait = comment.wait.ok_or(StatementError::MissingField)?;
    let wait_ms = parse_wait(wait.digits)?;
    let is_key_valid = comment.key.is_none_or(is_identifier);
    if !is_identifier(parts.code) || !is_identifier(request_id) || !is_key_valid {
        return Err(StatementError::Form);
    }
    Ok(ClientStatement {
        request_id,
        route,
        code: parts.code,
        key: comment.key,
        wait: Duration::from_millis(wait_ms),
        wait_range: wait.start..wait.start + wait.digits.len(),
    })
}

/// The variable parts of a statement.
struct StatementParts<'a> {
    code: &'a str,
    fields: &'a str,
    /// Position of the fields in the statement.
    fields_start: usize,
}

fn split_statement(statement: &str) -> Result<StatementParts<'_>, StatementError> {
    let (code, comment) = split_select(statement)
        .or_else(|| split_insert(statement))
        .ok_or(StatementError::Form)?;
    let fields = comment
        .strip_suffix(COMMENT_END)
        .filter(|fields| !fields.contains("*/"))
        .ok_or(StatementError::Form)?;
    Ok(StatementParts {
        code,
        fields,
        fields_start: statement.len() - comment.len(),
    })
}

/// The code, and the text after the start of the comment.
fn split_select(statement: &str) -> Option<(&str, &str)> {
    let rest = statement.strip_prefix(SELECT_BEFORE_CODE)?;
    let (code, rest) = split_at_quote(rest)?;
    Some((code, rest.strip_prefix(SELECT_AFTER_CODE)?))
}

/// The code, and the text after the start of the comment.
fn split_insert(statement: &str) -> Option<(&str, &str)> {
    let rest = statement.strip_prefix(INSERT_BEFORE_CODE)?;
    let (code, rest) = split_at_quote(rest)?;
    let (value, rest) = split_at_quote(rest.strip_prefix(INSERT_BEFORE_VALUE)?)?;
    // Two hexadecimal digits are one byte.
    let is_value_valid = value.len().is_multiple_of(2)
        && value.len() <= 2 * MAX_VALUE_LENGTH
        && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_value_valid {
        return None;
    }
    Some((code, rest.strip_prefix(INSERT_AFTER_VALUE)?))
}

/// The text before the next quote, and the rest from that quote on.
fn split_at_quote(text: &str) -> Option<(&str, &str)> {
    text.find('\'').map(|quote| text.split_at(quote))
}

/// The digits of a time limit and their position in the statement.
struct Wait<'a> {
    digits: &'a str,
    start: usize,
}

/// The fields of a comment that the proxy uses; others are forwarded unchanged.
#[derive(Default)]
struct Comment<'a> {
    id: Option<&'a str>,
    route: Option<&'a str>,
    wait: Option<Wait<'a>>,
    key: Option<&'a str>,
}

impl<'a> Comment<'a> {
    fn parse(parts: &StatementParts<'a>) -> Result<Comment<'a>, StatementError> {
        let mut comment = Comment::default();
        let mut pair_start = parts.fields_start;
        for pair in parts.fields.split(',') {
            let (name, value) = pair.split_once('=').ok_or(StatementError::Form)?;
            let start = pair_start + name.len() + 1;
            pair_start += pair.len() + 1;
            let is_repeated = match name {
                "id" => comment.id.replace(value).is_some(),
                "c" => comment.route.replace(value).is_some(),
                "d" => {
                    let wait = Wait {
                        digits: value,
                        start,
                    };
                    comment.wait.replace(wait).is_some()
                }
                "k" => comment.key.replace(value).is_some(),
                _ => false,
            };
            if is_repeated {
                return Err(StatementError::RepeatedField);
            }
        }
        Ok(comment)
    }
}

fn parse_wait(digits: &str) -> Result<u64, StatementError> {
    // `parse` would accept a sign.
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(StatementError::Wait);
    }
    let wait_ms = digits.parse().ok();
    wait_ms
        .filter(|wait_ms| *wait_ms <= MAX_WAIT_MS)
        .ok_or(StatementError::Wait)
}

fn is_identifier(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
