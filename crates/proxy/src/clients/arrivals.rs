//! When the bytes of a connection came. A request's time runs from the arrival of its last byte, also while it waits
//! behind another request. No I/O.

use std::collections::VecDeque;

use tidescale_policy::types::Timestamp;

/// So many arrival times are kept for one connection; more come only where a client sends a few bytes at a time.
const MAX_MARKS: usize = 256;

/// Bytes that came by one time.
struct Mark {
    /// All bytes that had come by then, counted from the connection's first.
    received: u64,
    at: Timestamp,
}

/// Arrival times of the bytes that a connection has received and not yet used.
///
/// Marks are in order of both bytes and time, and there are at most 256 of them: what comes beyond that counts as come
/// with the last mark, so that a request's time may start too early but never too late.
#[derive(Default)]
pub struct Arrivals {
    marks: VecDeque<Mark>,
    received: u64,
    used: u64,
}

impl Arrivals {
    /// Notes that so many more bytes have come.
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

    /// Uses up the next `count` bytes and gives the time at which the last of them came; `now` where that is unknown.
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
