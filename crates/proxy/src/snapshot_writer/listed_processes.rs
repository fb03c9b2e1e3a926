//! What the proxy knows of endpoints besides the policy: their addresses, and the age of the
//! endpoint list.

use tidescale_policy::types::Timestamp;
use tidescale_snapshot::records::Process;

use crate::upstream::Upstream;

/// The endpoint list as the proxy knows it.
pub struct ListedProcesses<'a> {
    /// The processes of the endpoints.
    pub upstream: &'a Upstream,
    /// Version of the endpoint list.
    pub list_version: u64,
    /// When discovery last confirmed it.
    pub list_confirmed_at: Timestamp,
}

impl ListedProcesses<'_> {
    /// The process listed under this name.
    pub(super) fn process(&self, endpoint: &str) -> Option<Process> {
        let identity = self.upstream.process_of(endpoint)?;
        Some(Process {
            endpoint: endpoint.into(),
            address: identity.address.to_string(),
            build: identity.build,
            started_at: identity.started_at.unwrap_or(Timestamp::ZERO),
        })
    }
}
