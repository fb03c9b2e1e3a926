//! HTTP/1.1 client codec for discovery and the platform: encodes requests and decodes responses,
//! including endless ones. No I/O.

use crate::buffers::Chain;

/// Maximum length of the status line with all headers.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 32;
/// Maximum length of a chunk-size line.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Maximum length of the buffered part of a body; also the maximum Content-Length.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const CRLF: &[u8] = b"\r\n";

/// Why a response was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The status line or the headers are invalid or too long.
    #[error("invalid or too long response head")]
    InvalidHead,
    /// The Content-Length is not a number.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// The Content-Length or the unconsumed part of the body exceeds the size that [`Response`] can
    /// buffer.
    #[error("response body is too long")]
    BodyTooLong,
    /// The size of a chunk is missing, invalid or too long.
    #[error("missing or invalid chunk size")]
    InvalidChunkSize,
    /// The data of a chunk is not followed by CRLF.
    #[error("chunk is longer than its size")]
    ChunkTooLong,
    /// A line of the trailer section is longer than the longest accepted head.
    #[error("response trailer is too long")]
    TrailerTooLong,
    /// The body is not UTF-8.
    #[error("response body is not UTF-8")]
    NotUtf8,
}

/// Writes a GET request.
pub fn write_get_request(output: &mut Chain, host: &str, path: &str) {
    output.push(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}

/// Writes a POST request with a URL-encoded form as its body.
pub fn write_form_request(output: &mut Chain, host: &str, form: &str) {
    let head = format!(
        "POST / HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: {}\r\n\r\n",
        form.len()
    );
    output.push(head.as_bytes());
    output.push(form.as_bytes());
}

/// The part of a response that is expected next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    /// A body of known length.
    Body {
        remaining_bytes: usize,
    },
    /// A body that ends when the connection closes.
    BodyUntilClose,
    ChunkSize,
    Chunk {
        remaining_bytes: usize,
    },
    ChunkEnd,
    Trailer,
    Complete,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The state has changed; there may be more input for the new state.
    Advanced,
    /// More input is needed to leave the state.
    NeedsInput,
}

/// A response and the state of its decoding.
#[derive(Default)]
pub struct Response {
    state: State,
    /// The status code; 0 until the head has been decoded.
    pub status: u16,
    /// The part of the body that was received and has not been consumed yet.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request once this response is complete.
    pub keep_alive: bool,
}

impl Response {
    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Whether the head has been decoded.
    pub fn has_head(&self) -> bool {
        self.state != State::Head
    }

    /// Whether a stream is between chunks, with no incomplete line of the body buffered.
    pub fn is_between_chunks(&self) -> bool {
        let mid_chunk = matches!(self.state, State::Chunk { .. } | State::ChunkEnd);
        self.body.is_empty() && !mid_chunk
    }

    /// Whether the response is complete now that its connection has closed.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::BodyUntilClose)
    }

    /// Decodes as much of the input as possible.
    ///
    /// # Errors
    ///
    /// The input is invalid or too long. Nothing that follows on the connection can be decoded.
    pub fn read(&mut self, input: &mut Chain) -> Result<(), HttpError> {
        while self.advance(input)? == Progress::Advanced {}
        Ok(())
    }

    fn advance(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        match self.state {
            State::Head => self.read_head(input),
            State::Body { remaining_bytes } => match self.read_body(input, remaining_bytes)? {
                0 => Ok(self.enter(State::Complete)),
                remaining_bytes => {
                    self.state = State::Body { remaining_bytes };
                    Ok(Progress::NeedsInput)
                }
            },
            State::BodyUntilClose => {
                self.read_body(input, input.len())?;
                Ok(Progress::NeedsInput)
            }
            State::ChunkSize => self.read_chunk_size(input),
            State::Chunk { remaining_bytes } => match self.read_body(input, remaining_bytes)? {
                0 => Ok(self.enter(State::ChunkEnd)),
                remaining_bytes => {
                    self.state = State::Chunk { remaining_bytes };
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

    /// Moves up to `wanted_bytes` to the body. Returns how many bytes are still missing.
    fn read_body(&mut self, input: &mut Chain, wanted_bytes: usize) -> Result<usize, HttpError> {
        let available = wanted_bytes.min(input.len());
        if self.body.len() + available > MAX_BODY_BYTES {
            return Err(HttpError::BodyTooLong);
        }
        input.copy_to(0..available, &mut self.body);
        input.skip(available);
        Ok(wanted_bytes - available)
    }

    fn read_head(&mut self, input: &mut Chain) -> Result<Progress, HttpError> {
        let bytes = peek(input, MAX_HEAD_BYTES);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_length = match head.parse(&bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
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
        let line = peek(input, MAX_CHUNK_SIZE_LINE_BYTES);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((line_length, 0))) => {
                input.skip(line_length);
                Ok(self.enter(State::Trailer))
            }
            Ok(httparse::Status::Complete((line_length, size))) => {
                input.skip(line_length);
                let remaining_bytes = size as usize;
                Ok(self.enter(State::Chunk { remaining_bytes }))
            }
            Ok(httparse::Status::Partial) if line.len() < MAX_CHUNK_SIZE_LINE_BYTES => {
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
        let bytes = peek(input, MAX_HEAD_BYTES);
        let mut parts = bytes.splitn(2, |byte| *byte == b'\n');
        let line = parts.next().unwrap_or_default();
        if parts.next().is_none() {
            return if bytes.len() < MAX_HEAD_BYTES {
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

    /// Removes the complete lines from the body and passes each to `on_line`, without its line end.
    ///
    /// # Errors
    ///
    /// The lines are not UTF-8; none of them is passed to `on_line`.
    pub fn take_lines(&mut self, mut on_line: impl FnMut(&str)) -> Result<(), HttpError> {
        let Some(end) = self.body.iter().rposition(|byte| *byte == b'\n') else {
            return Ok(());
        };
        let whole_lines = self.body.get(..end).unwrap_or_default();
        let text = std::str::from_utf8(whole_lines).map_err(|_| HttpError::NotUtf8)?;
        for line in text.split('\n') {
            on_line(line.strip_suffix('\r').unwrap_or(line));
        }
        self.body.drain(..=end);
        Ok(())
    }
}

/// Returns the state that follows the head, which depends on how the length of the body is given.
fn body_state(head: &httparse::Response, status: u16) -> Result<State, HttpError> {
    if header_value(head, "transfer-encoding").is_some_and(|value| value.ends_with("chunked")) {
        return Ok(State::ChunkSize);
    }
    if let Some(length) = header_value(head, "content-length") {
        let remaining_bytes: usize = length
            .parse()
            .map_err(|_| HttpError::InvalidContentLength)?;
        if remaining_bytes > MAX_BODY_BYTES {
            return Err(HttpError::BodyTooLong);
        }
        return Ok(State::Body { remaining_bytes });
    }
    Ok(match status {
        204 | 304 => State::Complete,
        _ => State::BodyUntilClose,
    })
}

/// Returns the value of a header, trimmed and in lower case.
fn header_value(head: &httparse::Response, name: &str) -> Option<String> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    let value = String::from_utf8_lossy(header.value);
    Some(value.trim().to_ascii_lowercase())
}

/// Copies up to `length` bytes from the front of the input, without consuming them.
fn peek(input: &Chain, length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    input.copy_to(0..input.len().min(length), &mut bytes);
    bytes
}
