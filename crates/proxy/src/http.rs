//! HTTP/1.1 as spoken beside the main protocol: requests out, answers in, whole or as a stream. No I/O.

use crate::buffers::Chain;

const LONGEST_HEAD: usize = 8 * 1024;
const LONGEST_SIZE_LINE: usize = 256;
/// Of what is not yet taken from a body.
const LONGEST_BODY: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

pub fn get(out: &mut Chain, host: &str, path: &str) {
    out.push(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}

pub fn post_form(out: &mut Chain, host: &str, form: &str) {
    let head = format!(
        "POST / HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: {}\r\n\r\n",
        form.len()
    );
    out.push(head.as_bytes());
    out.push(form.as_bytes());
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    #[default]
    Head,
    /// So much of a body of told length.
    Sized(usize),
    ToTheEnd,
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    Done,
}

/// An answer as far as it has been read.
#[derive(Default)]
pub struct Answer {
    next: Next,
    pub status: u16,
    pub body: Vec<u8>,
    pub keeps_open: bool,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.next == Next::Done
    }
    pub fn has_begun(&self) -> bool {
        self.next != Next::Head
    }
    /// Of a stream: nothing has come in part.
    pub fn is_between(&self) -> bool {
        self.body.is_empty() && !matches!(self.next, Next::Chunk(_) | Next::ChunkEnd)
    }
    /// Told when the connection has ended: whether this answer is whole.
    pub fn ended(&self) -> bool {
        matches!(self.next, Next::Done | Next::ToTheEnd)
    }

    /// Takes what has come.
    pub fn read(&mut self, input: &mut Chain) -> Result<(), Malformed> {
        loop {
            match self.next {
                Next::Head => {
                    let Some(len) = self.head(input)? else {
                        return Ok(());
                    };
                    input.skip(len);
                }
                Next::Sized(left) | Next::Chunk(left) => {
                    let n = left.min(input.len());
                    self.take(input, n)?;
                    self.next = match (self.next, left - n) {
                        (Next::Sized(_), 0) => Next::Done,
                        (Next::Sized(_), left) => Next::Sized(left),
                        (_, 0) => Next::ChunkEnd,
                        (_, left) => Next::Chunk(left),
                    };
                    if left > n {
                        return Ok(());
                    }
                }
                Next::ToTheEnd => return self.take(input, input.len()),
                Next::ChunkSize => {
                    let mut line = Vec::new();
                    input.copy(0..input.len().min(LONGEST_SIZE_LINE), &mut line);
                    match httparse::parse_chunk_size(&line) {
                        Ok(httparse::Status::Complete((used, size))) => {
                            input.skip(used);
                            self.next = if size == 0 {
                                Next::Trailer
                            } else {
                                Next::Chunk(size as usize)
                            };
                        }
                        Ok(httparse::Status::Partial) if line.len() < LONGEST_SIZE_LINE => {
                            return Ok(());
                        }
                        _ => return Err(Malformed("a chunk without its size")),
                    }
                }
                Next::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(());
                    }
                    let mut end = Vec::new();
                    input.copy(0..2, &mut end);
                    if end != b"\r\n" {
                        return Err(Malformed("a chunk longer than told"));
                    }
                    input.skip(2);
                    self.next = Next::ChunkSize;
                }
                Next::Trailer => {
                    let mut line = Vec::new();
                    input.copy(0..input.len().min(LONGEST_HEAD), &mut line);
                    let Some(end) = line.iter().position(|b| *b == b'\n') else {
                        return if line.len() < LONGEST_HEAD {
                            Ok(())
                        } else {
                            Err(Malformed("a trailer too long"))
                        };
                    };
                    input.skip(end + 1);
                    if line[..end].trim_ascii().is_empty() {
                        self.next = Next::Done;
                    }
                }
                Next::Done => return Ok(()),
            }
        }
    }

    fn take(&mut self, input: &mut Chain, n: usize) -> Result<(), Malformed> {
        if self.body.len() + n > LONGEST_BODY {
            return Err(Malformed("a body too long"));
        }
        input.copy(0..n, &mut self.body);
        input.skip(n);
        Ok(())
    }

    fn head(&mut self, input: &Chain) -> Result<Option<usize>, Malformed> {
        let mut bytes = Vec::new();
        input.copy(0..input.len().min(LONGEST_HEAD), &mut bytes);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let used = match head.parse(&bytes) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if bytes.len() < LONGEST_HEAD => return Ok(None),
            _ => return Err(Malformed("not the head of an answer")),
        };
        let value = |name: &str| {
            let header = head
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name));
            header.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
        };
        self.status = head.code.unwrap_or(0);
        self.keeps_open =
            head.version == Some(1) && value("connection").is_none_or(|v| v != "close");
        self.next = if value("transfer-encoding").is_some_and(|v| v.ends_with("chunked")) {
            Next::ChunkSize
        } else if let Some(len) = value("content-length") {
            let len = len
                .parse()
                .map_err(|_| Malformed("a length that is no number"))?;
            if len > LONGEST_BODY {
                return Err(Malformed("a body too long"));
            }
            Next::Sized(len)
        } else if self.status == 204 || self.status == 304 {
            Next::Done
        } else {
            Next::ToTheEnd
        };
        Ok(Some(used))
    }

    /// Takes the whole lines that have come, without their ends.
    pub fn lines(&mut self, mut each: impl FnMut(&str)) -> Result<(), Malformed> {
        let Some(end) = self.body.iter().rposition(|b| *b == b'\n') else {
            return Ok(());
        };
        let text = std::str::from_utf8(&self.body[..end]).map_err(|_| Malformed("not UTF-8"))?;
        text.split('\n')
            .for_each(|line| each(line.strip_suffix('\r').unwrap_or(line)));
        self.body.drain(..=end);
        Ok(())
    }
}
