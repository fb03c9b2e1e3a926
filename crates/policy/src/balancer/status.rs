//! Status of an instance for hosts and tests.

use crate::types::EndpointState;

/// Status of an endpoint as seen by one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// State in the endpoint list.
    pub state: EndpointState,
    /// Whether it is ejected: it receives no requests until health checks or a trial request
    /// succeed.
    pub ejected: bool,
    /// Number of this instance's attempts in flight at the endpoint.
    pub in_flight: f64,
    /// Number of requests in flight that the endpoint last reported.
    pub reported_load: f64,
}

/// Number of entries in each table of an instance. All tables are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Endpoint indexes, in use or free.
    pub endpoint_indexes: usize,
    /// Names of endpoints that are listed or still referenced.
    pub endpoint_names: usize,
    /// Pairs of build and endpoint for which outcomes are recorded.
    pub outcome_counts: usize,
    /// Idempotency keys for which the latest build that answered is recorded.
    pub key_builds: usize,
    /// Requests that are unfinished or have an attempt in flight.
    pub open_requests: usize,
}
