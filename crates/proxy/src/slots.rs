//! Tables of numbered slots. A number carries its slot's generation, so that what comes late for one that has
//! been given away misses.

use slotmap::{DefaultKey, Key, KeyData, SlotMap};

pub struct Slots<T> {
    table: SlotMap<DefaultKey, T>,
    most: usize,
}

fn key(number: u64) -> DefaultKey {
    KeyData::from_ffi(number).into()
}

impl<T> Slots<T> {
    pub fn new(most: usize) -> Self {
        Slots {
            table: SlotMap::new(),
            most,
        }
    }
    pub fn is_full(&self) -> bool {
        self.table.len() >= self.most
    }
    pub fn used(&self) -> usize {
        self.table.len()
    }
    /// Makes an entry that needs its own number; `None` when the table is full.
    pub fn insert<E>(&mut self, make: impl FnOnce(u64) -> Result<T, E>) -> Option<Result<u64, E>> {
        if self.is_full() {
            return None;
        }
        let made = self.table.try_insert_with_key(|k| make(k.data().as_ffi()));
        Some(made.map(|k| k.data().as_ffi()))
    }
    pub fn get(&self, number: u64) -> Option<&T> {
        self.table.get(key(number))
    }
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.table.get_mut(key(number))
    }
    pub fn remove(&mut self, number: u64) -> Option<T> {
        self.table.remove(key(number))
    }
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.table.iter().map(|(k, t)| (k.data().as_ffi(), t))
    }
}
