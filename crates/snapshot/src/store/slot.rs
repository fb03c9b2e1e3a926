//! The two files of a store, one for each generation.

/// One of the two files, each of which holds one generation. The next snapshot replaces the older
/// generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// The file that the first snapshot of a directory is written to.
    First,
    /// The file that the second snapshot of a directory is written to.
    Second,
}

impl Slot {
    /// Both slots, in the order in which they are read.
    pub(super) const BOTH: [Slot; 2] = [Slot::First, Slot::Second];

    pub(super) const fn file_name(self) -> &'static str {
        match self {
            Slot::First => "memory.0",
            Slot::Second => "memory.1",
        }
    }

    /// Returns the slot of the other generation.
    pub(super) const fn other(self) -> Slot {
        match self {
            Slot::First => Slot::Second,
            Slot::Second => Slot::First,
        }
    }
}
