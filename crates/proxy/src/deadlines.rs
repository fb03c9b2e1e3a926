//! All deadlines, in one ordered structure; who has one has one at a time.

use std::collections::{BTreeMap, BTreeSet};

use tidescale_policy::types::Timestamp;

pub struct Deadlines<W> {
    by_time: BTreeSet<(Timestamp, W)>,
    by_owner: BTreeMap<W, Timestamp>,
}

impl<W> Default for Deadlines<W> {
    fn default() -> Self {
        Deadlines {
            by_time: BTreeSet::new(),
            by_owner: BTreeMap::new(),
        }
    }
}

impl<W: Copy + Ord> Deadlines<W> {
    /// Takes the place of the owner's earlier one.
    pub fn set(&mut self, owner: W, at: Timestamp) {
        self.clear(owner);
        self.by_time.insert((at, owner));
        self.by_owner.insert(owner, at);
    }
    pub fn clear(&mut self, owner: W) {
        if let Some(at) = self.by_owner.remove(&owner) {
            self.by_time.remove(&(at, owner));
        }
    }
    pub fn next_at(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }
    /// Takes out the first that is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<W> {
        let (at, owner) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(owner);
        Some(owner)
    }
}
