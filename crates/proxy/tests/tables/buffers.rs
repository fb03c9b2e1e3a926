//! Chains of buffers from a bounded pool.

use std::io::{self, Read, Write};

use tidescale_proxy::buffers::{Chain, Fill, Pool, SIZE};

/// Buffers in the pool of a test.
const POOL_CAPACITY: usize = 4;
/// More bytes than the pool has room for.
const UNREACHABLE_LENGTH: usize = 1 << 20;

/// Returns its bytes in reads of limited length, then `WouldBlock`.
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

/// Accepts bytes up to a capacity, then returns `WouldBlock`.
struct LimitedWriter {
    written: Vec<u8>,
    capacity: usize,
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

/// A message that needs all buffers of the pool.
fn long_message() -> Vec<u8> {
    (0..3 * SIZE + 100)
        .map(|index| (index % 251) as u8)
        .collect()
}

/// Fills a chain from a reader with these bytes.
fn fill(chain: &mut Chain, bytes: Vec<u8>, max_read: usize) -> Fill {
    let mut reader = LimitedReader { bytes, max_read };
    chain.fill(&mut reader, UNREACHABLE_LENGTH).unwrap()
}

#[test]
fn message_over_several_buffers_is_passed_on_whole_and_returns_them_to_the_pool() {
    let message = long_message();
    for max_read in [1000, SIZE, SIZE + 1, 1 << 20] {
        let pool = Pool::new(POOL_CAPACITY);
        let mut chain = Chain::new(&pool);
        let mut other = Chain::new(&pool);
        let mut writer = LimitedWriter {
            written: Vec::new(),
            capacity: SIZE,
        };

        assert_eq!(fill(&mut chain, message.clone(), max_read), Fill::Drained);
        assert_eq!(chain.len(), message.len());
        assert!(pool.is_empty());

        // An empty pool stops reading, but neither passing on nor writing.
        assert_eq!(fill(&mut chain, vec![1; SIZE], max_read), Fill::Starved);
        let received = chain.len();
        chain.pass(SIZE + 7, &mut other);
        other.drain(&mut writer).unwrap();
        assert_eq!(other.len(), 7);

        writer.capacity = usize::MAX;
        other.drain(&mut writer).unwrap();
        chain.drain(&mut writer).unwrap();
        assert_eq!(writer.written.len(), received);
        assert!(writer.written.starts_with(&message));
        assert!(chain.is_empty() && !pool.is_empty());
    }
}

#[test]
fn fill_stops_at_the_wanted_length_and_at_the_end_of_the_input() {
    let mut chain = Chain::new(&Pool::new(POOL_CAPACITY));
    let mut reader = LimitedReader {
        bytes: vec![7; 100],
        max_read: 10,
    };

    assert_eq!(chain.fill(&mut reader, 35).unwrap(), Fill::Enough);
    assert_eq!(chain.len(), 40);
    assert_eq!(chain.fill(&mut io::empty(), 1000).unwrap(), Fill::Ended);
    assert_eq!(chain.slices(5..38).map(<[u8]>::len).sum::<usize>(), 33);
}
