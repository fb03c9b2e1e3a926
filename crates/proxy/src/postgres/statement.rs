//! Parsing the only statements that clients may send. A comment at the end of the statement holds
//! the fields of the request: `id` is its id, `c` the route, `d` the time limit in milliseconds,
//! and `k` the key that routes with idempotency keys require.
//!
//! ```sql
//! SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,d=480 */
//! INSERT INTO facts (code, data) VALUES ('7f3a', '\x9f03') RETURNING data /* id=9b1f,c=order,d=480,k=5c0f */
//! ```
//!
//! Any other statement is rejected, because endpoints accept only these two.

use std::ops::Range;
use std::time::Duration;

use thiserror::Error;

use super::framing::MAX_VALUE_BYTES;

/// Maximum length of a code, id or key, in hexadecimal digits.
const MAX_IDENTIFIER_DIGITS: usize = 64;
/// Maximum time limit of a request: one hour.
const MAX_TIME_LIMIT_MS: u64 = 3_600_000;

const SELECT_BEFORE_CODE: &str = "SELECT data FROM facts WHERE code = '";
const SELECT_AFTER_CODE: &str = "' /* ";
const INSERT_BEFORE_CODE: &str = "INSERT INTO facts (code, data) VALUES ('";
const INSERT_BEFORE_VALUE: &str = "', '\\x";
const INSERT_AFTER_VALUE: &str = "') RETURNING data /* ";
const COMMENT_END: &str = " */";

/// Why a statement is invalid.
///
/// The texts are part of the wire format: they are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// It is none of the supported statements.
    #[error("a statement of another form")]
    UnsupportedForm,
    /// Its comment has a field more than once.
    #[error("a field given twice")]
    RepeatedField,
    /// Its comment has no id, no route or no time limit.
    #[error("a field is missing")]
    MissingField,
    /// The time limit is not a whole number of milliseconds, or exceeds one hour.
    #[error("not a time")]
    InvalidTimeLimit,
}

/// A parsed statement.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientStatement<'a> {
    /// The request id that the client has chosen.
    pub request_id: &'a str,
    /// The name of the route.
    pub route: &'a str,
    /// The value of the column `code`, which identifies the row that the statement reads or writes.
    pub code: &'a str,
    /// The idempotency key; `None` if the client sent none.
    pub key: Option<&'a str>,
    /// How long the client waits for the response.
    pub time_limit: Duration,
    /// The byte range of the time limit's digits in the statement.
    pub time_limit_range: Range<usize>,
}

/// Parses a client statement.
///
/// # Errors
/// It is none of the supported statements, or a field of its comment is missing, repeated or
/// invalid.
pub fn parse_statement(statement: &str) -> Result<ClientStatement<'_>, StatementError> {
    let parts = split_statement(statement)?;
    let comment = CommentFields::parse(&parts)?;
    let request_id = comment.id.ok_or(StatementError::MissingField)?;
    let route = comment.route.ok_or(StatementError::MissingField)?;
    let time_limit = comment.time_limit.ok_or(StatementError::MissingField)?;
    let time_limit_ms = parse_time_limit(time_limit.digits)?;
    let is_key_valid = comment.key.is_none_or(is_identifier);
    if !is_identifier(parts.code) || !is_identifier(request_id) || !is_key_valid {
        return Err(StatementError::UnsupportedForm);
    }
    Ok(ClientStatement {
        request_id,
        route,
        code: parts.code,
        key: comment.key,
        time_limit: Duration::from_millis(time_limit_ms),
        time_limit_range: time_limit.start..time_limit.start + time_limit.digits.len(),
    })
}

/// The variable parts of a statement.
struct StatementParts<'a> {
    code: &'a str,
    fields: &'a str,
    /// The byte offset of the fields in the statement.
    fields_start: usize,
}

fn split_statement(statement: &str) -> Result<StatementParts<'_>, StatementError> {
    let (code, comment) = split_select(statement)
        .or_else(|| split_insert(statement))
        .ok_or(StatementError::UnsupportedForm)?;
    let fields = comment
        .strip_suffix(COMMENT_END)
        .filter(|fields| !fields.contains("*/"))
        .ok_or(StatementError::UnsupportedForm)?;
    Ok(StatementParts {
        code,
        fields,
        fields_start: statement.len() - comment.len(),
    })
}

/// Splits a SELECT into the code, and the text after the start of the comment.
fn split_select(statement: &str) -> Option<(&str, &str)> {
    let rest = statement.strip_prefix(SELECT_BEFORE_CODE)?;
    let (code, rest) = split_at_quote(rest)?;
    Some((code, rest.strip_prefix(SELECT_AFTER_CODE)?))
}

/// Splits an INSERT into the code, and the text after the start of the comment.
fn split_insert(statement: &str) -> Option<(&str, &str)> {
    let rest = statement.strip_prefix(INSERT_BEFORE_CODE)?;
    let (code, rest) = split_at_quote(rest)?;
    let (value, rest) = split_at_quote(rest.strip_prefix(INSERT_BEFORE_VALUE)?)?;
    // Each byte is two hexadecimal digits.
    let is_value_valid = value.len().is_multiple_of(2)
        && value.len() <= 2 * MAX_VALUE_BYTES
        && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_value_valid {
        return None;
    }
    Some((code, rest.strip_prefix(INSERT_AFTER_VALUE)?))
}

/// Splits text before its first single quote.
fn split_at_quote(text: &str) -> Option<(&str, &str)> {
    text.find('\'').map(|quote| text.split_at(quote))
}

/// The digits of a time limit and their byte offset in the statement.
struct TimeLimitField<'a> {
    digits: &'a str,
    start: usize,
}

/// The fields of the comment that the proxy uses; the others are forwarded unchanged.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    route: Option<&'a str>,
    time_limit: Option<TimeLimitField<'a>>,
    key: Option<&'a str>,
}

impl<'a> CommentFields<'a> {
    fn parse(parts: &StatementParts<'a>) -> Result<CommentFields<'a>, StatementError> {
        let mut comment = CommentFields::default();
        let mut pair_start = parts.fields_start;
        for pair in parts.fields.split(',') {
            let (name, value) = pair
                .split_once('=')
                .ok_or(StatementError::UnsupportedForm)?;
            let start = pair_start + name.len() + 1;
            pair_start += pair.len() + 1;
            let is_repeated = match name {
                "id" => comment.id.replace(value).is_some(),
                "c" => comment.route.replace(value).is_some(),
                "d" => {
                    let time_limit = TimeLimitField {
                        digits: value,
                        start,
                    };
                    comment.time_limit.replace(time_limit).is_some()
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

fn parse_time_limit(digits: &str) -> Result<u64, StatementError> {
    // `parse` would accept a sign.
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(StatementError::InvalidTimeLimit);
    }
    let time_limit_ms = digits.parse().ok();
    time_limit_ms
        .filter(|time_limit_ms| *time_limit_ms <= MAX_TIME_LIMIT_MS)
        .ok_or(StatementError::InvalidTimeLimit)
}

fn is_identifier(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_IDENTIFIER_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
