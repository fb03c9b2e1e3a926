//! Endpoints as discovery lists them, and their load reports.

use super::{BuildNumber, Timestamp};

/// State of an endpoint, as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// No longer listed, or never listed.
    #[default]
    Removed,
    /// Takes new requests.
    Ready,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry<'a> {
    /// Identifies the endpoint; a restarted process may return under the same name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its cell within the zone.
    pub cell: u64,
    /// Endpoints of one hardware class are equally fast.
    pub hardware_class: &'a str,
    /// The build that it runs.
    pub build: BuildNumber,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When its process started; `None` where it has run for longer than it takes to warm up.
    pub started_at: Option<Timestamp>,
}

/// An endpoint's report of its load; it may report either count, both or neither.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it executes or holds.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
}
