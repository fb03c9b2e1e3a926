//! Buffers of one size, reused from a bounded pool, and chains of them that hold messages of any length. No I/O but
//! through the `Read` or `Write` that is passed in.
//!
//! Reading stops where a pool is empty. Writing never does: what has been read may still be answered, or no buffer
//! would ever come back. A pool therefore counts buffers beyond its capacity, but keeps none of them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::ops::Range;
use std::rc::Rc;

/// Bytes in a buffer.
pub const SIZE: usize = 16 * 1024;

/// Buffers in one system call that writes.
const MAX_WRITE_SLICES: usize = 16;

struct PoolState {
    /// Allocated before, and not in use now.
    free: Vec<Box<[u8]>>,
    in_use: usize,
    capacity: usize,
}

/// Where buffers come from and go back to.
#[derive(Clone)]
pub struct Pool(Rc<RefCell<PoolState>>);

impl Pool {
    /// A pool of so many buffers, each allocated when it is needed first.
    pub fn new(capacity: usize) -> Pool {
        Pool(Rc::new(RefCell::new(PoolState {
            free: Vec::new(),
            in_use: 0,
            capacity,
        })))
    }

    /// All buffers are in use: reading must stop.
    pub fn is_empty(&self) -> bool {
        let state = self.0.borrow();
        state.in_use >= state.capacity
    }

    /// More than half of the buffers are left.
    pub fn is_ample(&self) -> bool {
        let state = self.0.borrow();
        state.in_use < state.capacity / 2
    }

    fn take(&self) -> Buffer {
        let mut state = self.0.borrow_mut();
        state.in_use += 1;
        let bytes = state
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

/// One buffer, of which `start..end` is filled. It goes back to its pool when it is dropped.
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

    fn room(&mut self) -> &mut [u8] {
        &mut self.bytes[self.end..]
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        state.in_use -= 1;
        if state.free.len() + state.in_use < state.capacity {
            let bytes = std::mem::take(&mut self.bytes);
            state.free.push(bytes);
        }
    }
}

/// Bytes in order, over as many buffers as they need.
pub struct Chain {
    buffers: VecDeque<Buffer>,
    len: usize,
    pool: Pool,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Nothing more for now.
    Drained,
    /// As much as was asked for; there may be more.
    Enough,
    /// No buffer was left.
    Starved,
    /// The far side has ended its sending.
    Ended,
}

impl Chain {
    /// An empty chain that takes its buffers from this pool.
    pub fn new(pool: &Pool) -> Chain {
        Chain {
            buffers: VecDeque::new(),
            len: 0,
            pool: pool.clone(),
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds no byte.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn is_last_buffer_full(&self) -> bool {
        self.buffers.back().is_none_or(|last| last.end == SIZE)
    }

    /// Adds bytes at the end, also where the pool is empty.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.is_last_buffer_full() {
                self.buffers.push_back(self.pool.take());
            }
            let Some(last) = self.buffers.back_mut() else {
                return;
            };
            let count = bytes.len().min(SIZE - last.end);
            let (now, later) = bytes.split_at(count);
            last.room()[..count].copy_from_slice(now);
            last.end += count;
            self.len += count;
            bytes = later;
        }
    }

    /// The filled parts of a range, in order; what lies beyond the end is left out.
    pub fn slices(&self, range: Range<usize>) -> impl Iterator<Item = &[u8]> {
        let mut offset = 0;
        self.buffers.iter().filter_map(move |buffer| {
            let filled = buffer.filled();
            let start = range.start.max(offset);
            let end = range.end.min(offset + filled.len());
            let slice = (start < end).then(|| &filled[start - offset..end - offset]);
            offset += filled.len();
            slice
        })
    }

    /// Copies a range to the end of `to`.
    pub fn copy(&self, range: Range<usize>, to: &mut Vec<u8>) {
        self.slices(range)
            .for_each(|slice| to.extend_from_slice(slice));
    }

    /// Drops the first `count` bytes, at most as many as there are.
    pub fn skip(&mut self, mut count: usize) {
        self.len -= count;
        while let Some(first) = self.buffers.front_mut() {
            let skipped = count.min(first.end - first.start);
            first.start += skipped;
            count -= skipped;
            if first.start < first.end {
                return;
            }
            self.buffers.pop_front();
        }
    }

    /// Moves the first `count` bytes to the end of another chain.
    pub fn pass(&mut self, count: usize, to: &mut Chain) {
        self.slices(0..count).for_each(|slice| to.push(slice));
        self.skip(count);
    }

    /// Reads until `wanted` bytes are held.
    ///
    /// # Errors
    /// Those of `from`, other than an interruption or that nothing is there for now.
    pub fn fill(&mut self, from: &mut impl Read, wanted: usize) -> io::Result<Fill> {
        while self.len < wanted {
            if self.is_last_buffer_full() {
                if self.pool.is_empty() {
                    return Ok(Fill::Starved);
                }
                self.buffers.push_back(self.pool.take());
            }
            let Some(last) = self.buffers.back_mut() else {
                return Ok(Fill::Starved);
            };
            match from.read(last.room()) {
                Ok(0) => return Ok(Fill::Ended),
                Ok(count) => {
                    last.end += count;
                    self.len += count;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    if last.start == last.end {
                        self.buffers.pop_back();
                    }
                    if error.kind() == ErrorKind::WouldBlock {
                        return Ok(Fill::Drained);
                    }
                    return Err(error);
                }
            }
        }
        Ok(Fill::Enough)
    }

    /// Writes as much as is taken, and drops it.
    ///
    /// # Errors
    /// Those of `to`, other than an interruption or that it takes nothing for now.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            let slices: Vec<IoSlice> = self
                .slices(0..self.len)
                .take(MAX_WRITE_SLICES)
                .map(IoSlice::new)
                .collect();
            match to.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.skip(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
