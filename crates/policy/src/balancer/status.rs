//! What hosts and tests may look at.

use crate::types::EndpointState;

/// What an instance knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// It takes no requests until health checks or a trial request show that it serves.
    pub ejected: bool,
    /// This instance's attempts in flight there.
    pub in_flight: f64,
    /// Requests in flight that it last reported.
    pub reported_load: f64,
}

/// Number of entries in the tables of an instance; each is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Indexes of endpoints, in use or free.
    pub endpoint_indexes: usize,
    /// Names of endpoints.
    pub endpoint_names: usize,
    /// Pairs of build and endpoint with outcomes.
    pub outcome_counts: usize,
    /// Idempotency keys of which the build that answered is known.
    pub key_builds: usize,
    /// Open requests.
    pub open_requests: usize,
}
