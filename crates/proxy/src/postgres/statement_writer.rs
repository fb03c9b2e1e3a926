//! Writing the statement of a client to an endpoint. I/O happens only through the `Write` that the
//! caller passes in.

use std::io::{self, ErrorKind, IoSlice, Write};
use std::ops::Range;
use std::time::Duration;

use super::encoding::message_header;
use crate::buffers::Chain;

/// Maximum number of slices written by one system call. A statement with the largest value takes
/// two calls.
const MAX_WRITE_SLICES: usize = 64;
/// The end of the text in a query.
const TERMINATOR: [u8; 1] = [0];

/// A query with a stored statement that is being written, possibly in several parts. It copies
/// nothing of the statement, so that an endpoint that reads slowly takes no further memory.
pub struct StatementWriter {
    header: Vec<u8>,
    /// The digits that replace the statement's time limit.
    time_limit_digits: String,
    /// The byte range of the time limit's digits in the statement.
    time_limit_range: Range<usize>,
    /// Bytes left to write.
    remaining: usize,
    /// Bytes written so far.
    written: usize,
}

impl StatementWriter {
    /// Starts to write a query with `statement`. `time_limit`, in whole milliseconds, replaces the
    /// digits at `time_limit_range`.
    pub fn new(
        statement: &Chain,
        time_limit_range: Range<usize>,
        time_limit: Duration,
    ) -> StatementWriter {
        let time_limit_digits = time_limit.as_millis().to_string();
        let text_length = statement.len() - time_limit_range.len() + time_limit_digits.len();
        let body_length = text_length + TERMINATOR.len();
        let header = message_header(b'Q', body_length);
        StatementWriter {
            remaining: header.len() + body_length,
            written: 0,
            header,
            time_limit_digits,
            time_limit_range,
        }
    }

    /// Whether the whole query has been written.
    pub fn is_finished(&self) -> bool {
        self.remaining == 0
    }

    /// Writes as much of the query as `to` accepts. `statement` is the one that was passed to
    /// [`StatementWriter::new`].
    ///
    /// # Errors
    /// Any error of `to` except `Interrupted` and `WouldBlock`.
    pub fn write_to(&mut self, statement: &Chain, to: &mut impl Write) -> io::Result<()> {
        while !self.is_finished() {
            match to.write_vectored(&self.next_slices(statement)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.remaining -= count;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Returns the first slices that have not been written.
    fn next_slices<'a>(&'a self, statement: &'a Chain) -> Vec<IoSlice<'a>> {
        let before = statement.slices(0..self.time_limit_range.start);
        let after = statement.slices(self.time_limit_range.end..statement.len());
        let parts = [self.header.as_slice()]
            .into_iter()
            .chain(before)
            .chain([self.time_limit_digits.as_bytes()])
            .chain(after)
            .chain([TERMINATOR.as_slice()]);
        let mut to_skip = self.written;
        let unwritten = parts.filter_map(|part| {
            let skipped = to_skip.min(part.len());
            to_skip -= skipped;
            let rest = &part[skipped..];
            (!rest.is_empty()).then_some(IoSlice::new(rest))
        });
        unwritten.take(MAX_WRITE_SLICES).collect()
    }
}
