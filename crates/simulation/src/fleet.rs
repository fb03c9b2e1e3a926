//! The fleet: the assignment of endpoints to slots, and the replacement of endpoints.

use std::collections::BTreeMap;

use tidescale_policy::types::{BuildNumber, EndpointState, HardwareClassIndex, Timestamp};

use crate::endpoint::{Placement, SimulatedEndpoint};
use crate::ids::{EndpointId, SlotIndex, ZoneIndex};
use crate::parameters::{BASELINE_BUILD, BOOT_TIME, ZONE_COUNT};
use crate::random_stream::RandomStream;

/// A new endpoint that takes over a slot once it has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Replacement {
    /// The slot that the endpoint takes over.
    pub(crate) slot: SlotIndex,
    pub(crate) endpoint: EndpointId,
    /// When the endpoint has started.
    pub(crate) ready_at: Timestamp,
}

/// All endpoints of a trial, including removed ones.
pub(crate) struct Fleet {
    /// Indexed by [`EndpointId`].
    endpoints: Vec<SimulatedEndpoint>,
    ids_by_name: BTreeMap<String, EndpointId>,
    /// The endpoint that serves in each slot, indexed by [`SlotIndex`]. There are as many slots as
    /// the trial has endpoints at its start.
    slots: Vec<EndpointId>,
    /// The order in which the rollout replaces the endpoints of the slots.
    replacement_order: Vec<SlotIndex>,
    /// Number of replacements that have been ordered but have not started yet.
    pending_replacements: usize,
}

impl Fleet {
    /// Creates a fleet that runs only the baseline, and draws the order of replacement.
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

    pub(crate) fn endpoint(&self, id: EndpointId) -> &SimulatedEndpoint {
        &self.endpoints[id.get()]
    }

    pub(crate) fn endpoint_mut(&mut self, id: EndpointId) -> &mut SimulatedEndpoint {
        &mut self.endpoints[id.get()]
    }

    /// Returns the id of the endpoint with this name. The name must have been in the endpoint list.
    pub(crate) fn id_of(&self, name: &str) -> EndpointId {
        self.ids_by_name[name]
    }

    /// Returns the endpoint that serves in each slot, indexed by [`SlotIndex`].
    pub(crate) fn slots(&self) -> &[EndpointId] {
        &self.slots
    }

    /// Returns the slots in the order in which the rollout replaces their endpoints.
    pub(crate) fn replacement_order(&self) -> &[SlotIndex] {
        &self.replacement_order
    }

    /// Returns whether any ordered replacement has not started yet.
    pub(crate) fn has_pending_replacements(&self) -> bool {
        self.pending_replacements > 0
    }

    /// Returns the ids of all endpoints, including removed ones.
    pub(crate) fn endpoint_ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.endpoints.len()).map(EndpointId::new)
    }

    /// Returns the capacity of the warmed-up fleet, in cores of the faster hardware class.
    pub(crate) fn capacity(&self) -> f64 {
        self.endpoints
            .iter()
            .map(|endpoint| {
                let hardware = endpoint.hardware();
                hardware.cores as f64 / hardware.cost_factor
            })
            .sum()
    }

    /// Returns the build that serves in a slot.
    pub(crate) fn build_in(&self, slot: SlotIndex) -> BuildNumber {
        self.endpoint_in(slot).build
    }

    /// Returns the fraction of the slots in which the candidate serves.
    pub(crate) fn candidate_share(&self) -> f64 {
        let candidates = self
            .slots
            .iter()
            .filter(|id| self.endpoint(**id).runs_candidate())
            .count();
        candidates as f64 / self.slots.len() as f64
    }

    /// Orders a new endpoint that runs this build and has the placement of the one in the slot.
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

    /// Puts a started replacement into its slot and returns the replaced endpoint, which starts
    /// draining.
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

/// Creates an endpoint that has run the baseline since long before the trial. Three in five belong
/// to the first hardware class.
fn initial_endpoint(id: EndpointId) -> SimulatedEndpoint {
    let placement = Placement {
        zone: ZoneIndex::new(id.get() % ZONE_COUNT),
        hardware_class: HardwareClassIndex::new(usize::from(id.get() % 5 > 2)),
    };
    SimulatedEndpoint::new(format!("a{}", id.get()), placement, BASELINE_BUILD, None)
}
