//! Which connections an event-loop iteration reads, in which order, and how much it may read from
//! all of them. No I/O.

use std::collections::BTreeSet;

use crate::ids::ClientKey;

/// Number of bytes after which an iteration reads from no further client. Endpoints are read once
/// in each iteration, so that their responses would wait behind large messages of many clients.
pub const MAX_BYTES_PER_ITERATION: usize = 1024 * 1024;

/// The connections to read. A connection that is in several lists, or several times in one, is
/// read once.
#[derive(Default)]
pub struct ReadSchedule {
    /// Connections whose read stopped because the buffer pool was exhausted, in the order of their
    /// waiting.
    waiting_for_buffers: Vec<ClientKey>,
    /// Connections that the last iteration did not get to, in their order.
    postponed: Vec<ClientKey>,
    /// Connections that became ready, or that may have more input.
    scheduled: Vec<ClientKey>,
    /// Bytes read in the current iteration.
    bytes_read: usize,
}

impl ReadSchedule {
    /// Schedules a connection for this iteration, or for the next one if this one has already taken
    /// its connections.
    pub fn schedule(&mut self, key: ClientKey) {
        self.scheduled.push(key);
    }

    /// Schedules a connection for the time when buffers are free.
    pub fn wait_for_buffers(&mut self, key: ClientKey) {
        self.waiting_for_buffers.push(key);
    }

    /// Whether a connection waits for buffers.
    pub fn waits_for_buffers(&self, key: ClientKey) -> bool {
        self.waiting_for_buffers.contains(&key)
    }

    /// Whether a connection can be read now, given whether buffers are free.
    pub fn has_work(&self, buffers_are_free: bool) -> bool {
        let has_waiting = !self.waiting_for_buffers.is_empty() && buffers_are_free;
        has_waiting || !self.postponed.is_empty() || !self.scheduled.is_empty()
    }

    /// Takes the connections of an iteration. Those that wait for buffers come first, so that new
    /// connections do not take the buffers that were freed for them, then those postponed.
    pub fn take(&mut self) -> Vec<ClientKey> {
        self.bytes_read = 0;
        self.scheduled.sort_unstable();
        let mut keys = std::mem::take(&mut self.waiting_for_buffers);
        keys.append(&mut self.postponed);
        keys.append(&mut self.scheduled);
        let mut taken = BTreeSet::new();
        keys.retain(|key| taken.insert(*key));
        keys
    }

    /// Records bytes read in the current iteration, kept or discarded.
    pub fn record_read(&mut self, bytes: usize) {
        self.bytes_read += bytes;
    }

    /// Whether the current iteration may read from another connection.
    pub fn may_read_more(&self) -> bool {
        self.bytes_read < MAX_BYTES_PER_ITERATION
    }

    /// Leaves connections to the next iteration.
    pub fn postpone(&mut self, keys: impl IntoIterator<Item = ClientKey>) {
        self.postponed.extend(keys);
    }
}
