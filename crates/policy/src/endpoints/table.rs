//! Table of endpoints and hardware classes, by index and by name.
//!
//! [`EndpointTable::remove_unreferenced`] bounds its size: it removes the names of endpoints that
//! are no longer listed and to which nothing refers, and their indexes are reused.

use std::collections::BTreeMap;
use std::ops::Index;

use super::endpoint::{Endpoint, EndpointWithClass, Process};
use crate::types::{BuildNumber, EndpointEntry, EndpointIndex, EndpointState, HardwareClassIndex};

/// Result of applying an entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointUpdate {
    /// The endpoint and its hardware class, either of which may be new.
    pub(crate) endpoint: EndpointWithClass,
    /// Whether the endpoint was added to the table.
    pub(crate) is_new: bool,
    /// Whether another process runs at the endpoint than before.
    pub(crate) is_new_process: bool,
}

/// All endpoints and the names of the hardware classes.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    by_name: BTreeMap<String, EndpointIndex>,
    classes: Vec<String>,
}

impl EndpointTable {
    /// Applies one entry of the endpoint list.
    pub(crate) fn update(&mut self, entry: &EndpointEntry<'_>, own_zone: &str) -> EndpointUpdate {
        let hardware_class = self.find_or_insert_class(entry.hardware_class);
        let existing = self.find(entry.name);
        let index = existing.unwrap_or_else(|| self.insert(entry.name));
        let endpoint = &mut self.slots[index.get()];
        let process = Process {
            build: entry.build,
            started_at: entry.started_at,
        };
        let is_new_process = endpoint.process != process;
        endpoint.zone = entry.zone.into();
        endpoint.in_other_zone = entry.zone != own_zone;
        endpoint.cell = entry.cell;
        endpoint.hardware_class = hardware_class;
        endpoint.process = process;
        endpoint.state = entry.state;
        EndpointUpdate {
            endpoint: EndpointWithClass {
                index,
                class: hardware_class,
            },
            is_new: existing.is_none(),
            is_new_process,
        }
    }

    /// Marks all endpoints as removed, before a complete endpoint list is applied.
    pub(crate) fn mark_all_removed(&mut self) {
        for endpoint in &mut self.slots {
            endpoint.state = EndpointState::Removed;
        }
    }

    /// Adds an endpoint with a new name at the first free index.
    fn insert(&mut self, name: &str) -> EndpointIndex {
        let endpoint = Endpoint::new(name);
        let is_free = |index: &EndpointIndex| !self.is_in_use(*index);
        let index = self.indexes().find(is_free);
        let index = index.unwrap_or(EndpointIndex::new(self.slots.len()));
        match self.slots.get_mut(index.get()) {
            Some(slot) => *slot = endpoint,
            None => self.slots.push(endpoint),
        }
        self.by_name.insert(name.into(), index);
        index
    }

    /// Returns the index of the hardware class of this name, and adds the class if it is not known.
    pub(crate) fn find_or_insert_class(&mut self, name: &str) -> HardwareClassIndex {
        let existing = self.classes.iter().position(|class| class == name);
        let position = existing.unwrap_or_else(|| {
            self.classes.push(name.into());
            self.classes.len() - 1
        });
        HardwareClassIndex::new(position)
    }

    /// Returns the indexes and names of all hardware classes.
    pub(crate) fn classes(&self) -> impl Iterator<Item = (HardwareClassIndex, &str)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(position, name)| (HardwareClassIndex::new(position), name.as_str()))
    }

    pub(crate) fn class_name(&self, class: HardwareClassIndex) -> &str {
        &self.classes[class.get()]
    }

    /// Returns the number of indexes, in use or free.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of known endpoint names.
    pub(crate) fn name_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns all indexes in ascending order, including free ones.
    pub(crate) fn indexes(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.slots.len()).map(EndpointIndex::new)
    }

    /// Returns all endpoints in the order of their indexes, including removed ones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.slots.iter()
    }

    /// Returns all endpoints with their indexes, including removed ones.
    pub(crate) fn iter_indexed(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> + Clone {
        let slots = self.slots.iter().enumerate();
        slots.map(|(position, endpoint)| (EndpointIndex::new(position), endpoint))
    }

    /// Returns the endpoints that take new requests according to the endpoint list, with their
    /// indexes.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> + Clone {
        self.iter_indexed()
            .filter(|(_, endpoint)| endpoint.is_ready())
    }

    /// Returns the index of the endpoint of this name.
    pub(crate) fn find(&self, name: &str) -> Option<EndpointIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of an endpoint together with that of its hardware class.
    pub(crate) fn with_class(&self, index: EndpointIndex) -> EndpointWithClass {
        let class = self[index].hardware_class;
        EndpointWithClass { index, class }
    }

    /// Returns whether an index is in use: the name of the endpoint stored there still maps to it.
    pub(crate) fn is_in_use(&self, index: EndpointIndex) -> bool {
        self.find(&self[index].name) == Some(index)
    }

    /// Returns the rank of an endpoint's name in the lexicographic order of all names, from 0.
    pub(crate) fn name_rank(&self, index: EndpointIndex) -> usize {
        let name = self[index].name.clone();
        self.by_name.range(..name).count()
    }

    /// Returns the oldest build among the listed endpoints.
    pub(crate) fn oldest_listed_build(&self) -> Option<BuildNumber> {
        let listed = self.iter().filter(|endpoint| endpoint.is_listed());
        listed.map(Endpoint::build).min()
    }

    /// Removes the names of endpoints that are no longer listed and to which nothing refers. This
    /// frees their indexes.
    pub(crate) fn remove_unreferenced(&mut self, is_referenced: impl Fn(EndpointIndex) -> bool) {
        let slots = &self.slots;
        self.by_name
            .retain(|_, index| slots[index.get()].is_listed() || is_referenced(*index));
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;
    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.slots[index.get()]
    }
}
