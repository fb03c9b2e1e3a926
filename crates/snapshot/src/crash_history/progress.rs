//! Tracks the saves of a history and checks which snapshot the store returns after a power loss.

use thiserror::Error;

use super::records_of;
use crate::format::Snapshot;

/// A violation of the store's guarantees. Snapshots are identified by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// No snapshot was read back although this one was reported as saved.
    #[error("snapshot {0} is lost")]
    Lost(u64),
    /// The snapshot that was read back is neither the last one that was reported as saved nor one
    /// whose save began later.
    #[error("snapshot {read_back} was read back, but {saved} was the last one saved")]
    WrongSnapshot {
        /// The snapshot that was read back.
        read_back: u64,
        /// The last snapshot that was reported as saved.
        saved: u64,
    },
    /// The records that were read back are not those that were written.
    #[error("the records of snapshot {0} differ from those written")]
    ContentMismatch(u64),
}

/// The saves of a history so far.
#[derive(Clone, Copy, Default)]
pub(super) struct Progress {
    /// The last snapshot that was reported as saved; 0 for none.
    pub(super) last_saved: u64,
    /// The snapshot that was reported as saved before `last_saved`; 0 for none.
    pub(super) previously_saved: u64,
    /// The last snapshot whose save began; 0 for none.
    pub(super) last_begun: u64,
    /// Whether one of the two generations may be corrupted, so that only the other one is readable.
    pub(super) bit_rot: bool,
}

impl Progress {
    /// Begins the save of the next snapshot and returns its number.
    pub(super) fn begin_save(&mut self) -> u64 {
        self.last_begun += 1;
        self.last_begun
    }

    /// Records that the save begun last was reported as done.
    pub(super) fn finish_save(&mut self) {
        self.previously_saved = self.last_saved;
        self.last_saved = self.last_begun;
    }

    /// Records that this snapshot was read. From now on it counts as saved.
    pub(super) fn record_read(&mut self, number: u64) {
        self.last_saved = number;
        self.previously_saved = 0;
    }

    /// Checks that the snapshot read back is the last one saved or one whose save began later, and
    /// that its records are unchanged. With bit rot, the one saved before the last is allowed too.
    /// Returns the snapshot's number, or 0 for none.
    pub(super) fn check(&self, read_back: Option<&Snapshot>) -> Result<u64, Violation> {
        let oldest_allowed = if self.bit_rot {
            self.previously_saved
        } else {
            self.last_saved
        };
        let Some(snapshot) = read_back else {
            return if oldest_allowed == 0 {
                Ok(0)
            } else {
                Err(Violation::Lost(oldest_allowed))
            };
        };
        let number = snapshot.written_at.as_micros();
        if !(oldest_allowed.max(1)..=self.last_begun).contains(&number) {
            return Err(Violation::WrongSnapshot {
                read_back: number,
                saved: self.last_saved,
            });
        }
        if snapshot.records != records_of(number) {
            return Err(Violation::ContentMismatch(number));
        }
        Ok(number)
    }
}
