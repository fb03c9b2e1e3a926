//! Entries of the endpoint list from discovery, and load reports of endpoints.

use super::{BuildNumber, Timestamp};

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// No longer listed, or never listed.
    #[default]
    Removed,
    /// Takes new requests.
    Ready,
    /// Completes its requests in flight and takes no new ones.
    Draining,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry<'a> {
    /// Identifies the endpoint; a restarted process may be listed under the same name.
    pub name: &'a str,
    /// Name of the availability zone.
    pub zone: &'a str,
    /// Cell within the availability zone.
    pub cell: u64,
    /// Hardware class; endpoints of one class are assumed to be equally fast.
    pub hardware_class: &'a str,
    /// Build that the endpoint runs.
    pub build: BuildNumber,
    /// State of the endpoint: ready for requests, draining, or removed.
    pub state: EndpointState,
    /// Start time of the process; `None` if it has run for longer than the warm-up time.
    pub started_at: Option<Timestamp>,
}

/// Load that an endpoint reports: either count, both or neither.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that the endpoint executes or has queued.
    pub in_flight: Option<f64>,
    /// Requests in the endpoint's queue.
    pub queued: Option<f64>,
}
