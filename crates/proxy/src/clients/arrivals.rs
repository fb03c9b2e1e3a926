//! When the bytes of a connection were received. The time of a request starts with its last byte,
//! even while it waits behind another request of the same connection. No I/O.

use std::collections::VecDeque;

use tidescale_policy::types::Timestamp;

/// Most arrival times kept for one connection. More are needed only if a client sends a few bytes
/// at a time.
const MAX_MARKS: usize = 256;

/// Bytes received until one time.
struct Mark {
    /// All bytes received by then, since the start of the connection.
    received: u64,
    at: Timestamp,
}

/// Arrival times of the bytes that were received and not yet used.
///
/// Marks are in the order of both bytes and time. Bytes received after the last possible mark count
/// as received at that mark, so that the time of a request may start too early but never too late.
#[derive(Default)]
pub struct Arrivals {
    marks: VecDeque<Mark>,
    received: u64,
    used: u64,
}

impl Arrivals {
    /// Records that `count` more bytes were received.
    pub fn record(&mut self, count: usize, now: Timestamp) {
        if count == 0 {
            return;
        }
        self.received += count as u64;
        let is_full = self.marks.len() >= MAX_MARKS;
        match self.marks.back_mut() {
            Some(last) if is_full || last.at == now => last.received = self.received,
            _ => self.marks.push_back(Mark {
                received: self.received,
                at: now,
            }),
        }
    }

    /// Uses the next `count` bytes. Returns when the last of them was received, or `now` if that is
    /// unknown.
    pub fn take(&mut self, count: usize, now: Timestamp) -> Timestamp {
        self.used += count as u64;
        while self
            .marks
            .front()
            .is_some_and(|mark| mark.received < self.used)
        {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |mark| mark.at)
    }
}
