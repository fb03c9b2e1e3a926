//! HTTP/1.1 as spoken to discovery and the platform: requests out, responses in, whole or as a stream. No I/O.

use crate::buffers::Chain;

const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 32;
const MAX_CHUNK_SIZE_LINE: usize = 256;
/// Of what has not been taken from a body yet.
const MAX_BODY: usize = 4 * 1024 * 1024;
const CRLF: &[u8] = b"\r\n";

/// Why a response cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No status line or headers, or too many of them.
    #[error("not the head of a response")]
    InvalidHead,
    /// The content length is no number.
    #[error("a content length that is no number")]
    InvalidContentLength,
    /// The body is longer than [`Response`] holds.
    #[error("a body too long")]
    BodyTooLong,
    /// A chunk does not begin with its size.
    #[error("a chunk without its size")]
    InvalidChunkSize,
    /// A chunk does not end where its size says.
    #[error("a chunk longer than its size")]
    ChunkTooLong,
    /// The trailer is longer than a head may be.
    #[error("a trailer too long")]
    TrailerTooLong,
    /// The body's lines are not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
}

/// Writes a GET request.
pub fn put_get(output: &mut Chain, host: &str, path: &str) {
    output.push(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}

/// Writes a POST request with a form.
pub fn put_form(output: &mut Chain, host: &str, form: &str) {
    let head = format!(
        "POST / HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: {}\r\n\r\n",
        form.len()
    );
    output.push(head.as_bytes());
    output.push(form.as_bytes());
}

/// What is expected next of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    /// The rest of a body whose length is known.
    Body {
        remaining: usize,
    },
    /// A body that ends with the connection.
    BodyUntilClose,
    ChunkSize,
    Chunk {
        remaining: usize,
    },
    ChunkEnd,
    Trailer,
    Complete,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The state has changed; there may be more to read in the new one.
    Advanced,
    /// The state stays until more bytes come.
    NeedsInput,
}

/// A response as far as it has been read.
#[derive(Default)]
pub struct Response {
    state: State,
    /// The status code; 0 until the head has been read.
    pub status: u16,
    /// What has come of the body and has not been taken.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request once this response is complete.
    pub keep_alive: bool,
}

impl Response {
    /// The response has been read whole.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// The head has been read.
    pub fn has_head(&self) -> bool {
        self.state != State::Head
    }

    /// Of a stream: nothing has come in part.
    pub fn is_between_chunks(&self) -> bool {
        let mid_chunk = matches!(self.state, State::Chunk { .. } | State::ChunkEnd);
        self.body.is_empty() && !mid_chunk
    }

    /// Whether the response is whole, given that its connection has ended.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::BodyUntilClose)
    }

    /// Takes what has come.
    ///
    /// # Errors
    ///
    /// Where it is not HTTP or too long; nothing that follows can be read then.
    pub fn read(&mut self, input: &mut Chain) -> Result<(), HttpError> {
        while self.advance(input)? == Progress::Advanced {}
        Ok(())
    }

    fn advance(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        match self.state {
            State::Head => self.read_head(input),
            State::Body { remaining } => match self.read_body(input, remaining)? {
                0 => Ok(self.enter(State::Complete)),
                remaining => {
                    self.state = State::Body { remaining };
                    Ok(Progress::NeedsInput)
                }
            },
            State::BodyUntilClose => {
                self.read_body(input, input.len())?;
                Ok(Progress::NeedsInput)
            }
            State::ChunkSize => self.read_chunk_size(input),
            State::Chunk { remaining } => match self.read_body(input, remaining)? {
                0 => Ok(self.enter(State::ChunkEnd)),
                remaining => {
                    self.state = State::Chunk { remaining };
                    Ok(Progress::NeedsInput)
                }
            },
            State::ChunkEnd => self.read_chunk_end(input),
            State::Trailer => self.read_trailer_line(input),
            State::Complete => Ok(Progress::NeedsInput),
        }
    }

    fn enter(&mut self, state: State) -> Progress {
        self.state = state;
        Progress::Advanced
    }

    /// Takes up to `wanted` bytes of the body; returns how many are still missing.
    fn read_body(&mut self, input: &mut Chain, wanted: usize) -> Result<usize, HttpError> {
        let available = wanted.min(input.len());
        if self.body.len() + available > MAX_BODY {
            return Err(HttpError::BodyTooLong);
        }
        input.copy(0..available, &mut self.body);
        input.skip(available);
        Ok(wanted - available)
    }

    fn read_head(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        let bytes = peek(input, MAX_HEAD);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_length = match head.parse(&bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => {
                return Ok(Progress::NeedsInput);
            }
            _ => return Err(HttpError::InvalidHead),
        };
        let is_http_1_1 = head.version == Some(1);
        let closes = header_value(&head, "connection").is_some_and(|value| value == "close");
        self.status = head.code.unwrap_or(0);
        self.keep_alive = is_http_1_1 && !closes;
        let next = body_state(&head, self.status)?;
        input.skip(head_length);
        Ok(self.enter(next))
    }

    fn read_chunk_size(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        let line = peek(input, MAX_CHUNK_SIZE_LINE);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((line_length, 0))) => {
                input.skip(line_length);
                Ok(self.enter(State::Trailer))
            }
            Ok(httparse::Status::Complete((line_length, size))) => {
                input.skip(line_length);
                let remaining = size as usize;
                Ok(self.enter(State::Chunk { remaining }))
            }
            Ok(httparse::Status::Partial) if line.len() < MAX_CHUNK_SIZE_LINE => {
                Ok(Progress::NeedsInput)
            }
            _ => Err(HttpError::InvalidChunkSize),
        }
    }

    fn read_chunk_end(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        if input.len() < CRLF.len() {
            return Ok(Progress::NeedsInput);
        }
        if peek(input, CRLF.len()) != CRLF {
            return Err(HttpError::ChunkTooLong);
        }
        input.skip(CRLF.len());
        Ok(self.enter(State::ChunkSize))
    }

    fn read_trailer_line(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        let bytes = peek(input, MAX_HEAD);
        let mut parts = bytes.splitn(2, |byte| *byte == b'\n');
        let line = parts.next().unwrap_or_default();
        if parts.next().is_none() {
            return if bytes.len() < MAX_HEAD {
                Ok(Progress::NeedsInput)
            } else {
                Err(HttpError::TrailerTooLong)
            };
        }
        input.skip(line.len() + 1);
        let is_last = line.trim_ascii().is_empty();
        Ok(self.enter(if is_last {
            State::Complete
        } else {
            State::Trailer
        }))
    }

    /// Takes the whole lines that have come of the body, without their ends.
    ///
    /// # Errors
    ///
    /// Where they are not UTF-8; none of them is handed over then.
    pub fn take_lines(&mut self, mut each: impl FnMut(&str)) -> Result<(), HttpError> {
        let Some(end) = self.body.iter().rposition(|byte| *byte == b'\n') else {
            return Ok(());
        };
        let whole_lines = self.body.get(..end).unwrap_or_default();
        let text = std::str::from_utf8(whole_lines).map_err(|_| HttpError::NotUtf8)?;
        for line in text.split('\n') {
            each(line.strip_suffix('\r').unwrap_or(line));
        }
        self.body.drain(..=end);
        Ok(())
    }
}

/// What follows a head.
fn body_state(head: &httparse::Response, status: u16) -> Result<State, HttpError> {
    if header_value(head, "transfer-encoding").is_some_and(|value| value.ends_with("chunked")) {
        return Ok(State::ChunkSize);
    }
    if let Some(length) = header_value(head, "content-length") {
        let remaining: usize = length
            .parse()
            .map_err(|_| HttpError::InvalidContentLength)?;
        if remaining > MAX_BODY {
            return Err(HttpError::BodyTooLong);
        }
        return Ok(State::Body { remaining });
    }
    Ok(match status {
        204 | 304 => State::Complete,
        _ => State::BodyUntilClose,
    })
}

/// A header's value in lower case.
fn header_value(head: &httparse::Response, name: &str) -> Option<String> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    let value = String::from_utf8_lossy(header.value);
    Some(value.trim().to_ascii_lowercase())
}

/// Copies up to so many bytes from the front of the input.
fn peek(input: &Chain, length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    input.copy(0..input.len().min(length), &mut bytes);
    bytes
}
