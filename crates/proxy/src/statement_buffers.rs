//! Memory for the statements of pending requests, which are kept for retries until the last attempt
//! has ended. No I/O.

use crate::buffers::{Chain, Pool};

/// Size in bytes of a buffer for statements. A statement without a large value fits into one.
pub const STATEMENT_BUFFER_BYTES: usize = 2 * 1024;

/// Bounded memory for statements. Statements that do not fit are not stored.
///
/// A part of the memory is reserved for statements that fit into one buffer, so that large
/// statements cannot keep them out.
pub struct StatementBuffers {
    pool: Pool,
    /// Number of buffers that only statements of one buffer may take.
    reserve: usize,
}

impl StatementBuffers {
    /// Creates memory of `memory_bytes`, in which `reserve` statements of one buffer have room
    /// however many larger ones are stored.
    pub fn new(memory_bytes: usize, reserve: usize) -> StatementBuffers {
        let capacity = memory_bytes / STATEMENT_BUFFER_BYTES;
        StatementBuffers {
            pool: Pool::with_buffer_bytes(capacity, STATEMENT_BUFFER_BYTES),
            reserve,
        }
    }

    /// Returns the size of the memory in bytes.
    pub fn capacity_bytes(&self) -> usize {
        self.pool.capacity_bytes()
    }

    /// Stores a copy of a statement. Returns `None` if it does not fit. Dropping the copy frees its
    /// memory.
    pub fn store(&self, statement: &str) -> Option<Chain> {
        let needed = statement.len().div_ceil(STATEMENT_BUFFER_BYTES);
        let reserve = if needed > 1 { self.reserve } else { 0 };
        if needed + reserve > self.pool.available() {
            return None;
        }
        let mut stored = Chain::new(&self.pool);
        stored.push(statement.as_bytes());
        Some(stored)
    }
}
