//! Bounded tables whose entries are identified by generational keys.
//!
//! A key includes the generation of its slot: once its entry has been removed, the key finds
//! nothing, even if the slot has been reused.

use std::marker::PhantomData;

use slotmap::{DefaultKey, Key as _, KeyData, SlotMap};

use crate::ids::SlotKey;

/// A table of entries by key, with a fixed capacity. Each table may have a key type of its own.
pub struct Slots<T, Key = SlotKey> {
    table: SlotMap<DefaultKey, T>,
    capacity: usize,
    key: PhantomData<Key>,
}

fn to_table_key(key: impl Into<SlotKey>) -> DefaultKey {
    KeyData::from_ffi(key.into().get()).into()
}

fn from_table_key<Key: From<SlotKey>>(key: DefaultKey) -> Key {
    SlotKey::new(key.data().as_ffi()).into()
}

impl<T, Key: From<SlotKey> + Into<SlotKey>> Slots<T, Key> {
    /// Creates an empty table for at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Slots {
            table: SlotMap::new(),
            capacity,
            key: PhantomData,
        }
    }

    /// Whether the table has reached its capacity.
    pub fn is_full(&self) -> bool {
        self.table.len() >= self.capacity
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.table.len()
    }

    /// Inserts the entry that `make` creates from its new key. Returns the key or the error of
    /// `make`, or `None` if the table is full.
    pub fn insert<E>(&mut self, make: impl FnOnce(Key) -> Result<T, E>) -> Option<Result<Key, E>> {
        if self.is_full() {
            return None;
        }
        let inserted = self
            .table
            .try_insert_with_key(|key| make(from_table_key(key)));
        Some(inserted.map(from_table_key))
    }

    /// Returns the entry with this key.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.table.get(to_table_key(key))
    }

    /// Returns a mutable reference to the entry with this key.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.table.get_mut(to_table_key(key))
    }

    /// Removes the entry with this key and returns it.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.table.remove(to_table_key(key))
    }

    /// Returns all entries with their keys, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.table
            .iter()
            .map(|(key, entry)| (from_table_key(key), entry))
    }
}
