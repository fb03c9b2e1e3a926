//! Chains of buffers from a bounded pool.

use std::io::{self, Read};

use tidescale_proxy::buffers::{BUFFER_BYTES, Chain, FillStatus, Pool};

use crate::limited_writer::LimitedWriter;

/// Number of buffers in the pool of a test.
const POOL_CAPACITY: usize = 4;
/// A length in bytes beyond the capacity of the pool, which [`Chain::fill`] can never reach.
const UNREACHABLE_BYTES: usize = 1 << 20;

/// A reader that returns at most `max_read` bytes per call, and `WouldBlock` after the last byte.
struct LimitedReader {
    bytes: Vec<u8>,
    max_read: usize,
}

impl Read for LimitedReader {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if self.bytes.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let count = self.max_read.min(to.len()).min(self.bytes.len());
        to[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes.drain(..count);
        Ok(count)
    }
}

/// A message that fills all buffers of the pool.
fn long_message() -> Vec<u8> {
    (0..3 * BUFFER_BYTES + 100)
        .map(|index| (index % 251) as u8)
        .collect()
}

/// Fills a chain from a [`LimitedReader`] with these bytes.
fn fill(chain: &mut Chain, bytes: Vec<u8>, max_read: usize) -> FillStatus {
    let mut reader = LimitedReader { bytes, max_read };
    chain.fill(&mut reader, UNREACHABLE_BYTES).unwrap()
}

#[test]
fn message_over_several_buffers_is_passed_on_whole_and_returns_them_to_the_pool() {
    let message = long_message();
    for max_read in [1000, BUFFER_BYTES, BUFFER_BYTES + 1, 1 << 20] {
        let pool = Pool::new(POOL_CAPACITY);
        let mut chain = Chain::new(&pool);
        let mut other = Chain::new(&pool);
        let mut writer = LimitedWriter {
            written: Vec::new(),
            capacity: BUFFER_BYTES,
        };

        assert_eq!(
            fill(&mut chain, message.clone(), max_read),
            FillStatus::WouldBlock
        );
        assert_eq!(chain.len(), message.len());
        assert!(pool.is_exhausted());

        // An exhausted pool stops reads, but neither moves between chains nor writes.
        assert_eq!(
            fill(&mut chain, vec![1; BUFFER_BYTES], max_read),
            FillStatus::PoolExhausted
        );
        let received = chain.len();
        chain.move_to(BUFFER_BYTES + 7, &mut other);
        other.write_to(&mut writer).unwrap();
        assert_eq!(other.len(), 7);

        writer.capacity = usize::MAX;
        other.write_to(&mut writer).unwrap();
        chain.write_to(&mut writer).unwrap();
        assert_eq!(writer.written.len(), received);
        assert!(writer.written.starts_with(&message));
        assert!(chain.is_empty() && !pool.is_exhausted());
    }
}

#[test]
fn fill_stops_at_the_wanted_length_and_at_the_end_of_the_input() {
    let mut chain = Chain::new(&Pool::new(POOL_CAPACITY));
    let mut reader = LimitedReader {
        bytes: vec![7; 100],
        max_read: 10,
    };

    assert_eq!(chain.fill(&mut reader, 35).unwrap(), FillStatus::Filled);
    assert_eq!(chain.len(), 40);
    assert_eq!(
        chain.fill(&mut io::empty(), 1000).unwrap(),
        FillStatus::EndOfStream
    );
    assert_eq!(chain.slices(5..38).map(<[u8]>::len).sum::<usize>(), 33);
}
