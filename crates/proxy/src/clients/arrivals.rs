//! Arrival times of the bytes of a connection. A request's time limit counts from the arrival of
//! its last byte, also while it is queued behind another request on the same connection. No I/O.

use std::collections::VecDeque;

use tidescale_policy::types::Timestamp;

/// Maximum number of arrivals kept per connection. More are needed only if a client sends a few
/// bytes at a time.
const MAX_ARRIVALS: usize = 256;

/// The number of bytes received up to a point in time.
struct Arrival {
    /// Total since the start of the connection.
    received_bytes: u64,
    at: Timestamp,
}

/// Arrival times of the bytes that were received and not yet consumed.
///
/// Arrivals are ordered by byte count and by time. Once `MAX_ARRIVALS` are kept, later bytes count
/// as received with the last of them: the reported arrival may be too early, but never too late.
#[derive(Default)]
pub struct Arrivals {
    arrivals: VecDeque<Arrival>,
    received_bytes: u64,
    consumed_bytes: u64,
}

impl Arrivals {
    /// Records `count` more bytes, received at `now`.
    pub fn record(&mut self, count: usize, now: Timestamp) {
        if count == 0 {
            return;
        }
        self.received_bytes += count as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full || last.at == now => last.received_bytes = self.received_bytes,
            _ => self.arrivals.push_back(Arrival {
                received_bytes: self.received_bytes,
                at: now,
            }),
        }
    }

    /// Consumes the next `count` bytes. Returns when the last of them was received, or `now` if
    /// that was not recorded.
    pub fn consume(&mut self, count: usize, now: Timestamp) -> Timestamp {
        self.consumed_bytes += count as u64;
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.received_bytes < self.consumed_bytes)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map_or(now, |arrival| arrival.at)
    }
}
