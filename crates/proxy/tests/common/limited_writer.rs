//! A writer that blocks, as a socket does whose peer reads slowly.

use std::io::{self, Write};

/// A writer that accepts `capacity` bytes in total, and then returns `WouldBlock`.
pub struct LimitedWriter {
    pub written: Vec<u8>,
    pub capacity: usize,
}

impl Write for LimitedWriter {
    fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        let count = from.len().min(self.capacity - self.written.len());
        self.written.extend_from_slice(&from[..count]);
        if count == 0 {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(count)
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
