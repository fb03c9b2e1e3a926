//! All deadlines of the process in one ordered table. No I/O.
//!
//! Invariant: an owner has at most one deadline, and both indexes hold the same deadlines.

use std::collections::{BTreeMap, BTreeSet};

use tidescale_policy::types::Timestamp;

/// A table of deadlines, indexed by time and by owner.
pub struct Deadlines<Owner> {
    by_time: BTreeSet<(Timestamp, Owner)>,
    by_owner: BTreeMap<Owner, Timestamp>,
}

impl<Owner> Default for Deadlines<Owner> {
    fn default() -> Self {
        Deadlines {
            by_time: BTreeSet::new(),
            by_owner: BTreeMap::new(),
        }
    }
}

impl<Owner: Copy + Ord> Deadlines<Owner> {
    /// Sets the deadline of an owner, replacing its previous one.
    pub fn set(&mut self, owner: Owner, at: Timestamp) {
        self.clear(owner);
        self.by_time.insert((at, owner));
        self.by_owner.insert(owner, at);
    }

    /// Removes the deadline of an owner, if it has one.
    pub fn clear(&mut self, owner: Owner) {
        if let Some(at) = self.by_owner.remove(&owner) {
            self.by_time.remove(&(at, owner));
        }
    }

    /// Returns the time of the earliest deadline, or `None` if none is set.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes the earliest deadline that has expired by `now`, and returns its owner. Deadlines at
    /// the same time are returned in ascending order of their owners.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<Owner> {
        let (at, owner) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(owner);
        Some(owner)
    }
}
