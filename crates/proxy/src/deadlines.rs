//! A table of deadlines in the order of time. One such table has all deadlines of the process. No
//! I/O.
//!
//! Invariant: an owner has at most one deadline, and both indexes hold the same deadlines.

use std::borrow::Borrow;
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

impl<Owner: Clone + Ord> Deadlines<Owner> {
    /// Sets the deadline of an owner, replacing its previous one.
    pub fn set(&mut self, owner: Owner, at: Timestamp) {
        self.clear(owner.clone());
        self.by_time.insert((at, owner.clone()));
        self.by_owner.insert(owner, at);
    }

    /// Whether an owner has a deadline.
    pub fn contains<Key>(&self, owner: &Key) -> bool
    where
        Owner: Borrow<Key>,
        Key: Ord + ?Sized,
    {
        self.by_owner.contains_key(owner)
    }

    /// Returns the number of deadlines.
    pub fn count(&self) -> usize {
        self.by_owner.len()
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
        let (at, _) = self.by_time.first()?;
        if *at > now {
            return None;
        }
        self.pop_first()
    }

    /// Removes the earliest deadline, whether it has expired or not, and returns its owner.
    pub fn pop_first(&mut self) -> Option<Owner> {
        let (_, owner) = self.by_time.pop_first()?;
        self.by_owner.remove(&owner);
        Some(owner)
    }
}
