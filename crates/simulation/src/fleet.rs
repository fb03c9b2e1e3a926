//! The fleet: which endpoint stands in which slot, and how one replaces another.

use std::collections::BTreeMap;

use tidescale_policy::types::{EndpointState, Timestamp};

use crate::endpoint::{Placement, SimulatedEndpoint};
use crate::parameters::{BASELINE_BUILD, BOOT_TIME, ZONES};
use crate::random_stream::RandomStream;

/// A new endpoint that takes over a slot once it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Replacement {
    /// The slot.
    pub(crate) slot: usize,
    /// Index of the new endpoint.
    pub(crate) endpoint: usize,
    /// When it runs.
    pub(crate) ready_at: Timestamp,
}

/// All endpoints of a trial, those already removed included; an endpoint keeps its index for good.
pub(crate) struct Fleet {
    endpoints: Vec<SimulatedEndpoint>,
    index_by_name: BTreeMap<String, usize>,
    /// By slot, the endpoint that serves there. As many as the trial has endpoints at its start.
    slots: Vec<usize>,
    /// The order in which the rollout takes the slots.
    replacement_order: Vec<usize>,
    /// Replacements that do not run yet.
    starting: usize,
}

impl Fleet {
    /// A fleet that runs the baseline everywhere; the order of replacement is drawn.
    pub(crate) fn new(size: usize, random: &mut RandomStream) -> Fleet {
        let endpoints: Vec<_> = (0..size).map(initial_endpoint).collect();
        let mut replacement_order: Vec<usize> = (0..size).collect();
        for last in (1..size).rev() {
            replacement_order.swap(last, random.index_below(last + 1));
        }
        let index_by_name = endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (endpoint.name.clone(), index))
            .collect();
        Fleet {
            endpoints,
            index_by_name,
            slots: (0..size).collect(),
            replacement_order,
            starting: 0,
        }
    }

    /// An endpoint by index.
    pub(crate) fn endpoint(&self, index: usize) -> &SimulatedEndpoint {
        &self.endpoints[index]
    }

    /// An endpoint by index, to be changed.
    pub(crate) fn endpoint_mut(&mut self, index: usize) -> &mut SimulatedEndpoint {
        &mut self.endpoints[index]
    }

    /// Index of a name that the policy has from the endpoint list.
    pub(crate) fn index_of(&self, name: &str) -> usize {
        self.index_by_name[name]
    }

    /// By slot, the index of the endpoint that serves there.
    pub(crate) fn slots(&self) -> &[usize] {
        &self.slots
    }

    /// The slots in the order in which the rollout takes them.
    pub(crate) fn replacement_order(&self) -> &[usize] {
        &self.replacement_order
    }

    /// Whether replacements have been ordered that do not run yet.
    pub(crate) fn has_starting(&self) -> bool {
        self.starting > 0
    }

    /// Number of the endpoints.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
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
    pub(crate) fn build_in(&self, slot: usize) -> u32 {
        self.endpoints[self.slots[slot]].build
    }

    /// Share of the slots that the candidate serves.
    pub(crate) fn candidate_share(&self) -> f64 {
        let candidates = self
            .slots
            .iter()
            .filter(|endpoint| self.endpoints[**endpoint].runs_candidate())
            .count();
        candidates as f64 / self.slots.len() as f64
    }

    /// Orders a new endpoint like the one in the slot, but of this build.
    pub(crate) fn order_replacement(
        &mut self,
        slot: usize,
        build: u32,
        now: Timestamp,
    ) -> Replacement {
        let endpoint = self.endpoints.len();
        let name = format!("b{endpoint}");
        let placement = self.endpoints[self.slots[slot]].placement;
        let ready_at = now + BOOT_TIME;
        self.index_by_name.insert(name.clone(), endpoint);
        self.endpoints.push(SimulatedEndpoint::new(
            name,
            placement,
            build,
            Some(ready_at),
        ));
        self.starting += 1;
        Replacement {
            slot,
            endpoint,
            ready_at,
        }
    }

    /// Lets a replacement that runs take over its slot; returns the endpoint that drains from now on.
    pub(crate) fn complete_replacement(&mut self, replacement: Replacement) -> usize {
        let old = std::mem::replace(&mut self.slots[replacement.slot], replacement.endpoint);
        self.starting -= 1;
        self.endpoints[old].state = EndpointState::Draining;
        old
    }
}

/// An endpoint that has run the baseline since long before the trial: three in five of the first hardware class.
fn initial_endpoint(index: usize) -> SimulatedEndpoint {
    let placement = Placement {
        zone: index % ZONES,
        hardware_class: usize::from(index % 5 > 2),
    };
    SimulatedEndpoint::new(format!("a{index}"), placement, BASELINE_BUILD, None)
}
