//! A map with one value for each evidence test.

use std::ops::{Index, IndexMut};

use crate::types::EvidenceTest;

const TEST_COUNT: usize = EvidenceTest::ALL.len();

/// Maps every [`EvidenceTest`] to a value. There is always a value for each test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceTestMap<T> {
    values: [T; TEST_COUNT],
}

impl<T> EvidenceTestMap<T> {
    /// Creates the map from values in the order of [`EvidenceTest::ALL`].
    pub const fn new(values: [T; TEST_COUNT]) -> Self {
        EvidenceTestMap { values }
    }

    /// Returns the values in the order of [`EvidenceTest::ALL`].
    pub fn as_slice(&self) -> &[T] {
        &self.values
    }
}

impl<T> Index<EvidenceTest> for EvidenceTestMap<T> {
    type Output = T;
    fn index(&self, test: EvidenceTest) -> &T {
        &self.values[test.index()]
    }
}

impl<T> IndexMut<EvidenceTest> for EvidenceTestMap<T> {
    fn index_mut(&mut self, test: EvidenceTest) -> &mut T {
        &mut self.values[test.index()]
    }
}
