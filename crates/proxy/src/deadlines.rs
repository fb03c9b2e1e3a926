//! All deadlines, in one ordered structure; who has one has one at a time.

use std::collections::{BTreeMap, BTreeSet};

pub struct Deadlines<W> {
    by_time: BTreeSet<(u64, W)>,
    by_owner: BTreeMap<W, u64>,
}

impl<W> Default for Deadlines<W> {
    fn default() -> Self {
        Deadlines { by_time: BTreeSet::new(), by_owner: BTreeMap::new() }
    }
}

impl<W: Copy + Ord> Deadlines<W> {
    /// Takes the place of the owner's earlier one.
    pub fn set(&mut self, owner: W, at: u64) {
        self.clear(owner);
        self.by_time.insert((at, owner));
        self.by_owner.insert(owner, at);
    }
    pub fn clear(&mut self, owner: W) {
        if let Some(at) = self.by_owner.remove(&owner) {
            self.by_time.remove(&(at, owner));
        }
    }
    pub fn next(&self) -> Option<u64> {
        self.by_time.first().map(|(at, _)| *at)
    }
    /// Takes out the first that is due.
    pub fn due(&mut self, now: u64) -> Option<W> {
        let (at, owner) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(owner);
        Some(owner)
    }
}
