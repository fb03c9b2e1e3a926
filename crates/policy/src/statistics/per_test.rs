//! A container with one value for each test of a build.

use std::ops::{Index, IndexMut};

use crate::types::EvidenceTest;

const TEST_COUNT: usize = EvidenceTest::ALL.len();

/// One value for each [`EvidenceTest`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerTest<T> {
    values: [T; TEST_COUNT],
}

impl<T> PerTest<T> {
    /// Creates the container from values in the order of [`EvidenceTest::ALL`].
    pub const fn new(values: [T; TEST_COUNT]) -> Self {
        PerTest { values }
    }

    /// Returns the values in the order of [`EvidenceTest::ALL`].
    pub fn as_slice(&self) -> &[T] {
        &self.values
    }
}

impl<T> Index<EvidenceTest> for PerTest<T> {
    type Output = T;
    fn index(&self, test: EvidenceTest) -> &T {
        &self.values[test.index()]
    }
}

impl<T> IndexMut<EvidenceTest> for PerTest<T> {
    fn index_mut(&mut self, test: EvidenceTest) -> &mut T {
        &mut self.values[test.index()]
    }
}
