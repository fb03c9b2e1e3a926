//! Dense table of one value for each index of a given type.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

use crate::types::{EndpointIndex, HardwareClassIndex, RouteIndex};

/// An index type that can address an [`IndexedTable`].
pub(crate) trait TableIndex: Copy {
    /// Returns the position in the table, from 0.
    fn position(self) -> usize;
}

impl TableIndex for EndpointIndex {
    fn position(self) -> usize {
        self.get()
    }
}

impl TableIndex for HardwareClassIndex {
    fn position(self) -> usize {
        self.get()
    }
}

impl TableIndex for RouteIndex {
    fn position(self) -> usize {
        self.get()
    }
}

/// A vector with typed indexes. Indexes are assigned consecutively from 0.
#[derive(Clone, Debug)]
pub(crate) struct IndexedTable<I, T> {
    values: Vec<T>,
    index: PhantomData<I>,
}

impl<I, T> Default for IndexedTable<I, T> {
    fn default() -> Self {
        IndexedTable {
            values: Vec::new(),
            index: PhantomData,
        }
    }
}

impl<I: TableIndex, T> IndexedTable<I, T> {
    /// Creates a table of these values, which have the indexes from 0 on.
    pub(crate) fn from_values(values: Vec<T>) -> Self {
        IndexedTable {
            values,
            index: PhantomData,
        }
    }

    /// Sets the value at an index. The index must be in the table, or the next one after its end.
    pub(crate) fn put(&mut self, index: I, value: T) {
        match self.values.get_mut(index.position()) {
            Some(slot) => *slot = value,
            None => self.values.push(value),
        }
    }

    /// Adds a value at an index unless the table has one there. The index must be in the table, or
    /// the next one after its end.
    pub(crate) fn put_if_absent(&mut self, index: I, value: T) {
        if index.position() >= self.values.len() {
            self.values.push(value);
        }
    }

    /// Returns the value at an index, if there is one.
    pub(crate) fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.values.get_mut(index.position())
    }

    /// Returns all values in the order of their indexes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.values.iter_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }
}

impl<I: TableIndex, T> Index<I> for IndexedTable<I, T> {
    type Output = T;
    fn index(&self, index: I) -> &T {
        &self.values[index.position()]
    }
}

impl<I: TableIndex, T> IndexMut<I> for IndexedTable<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        &mut self.values[index.position()]
    }
}
