//! Buffers of one size, used again from a bounded pool; a long message spans several.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::ops::Range;
use std::rc::Rc;

pub const SIZE: usize = 16 * 1024;

struct Shelf {
    free: Vec<Box<[u8]>>,
    out: usize,
    most: usize,
}

/// Where buffers come from and go back to.
#[derive(Clone)]
pub struct Pool(Rc<RefCell<Shelf>>);

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool(Rc::new(RefCell::new(Shelf {
            free: Vec::new(),
            out: 0,
            most,
        })))
    }
    /// Reading must stop; what has been read may still be answered, or nothing would ever come back.
    pub fn is_empty(&self) -> bool {
        let shelf = self.0.borrow();
        shelf.out >= shelf.most
    }
    /// More than half of it is left.
    pub fn is_ample(&self) -> bool {
        let shelf = self.0.borrow();
        shelf.out < shelf.most / 2
    }
    fn take(&self) -> Buffer {
        let mut shelf = self.0.borrow_mut();
        shelf.out += 1;
        let bytes = shelf
            .free
            .pop()
            .unwrap_or_else(|| vec![0; SIZE].into_boxed_slice());
        Buffer {
            bytes,
            start: 0,
            end: 0,
            pool: self.clone(),
        }
    }
}

struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    pool: Pool,
}

impl Buffer {
    fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut shelf = self.pool.0.borrow_mut();
        shelf.out -= 1;
        if shelf.free.len() + shelf.out < shelf.most {
            let bytes = std::mem::take(&mut self.bytes);
            shelf.free.push(bytes);
        }
    }
}

/// Bytes in order, over as many buffers as they need.
pub struct Chain {
    parts: VecDeque<Buffer>,
    len: usize,
    pool: Pool,
}

/// How a read came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Nothing more for now.
    Drained,
    /// As much as was asked for; there may be more.
    Enough,
    /// No buffer was left.
    Starved,
    Ended,
}

impl Chain {
    pub fn new(pool: &Pool) -> Chain {
        Chain {
            parts: VecDeque::new(),
            len: 0,
            pool: pool.clone(),
        }
    }
    pub fn len(&self) -> usize {
        self.len
    }
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.parts.back().is_none_or(|b| b.end == SIZE) {
                self.parts.push_back(self.pool.take());
            }
            let last = self.parts.back_mut().unwrap();
            let n = bytes.len().min(SIZE - last.end);
            last.bytes[last.end..last.end + n].copy_from_slice(&bytes[..n]);
            last.end += n;
            self.len += n;
            bytes = &bytes[n..];
        }
    }

    /// The filled parts of a range, in order.
    pub fn slices(&self, range: Range<usize>) -> impl Iterator<Item = &[u8]> {
        let mut at = 0;
        self.parts.iter().filter_map(move |part| {
            let (from, to) = (range.start.max(at), range.end.min(at + part.filled().len()));
            let cut = (from < to).then(|| &part.filled()[from - at..to - at]);
            at += part.filled().len();
            cut
        })
    }

    /// Copies a range to the end of `to`.
    pub fn copy(&self, range: Range<usize>, to: &mut Vec<u8>) {
        self.slices(range).for_each(|s| to.extend_from_slice(s));
    }

    pub fn skip(&mut self, mut n: usize) {
        self.len -= n;
        while let Some(first) = self.parts.front_mut() {
            let here = n.min(first.end - first.start);
            first.start += here;
            n -= here;
            if first.start < first.end {
                return;
            }
            self.parts.pop_front();
        }
    }

    /// Moves the first `n` bytes to the end of another chain.
    pub fn pass(&mut self, n: usize, to: &mut Chain) {
        self.slices(0..n).for_each(|s| to.push(s));
        self.skip(n);
    }

    /// Reads until `most` bytes are held.
    pub fn fill(&mut self, from: &mut impl Read, most: usize) -> io::Result<Fill> {
        while self.len < most {
            if self.parts.back().is_none_or(|b| b.end == SIZE) {
                if self.pool.is_empty() {
                    return Ok(Fill::Starved);
                }
                self.parts.push_back(self.pool.take());
            }
            let last = self.parts.back_mut().unwrap();
            let read = from.read(&mut last.bytes[last.end..]);
            if let Ok(n) = read {
                last.end += n;
                self.len += n;
            }
            let idle = last.start == last.end;
            match read {
                Ok(0) => return Ok(Fill::Ended),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    if idle {
                        self.parts.pop_back();
                    }
                    return if e.kind() == ErrorKind::WouldBlock {
                        Ok(Fill::Drained)
                    } else {
                        Err(e)
                    };
                }
            }
        }
        Ok(Fill::Enough)
    }

    /// Writes as much as is taken.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            let slices: Vec<IoSlice> = self
                .slices(0..self.len)
                .take(16)
                .map(IoSlice::new)
                .collect();
            match to.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.skip(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
