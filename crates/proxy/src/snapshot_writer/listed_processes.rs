//! The processes in the endpoint list. Snapshots store their addresses and the age of the list,
//! which the policy does not know.

use tidescale_policy::types::Timestamp;
use tidescale_snapshot::records::Process;

use crate::upstream::Upstream;

/// The processes in the current endpoint list, with the version and age of the list.
pub struct ListedProcesses<'a> {
    /// The source of the address, build and start time of each process.
    pub upstream: &'a Upstream,
    /// The version of the endpoint list.
    pub list_version: u64,
    /// The time at which discovery last confirmed the list.
    pub list_confirmed_at: Timestamp,
}

impl ListedProcesses<'_> {
    /// Returns the process of the endpoint with this name; `None` if the endpoint is not listed.
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
