//! Tables of numbered slots.
//!
//! A number carries its slot's generation, so that what comes late for an entry that has been removed misses it, also
//! when its slot is in use again. A table never holds more than its capacity.

use slotmap::{DefaultKey, Key, KeyData, SlotMap};

/// A table of entries by number.
pub struct Slots<T> {
    table: SlotMap<DefaultKey, T>,
    capacity: usize,
}

fn slot_key(number: u64) -> DefaultKey {
    KeyData::from_ffi(number).into()
}

impl<T> Slots<T> {
    /// An empty table for at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Slots {
            table: SlotMap::new(),
            capacity,
        }
    }

    /// Whether it holds as many entries as it may.
    pub fn is_full(&self) -> bool {
        self.table.len() >= self.capacity
    }

    /// Number of entries.
    pub fn used(&self) -> usize {
        self.table.len()
    }

    /// Makes an entry that needs its own number, and gives that number; `None` when the table is full.
    pub fn insert<E>(&mut self, make: impl FnOnce(u64) -> Result<T, E>) -> Option<Result<u64, E>> {
        if self.is_full() {
            return None;
        }
        let inserted = self
            .table
            .try_insert_with_key(|key| make(key.data().as_ffi()));
        Some(inserted.map(|key| key.data().as_ffi()))
    }

    /// The entry with this number.
    pub fn get(&self, number: u64) -> Option<&T> {
        self.table.get(slot_key(number))
    }

    /// The entry with this number, to change it.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.table.get_mut(slot_key(number))
    }

    /// Takes the entry with this number out.
    pub fn remove(&mut self, number: u64) -> Option<T> {
        self.table.remove(slot_key(number))
    }

    /// All entries with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.table
            .iter()
            .map(|(key, entry)| (key.data().as_ffi(), entry))
    }
}
