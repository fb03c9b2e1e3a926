//! What the evaluation reads of the fleet.

use crate::endpoints::EndpointTable;
use crate::health::HealthChecker;

/// Endpoints and their health, for reading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetView<'a> {
    /// The endpoints.
    pub(crate) endpoints: &'a EndpointTable,
    /// Their health.
    pub(crate) health: &'a HealthChecker,
}
