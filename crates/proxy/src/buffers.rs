//! Fixed-size buffers, reused from a bounded pool, and chains of buffers that hold messages of any
//! length. I/O happens only through the `Read` or `Write` that the caller passes in.
//!
//! Reading stops when the pool is exhausted. Writing may exceed the capacity of the pool: a request
//! that was read must get a response, at least a short error, or its buffers would never be
//! returned. Buffers beyond the capacity are counted while they are in use, and freed when they are
//! returned. Before a long message, the writer asks [`Pool::has_room_for`].

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::ops::Range;
use std::rc::Rc;

/// Size in bytes of a buffer for input.
pub const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of buffers written by one system call.
const MAX_WRITE_SLICES: usize = 64;

/// The capacity of a pool divided by this is the size of its reserve.
const RESERVE_DIVISOR: usize = 4;

struct PoolState {
    /// Allocated buffers that can be reused.
    free: Vec<Box<[u8]>>,
    in_use: usize,
    capacity: usize,
    /// Size of each buffer in bytes.
    buffer_bytes: usize,
}

/// A bounded pool of buffers.
#[derive(Clone)]
pub struct Pool(Rc<RefCell<PoolState>>);

impl Pool {
    /// Creates a pool of `capacity` buffers of [`BUFFER_BYTES`], each allocated when it is first
    /// needed.
    pub fn new(capacity: usize) -> Pool {
        Pool::with_buffer_bytes(capacity, BUFFER_BYTES)
    }

    /// Creates a pool of `capacity` buffers of `buffer_bytes`, each allocated when it is first
    /// needed.
    pub fn with_buffer_bytes(capacity: usize, buffer_bytes: usize) -> Pool {
        Pool(Rc::new(RefCell::new(PoolState {
            free: Vec::new(),
            in_use: 0,
            capacity,
            buffer_bytes,
        })))
    }

    /// Returns the size of all buffers together in bytes.
    pub fn capacity_bytes(&self) -> usize {
        let state = self.0.borrow();
        state.capacity * state.buffer_bytes
    }

    /// Returns the number of buffers that are not in use.
    pub fn available(&self) -> usize {
        let state = self.0.borrow();
        state.capacity.saturating_sub(state.in_use)
    }

    /// Whether all buffers are in use, so that reading has to stop.
    pub fn is_exhausted(&self) -> bool {
        let state = self.0.borrow();
        state.in_use >= state.capacity
    }

    /// Whether a message of this length can be written without exceeding the capacity. A message
    /// that fits into one buffer may always be written.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        let state = self.0.borrow();
        let needed = bytes.div_ceil(state.buffer_bytes);
        needed <= 1 || state.in_use + needed <= state.capacity
    }

    /// Whether more than half of the buffers are free.
    pub fn is_mostly_free(&self) -> bool {
        let state = self.0.borrow();
        state.in_use < state.capacity / 2
    }

    /// Whether more than the buffers of the reserve are free. The reserve is for input that can be
    /// handled at once, and not for read-ahead.
    pub fn has_more_than_reserve(&self) -> bool {
        let state = self.0.borrow();
        let reserve = state.capacity / RESERVE_DIVISOR;
        state.in_use + reserve < state.capacity
    }

    fn acquire(&self) -> Buffer {
        let mut state = self.0.borrow_mut();
        state.in_use += 1;
        let buffer_bytes = state.buffer_bytes;
        let bytes = state
            .free
            .pop()
            .unwrap_or_else(|| vec![0; buffer_bytes].into_boxed_slice());
        Buffer {
            bytes,
            start: 0,
            end: 0,
            pool: self.clone(),
        }
    }
}

/// A buffer with data in `start..end`. Dropping it returns it to its pool.
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

    fn unfilled(&mut self) -> &mut [u8] {
        &mut self.bytes[self.end..]
    }

    fn is_full(&self) -> bool {
        self.end == self.bytes.len()
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

/// A queue of bytes, stored in as many buffers as it needs.
pub struct Chain {
    buffers: VecDeque<Buffer>,
    len: usize,
    pool: Pool,
}

/// Why [`Chain::fill`] stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillStatus {
    /// No more bytes are available for now.
    WouldBlock,
    /// The chain holds the requested number of bytes. There may be more to read.
    Filled,
    /// The pool has no free buffer.
    PoolExhausted,
    /// The peer has finished sending.
    EndOfStream,
}

impl Chain {
    /// Creates an empty chain that takes its buffers from `pool`.
    pub fn new(pool: &Pool) -> Chain {
        Chain {
            buffers: VecDeque::new(),
            len: 0,
            pool: pool.clone(),
        }
    }

    /// Returns the number of bytes in the chain.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the chain holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn is_last_buffer_full(&self) -> bool {
        self.buffers.back().is_none_or(Buffer::is_full)
    }

    /// Appends bytes, even if the pool is exhausted.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.is_last_buffer_full() {
                self.buffers.push_back(self.pool.acquire());
            }
            let Some(last) = self.buffers.back_mut() else {
                return;
            };
            let count = bytes.len().min(last.unfilled().len());
            let (fitting, rest) = bytes.split_at(count);
            last.unfilled()[..count].copy_from_slice(fitting);
            last.end += count;
            self.len += count;
            bytes = rest;
        }
    }

    /// Returns the contiguous parts of a byte range, in order. A range beyond the end is truncated.
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

    /// Appends a copy of a byte range to `to`. A range beyond the end is truncated.
    pub fn copy_to(&self, range: Range<usize>, to: &mut Vec<u8>) {
        self.slices(range)
            .for_each(|slice| to.extend_from_slice(slice));
    }

    /// Removes the first `count` bytes. The chain must hold at least that many.
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
    pub fn move_to(&mut self, count: usize, to: &mut Chain) {
        self.slices(0..count).for_each(|slice| to.push(slice));
        self.skip(count);
    }

    /// Reads until the chain holds at least `wanted_bytes`, or until reading has to stop for
    /// another reason. Returns the reason.
    ///
    /// # Errors
    /// Any error of `from` except `Interrupted` and `WouldBlock`.
    pub fn fill(&mut self, from: &mut impl Read, wanted_bytes: usize) -> io::Result<FillStatus> {
        while self.len < wanted_bytes {
            if self.is_last_buffer_full() {
                if self.pool.is_exhausted() {
                    return Ok(FillStatus::PoolExhausted);
                }
                self.buffers.push_back(self.pool.acquire());
            }
            let Some(last) = self.buffers.back_mut() else {
                return Ok(FillStatus::PoolExhausted);
            };
            match from.read(last.unfilled()) {
                Ok(0) => return Ok(FillStatus::EndOfStream),
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
                        return Ok(FillStatus::WouldBlock);
                    }
                    return Err(error);
                }
            }
        }
        Ok(FillStatus::Filled)
    }

    /// Writes as many bytes as `to` accepts, and removes them from the chain.
    ///
    /// # Errors
    /// Any error of `to` except `Interrupted` and `WouldBlock`.
    pub fn write_to(&mut self, to: &mut impl Write) -> io::Result<()> {
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
