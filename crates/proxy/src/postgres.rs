//! PostgreSQL's messages, version 3: simple queries only. No I/O.

use std::ops::Range;

use crate::buffers::Chain;

pub const PORTAL: &[(&str, &str)] = &[("user", "portal"), ("database", "crm")];
const VERSION: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const LONGEST_STARTUP: usize = 10_000;
const LONGEST_VALUE: usize = 64 * 1024;
/// Machines have been seen to give values of some hundred KB.
pub const LONGEST_ANSWER: usize = 1024 * 1024;
/// Of a message that holds neither a statement nor a value.
const LONGEST_OTHER: usize = 8 * 1024;
/// A value in hexadecimal, and the statement round it.
pub const LONGEST: usize = 2 * LONGEST_VALUE + 4096;
const LONGEST_ID: usize = 64;
const LONGEST_WAIT_MS: u64 = 3_600_000;

pub const SHED: &str = "53300";
pub const STARTING: &str = "57P03";
pub const ERRORED: &str = "58000";
pub const PROTOCOL: &str = "08P01";
pub const SYNTAX: &str = "42601";
pub const UNSUPPORTED: &str = "0A000";

/// What can't be read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

fn word(input: &Chain, at: usize) -> Option<u32> {
    let mut bytes = Vec::with_capacity(4);
    input.copy(at..at + 4, &mut bytes);
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Startup,
    /// Asks for an encrypted connection first.
    Encryption,
    Cancel,
}

/// The first message of a connection and its length; turned down at its head where that can be.
pub fn opening(input: &Chain) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(len) = word(input, 0) else {
        return Ok(None);
    };
    let len = len as usize;
    if !(8..=LONGEST_STARTUP).contains(&len) {
        return Err(Malformed("a startup message of impossible length"));
    }
    let Some(code) = word(input, 4) else {
        return Ok(None);
    };
    let opening = match code {
        VERSION => Opening::Startup,
        SSL | GSS if len == 8 => Opening::Encryption,
        CANCEL if len == 16 => Opening::Cancel,
        _ => return Err(Malformed("an unknown protocol version")),
    };
    Ok((input.len() >= len).then_some((opening, len)))
}

/// Whether a startup message names a user, in pairs of texts up to an empty name.
pub fn names_user(mut body: &[u8]) -> Result<bool, Malformed> {
    let off = Malformed("a startup message without its end");
    let mut user = false;
    loop {
        let (name, rest) = text(body).ok_or(off.clone())?;
        if name.is_empty() {
            return if rest.is_empty() { Ok(user) } else { Err(off) };
        }
        let (value, rest) = text(rest).ok_or(off.clone())?;
        user |= name == "user" && !value.is_empty();
        body = rest;
    }
}

/// The longest body of a client's message of this type; none of a type that clients don't send.
pub fn from_client(tag: u8) -> Option<usize> {
    match tag {
        b'Q' => Some(LONGEST),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'd' | b'f' => Some(LONGEST_OTHER),
        b'X' | b'S' | b'H' | b'c' => Some(0),
        _ => None,
    }
}

/// The longest body of a machine's message of this type; none of a type that machines don't send.
pub fn from_machine(tag: u8) -> Option<usize> {
    match tag {
        b'D' => Some(LONGEST_ANSWER),
        b'T' | b'C' | b'S' | b'E' | b'N' => Some(LONGEST_OTHER),
        b'R' | b'K' => Some(8),
        b'Z' => Some(1),
        _ => None,
    }
}

/// Type and whole length of the next message, as its head tells; `longest` bounds the body by its type, so that
/// nothing is waited for that can't be used.
pub fn head(
    input: &Chain,
    longest: fn(u8) -> Option<usize>,
) -> Result<Option<(u8, usize)>, Malformed> {
    let Some(tag) = input.slices(0..1).next().map(|s| s[0]) else {
        return Ok(None);
    };
    let most = longest(tag).ok_or(Malformed("an unknown kind of message"))?;
    let Some(len) = word(input, 1) else {
        return Ok(None);
    };
    let len = len as usize;
    if !(4..=most + 4).contains(&len) {
        return Err(Malformed("a message of impossible length"));
    }
    Ok(Some((tag, len + 1)))
}

/// The same once all of the message is there.
pub fn message(
    input: &Chain,
    longest: fn(u8) -> Option<usize>,
) -> Result<Option<(u8, usize)>, Malformed> {
    Ok(head(input, longest)?.filter(|(_, len)| input.len() >= *len))
}

/// A text that ends with a zero byte.
fn text(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((std::str::from_utf8(&body[..end]).ok()?, &body[end + 1..]))
}

/// The statement of a query.
pub fn query(body: &[u8]) -> Result<&str, Malformed> {
    match text(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(Malformed("a query without its end")),
    }
}

/// What a client's statement says of itself.
#[derive(Debug, PartialEq, Eq)]
pub struct Asked<'a> {
    pub id: &'a str,
    pub route: &'a str,
    pub code: &'a str,
    pub key: Option<&'a str>,
    pub wait_ms: u64,
    /// Where the wait stands in the statement.
    pub wait_at: Range<usize>,
}

/// Reads a statement of the form that clients use.
///
/// A statement in any other form is never passed on: machines take none but the clients' own.
pub fn asked(statement: &str) -> Result<Asked<'_>, Malformed> {
    let quoted = |rest: &str| -> Option<usize> { rest.find('\'') };
    let hex = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_hexdigit());
    let off = Malformed("a statement of another form");
    let (code, rest) = if let Some(rest) =
        statement.strip_prefix("SELECT data FROM facts WHERE code = '")
    {
        let end = quoted(rest).ok_or(off.clone())?;
        (
            &rest[..end],
            rest[end..].strip_prefix("' /* ").ok_or(off.clone())?,
        )
    } else if let Some(rest) = statement.strip_prefix("INSERT INTO facts (code, data) VALUES ('") {
        let end = quoted(rest).ok_or(off.clone())?;
        let value = rest[end..].strip_prefix("', '\\x").ok_or(off.clone())?;
        let stop = quoted(value).ok_or(off.clone())?;
        // In pairs, or no machine can use it.
        if stop % 2 > 0
            || stop > 2 * LONGEST_VALUE
            || !value.as_bytes()[..stop].iter().all(u8::is_ascii_hexdigit)
        {
            return Err(off);
        }
        (
            &rest[..end],
            value[stop..]
                .strip_prefix("') RETURNING data /* ")
                .ok_or(off.clone())?,
        )
    } else {
        return Err(off);
    };
    let named = rest
        .strip_suffix(" */")
        .filter(|n| !n.contains("*/"))
        .ok_or(off.clone())?;
    let mut at = statement.len() - rest.len();
    let (mut id, mut route, mut wait, mut key) = (None, None, None, None);
    for pair in named.split(',') {
        let (name, value) = pair.split_once('=').ok_or(off.clone())?;
        let value_at = at + name.len() + 1;
        at += pair.len() + 1;
        let again = match name {
            "id" => id.replace(value).is_some(),
            "c" => route.replace(value).is_some(),
            "d" => wait.replace((value, value_at)).is_some(),
            "k" => key.replace(value).is_some(),
            _ => false,
        };
        if again {
            return Err(Malformed("a field given twice"));
        }
    }
    let (Some(id), Some(route), Some((wait, start))) = (id, route, wait) else {
        return Err(Malformed("a field is missing"));
    };
    let digits = wait.bytes().all(|b| b.is_ascii_digit());
    let wait_ms = wait
        .parse()
        .ok()
        .filter(|ms| digits && *ms <= LONGEST_WAIT_MS);
    let wait_ms: u64 = wait_ms.ok_or(Malformed("not a time"))?;
    let short = |s: &str| hex(s) && s.len() <= LONGEST_ID;
    if !short(code) || !short(id) || key.is_some_and(|k| !short(k)) {
        return Err(off);
    }
    Ok(Asked {
        id,
        route,
        code,
        key,
        wait_ms,
        wait_at: start..start + wait.len(),
    })
}

/// Code, message and detail of an ErrorResponse.
pub fn error(mut body: &[u8]) -> Result<(String, String), Malformed> {
    let (mut code, mut message) = (None, String::new());
    while let Some((&kind, rest)) = body.split_first().filter(|(k, _)| **k != 0) {
        let (value, rest) = text(rest).ok_or(Malformed("a field without its end"))?;
        match kind {
            b'C' => code = Some(value.to_string()),
            b'M' => message = value.to_string(),
            _ => {}
        }
        body = rest;
    }
    Ok((code.ok_or(Malformed("an error without a code"))?, message))
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Result<(&str, &str), Malformed> {
    let pair = text(body).and_then(|(name, rest)| Some((name, text(rest)?.0)));
    pair.ok_or(Malformed("a parameter without its end"))
}

/// The only column of a DataRow.
pub fn row(body: &[u8]) -> Result<&[u8], Malformed> {
    let off = Malformed("not a row of one column");
    let [0, 1, a, b, c, d, value @ ..] = body else {
        return Err(off);
    };
    let len = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
    if len == value.len() {
        Ok(value)
    } else {
        Err(off)
    }
}

/// Whether a RowDescription announces one column, and ends with it.
pub fn describes_one(body: &[u8]) -> Result<(), Malformed> {
    let rest = body
        .strip_prefix(&[0, 1])
        .and_then(text)
        .map(|(_, rest)| rest);
    match rest {
        // Table, column, type, its size and modifier, then plain or binary.
        Some([_, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, 0, 0 | 1]) => Ok(()),
        _ => Err(Malformed("not the description of one column")),
    }
}

/// Whether a CommandComplete tells of one row.
pub fn completes_one(body: &[u8]) -> Result<(), Malformed> {
    match text(body) {
        Some(("SELECT 1" | "INSERT 0 1" | "SHOW", [])) => Ok(()),
        _ => Err(Malformed("not the end of one row")),
    }
}

/// What has to be asked of the far side before it lets in: nothing.
pub fn admitted(body: &[u8]) -> Result<(), Malformed> {
    if body == [0, 0, 0, 0] {
        Ok(())
    } else {
        Err(Malformed("asked for a password"))
    }
}

fn put(out: &mut Chain, tag: u8, parts: &[&[u8]]) {
    let len = 4 + parts.iter().map(|p| p.len()).sum::<usize>();
    out.push(&[tag]);
    out.push(&(len as u32).to_be_bytes());
    parts.iter().for_each(|p| out.push(p));
}

pub fn put_startup(out: &mut Chain) {
    let mut body = VERSION.to_be_bytes().to_vec();
    for (name, value) in PORTAL {
        for text in [name, value] {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
    }
    body.push(0);
    out.push(&(body.len() as u32 + 4).to_be_bytes());
    out.push(&body);
}

pub fn put_query(out: &mut Chain, statement: &[u8]) {
    put(out, b'Q', &[statement, &[0]]);
}

/// A client's statement, with the front's own wait in place of the client's.
pub fn put_statement(out: &mut Chain, statement: &Chain, wait_at: &Range<usize>, wait_ms: u64) {
    let wait = wait_ms.to_string();
    let (before, after) = (
        statement.slices(0..wait_at.start),
        statement.slices(wait_at.end..statement.len()),
    );
    let parts: Vec<&[u8]> = before
        .chain([wait.as_bytes()])
        .chain(after)
        .chain([&[0][..]])
        .collect();
    put(out, b'Q', &parts);
}

pub fn put_welcome(out: &mut Chain) {
    put(out, b'R', &[&[0; 4]]);
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
    ] {
        put(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    put_ready(out);
}

pub fn put_ready(out: &mut Chain) {
    put(out, b'Z', &[b"I"]);
}

pub fn put_empty(out: &mut Chain) {
    put(out, b'I', &[]);
}

pub fn put_error(out: &mut Chain, fatal: bool, code: &str, message: &str, detail: &str) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut body = Vec::new();
    for (kind, value) in [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', message),
        (b'D', detail),
    ] {
        if !value.is_empty() {
            body.push(kind);
            body.extend_from_slice(value.as_bytes());
            body.push(0);
        }
    }
    put(out, b'E', &[&body, &[0]]);
}
