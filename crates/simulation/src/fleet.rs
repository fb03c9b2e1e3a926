//! The fleet: which endpoint serves in which slot, and how one replaces another.

use std::collections::BTreeMap;

use tidescale_policy::types::{BuildNumber, EndpointState, HardwareClassIndex, Timestamp};

use crate::endpoint::{Placement, SimulatedEndpoint};
use crate::ids::{EndpointId, SlotIndex, ZoneIndex};
use crate::parameters::{BASELINE_BUILD, BOOT_TIME, ZONES};
use crate::random_stream::RandomStream;

/// A new endpoint that takes over a slot once it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Replacement {
    /// The slot.
    pub(crate) slot: SlotIndex,
    /// The new endpoint.
    pub(crate) endpoint: EndpointId,
    /// When it runs.
    pub(crate) ready_at: Timestamp,
}

/// All endpoints of a trial, including removed ones.
pub(crate) struct Fleet {
    /// By [`EndpointId`].
    endpoints: Vec<SimulatedEndpoint>,
    ids_by_name: BTreeMap<String, EndpointId>,
    /// By [`SlotIndex`], the endpoint that serves there. There are as many slots as the trial has
    /// endpoints at its start.
    slots: Vec<EndpointId>,
    /// The order in which the rollout takes the slots.
    replacement_order: Vec<SlotIndex>,
    /// Number of ordered replacements that do not run yet.
    pending_replacements: usize,
}

impl Fleet {
    /// A fleet that runs the baseline everywhere, with a drawn order of replacement.
    pub(crate) fn new(size: usize, random: &mut RandomStream) -> Fleet {
        let endpoints: Vec<_> = (0..size)
            .map(EndpointId::new)
            .map(initial_endpoint)
            .collect();
        let mut replacement_order: Vec<SlotIndex> = (0..size).map(SlotIndex::new).collect();
        for last in (1..size).rev() {
            replacement_order.swap(last, random.index_below(last + 1));
        }
        let ids_by_name = endpoints
            .iter()
            .zip((0..size).map(EndpointId::new))
            .map(|(endpoint, id)| (endpoint.name.clone(), id))
            .collect();
        Fleet {
            endpoints,
            ids_by_name,
            slots: (0..size).map(EndpointId::new).collect(),
            replacement_order,
            pending_replacements: 0,
        }
    }

    /// An endpoint.
    pub(crate) fn endpoint(&self, id: EndpointId) -> &SimulatedEndpoint {
        &self.endpoints[id.get()]
    }

    /// An endpoint, to be changed.
    pub(crate) fn endpoint_mut(&mut self, id: EndpointId) -> &mut SimulatedEndpoint {
        &mut self.endpoints[id.get()]
    }

    /// The endpoint with this name, which must have been in the endpoint list.
    pub(crate) fn id_of(&self, name: &str) -> EndpointId {
        self.ids_by_name[name]
    }

    /// By slot, the endpoint that serves there.
    pub(crate) fn slots(&self) -> &[EndpointId] {
        &self.slots
    }

    /// The slots in the order in which the rollout takes them.
    pub(crate) fn replacement_order(&self) -> &[SlotIndex] {
        &self.replacement_order
    }

    /// Whether replacements have been ordered that do not run yet.
    pub(crate) fn has_pending_replacements(&self) -> bool {
        self.pending_replacements > 0
    }

    /// All endpoints.
    pub(crate) fn endpoint_ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.endpoints.len()).map(EndpointId::new)
    }

    /// Capacity of the warm fleet, in cores of the faster hardware class.
    pub(crate) fn capacity(&self) -> f64 {
        self.endpoints
            .iter()
            .map(|endpoint| {
                let hardware = endpoint.hardware();
                hardware.cores as f64 / hardware.cost_factor
            })
            .sum()
    }

    /// The build that serves in a slot.
    pub(crate) fn build_in(&self, slot: SlotIndex) -> BuildNumber {
        self.endpoint_in(slot).build
    }

    /// Share of the slots in which the candidate serves.
    pub(crate) fn candidate_share(&self) -> f64 {
        let candidates = self
            .slots
            .iter()
            .filter(|id| self.endpoint(**id).runs_candidate())
            .count();
        candidates as f64 / self.slots.len() as f64
    }

    /// Orders a new endpoint like the one in the slot, but of this build.
    pub(crate) fn order_replacement(
        &mut self,
        slot: SlotIndex,
        build: BuildNumber,
        now: Timestamp,
    ) -> Replacement {
        let endpoint = EndpointId::new(self.endpoints.len());
        let name = format!("b{}", endpoint.get());
        let placement = self.endpoint_in(slot).placement;
        let ready_at = now + BOOT_TIME;
        self.ids_by_name.insert(name.clone(), endpoint);
        self.endpoints.push(SimulatedEndpoint::new(
            name,
            placement,
            build,
            Some(ready_at),
        ));
        self.pending_replacements += 1;
        Replacement {
            slot,
            endpoint,
            ready_at,
        }
    }

    /// A replacement runs and takes over its slot; returns the endpoint that drains from now on.
    pub(crate) fn complete_replacement(&mut self, replacement: Replacement) -> EndpointId {
        let slot = &mut self.slots[replacement.slot.get()];
        let replaced = std::mem::replace(slot, replacement.endpoint);
        self.pending_replacements -= 1;
        self.endpoint_mut(replaced).state = EndpointState::Draining;
        replaced
    }

    fn endpoint_in(&self, slot: SlotIndex) -> &SimulatedEndpoint {
        self.endpoint(self.slots[slot.get()])
    }
}

/// An endpoint that has run the baseline since long before the trial. Three in five are of the
/// first hardware class.
fn initial_endpoint(id: EndpointId) -> SimulatedEndpoint {
    let placement = Placement {
        zone: ZoneIndex::new(id.get() % ZONES),
        hardware_class: HardwareClassIndex::new(usize::from(id.get() % 5 > 2)),
    };
    SimulatedEndpoint::new(format!("a{}", id.get()), placement, BASELINE_BUILD, None)
}
