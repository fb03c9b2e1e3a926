//! What the proxy knows of endpoints and the policy does not: where they listen, and how old the endpoint list is.

use tidescale_policy::types::Timestamp;
use tidescale_snapshot::records::Process;

use crate::upstream::Upstream;

/// The proxy's own knowledge of the endpoints.
pub struct EndpointDirectory<'a> {
    /// The endpoints' processes.
    pub upstream: &'a Upstream,
    /// Version of the endpoint list.
    pub list_version: u64,
    /// When discovery last confirmed it.
    pub list_confirmed_at: Timestamp,
}

impl EndpointDirectory<'_> {
    /// The process that is listed under this name.
    pub(super) fn process(&self, endpoint: &str) -> Option<Process> {
        let identity = self.upstream.process_of(endpoint)?;
        Some(Process {
            endpoint: endpoint.into(),
            address: identity.address.to_string(),
            build: identity.build.get(),
            started_at: identity.started_at.unwrap_or(Timestamp::ZERO),
        })
    }
}
