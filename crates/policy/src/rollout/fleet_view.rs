//! The part of the fleet's state that the evaluation reads.

use crate::endpoints::EndpointTable;
use crate::health::HealthChecker;

/// Read-only access to the endpoints and their health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetView<'a> {
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) health: &'a HealthChecker,
}
