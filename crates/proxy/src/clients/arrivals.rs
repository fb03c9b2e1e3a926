//! When the bytes of a connection were received. The time of a request starts with its last byte,
//! even while it waits behind another request of the same connection. No I/O.

use std::collections::VecDeque;

use tidescale_policy::types::Timestamp;

/// Most arrival times kept for one connection. More are needed only if a client sends a few bytes
/// at a time.
const MAX_ARRIVALS: usize = 256;

/// Bytes received until one time.
struct Arrival {
    /// All bytes received by then, since the start of the connection.
    received: u64,
    at: Timestamp,
}

/// Arrival times of the bytes that were received and not yet used.
///
/// Arrivals are in the order of both bytes and time. Once [`MAX_ARRIVALS`] are kept, further bytes
/// count as received with the last of them, so that the time of a request may start too early but
/// never too late.
#[derive(Default)]
pub struct Arrivals {
    arrivals: VecDeque<Arrival>,
    received: u64,
    consumed: u64,
}

impl Arrivals {
    /// Records that `count` more bytes were received.
    pub fn record(&mut self, count: usize, now: Timestamp) {
        if count == 0 {
            return;
        }
        self.received += count as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full || last.at == now => last.received = self.received,
            _ => self.arrivals.push_back(Arrival {
                received: self.received,
                at: now,
            }),
        }
    }

    /// Uses the next `count` bytes. Returns when the last of them was received, or `now` if that is
    /// unknown.
    pub fn consume(&mut self, count: usize, now: Timestamp) -> Timestamp {
        self.consumed += count as u64;
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.received < self.consumed)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map_or(now, |arrival| arrival.at)
    }
}
