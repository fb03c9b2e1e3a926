//! Endpoints eligible for a request, grouped by arm of the rollout evaluation.

use crate::types::EndpointIndex;

/// Warm endpoints eligible for a request.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Endpoints whose build is not under evaluation.
    pub(super) released: Vec<EndpointIndex>,
    /// Endpoints whose build is under evaluation.
    pub(super) canary: Vec<EndpointIndex>,
}

impl Candidates {
    /// Returns the share of endpoints whose build is under evaluation, or 0 if there are none.
    pub(super) fn canary_share(&self) -> f64 {
        let all = self.released.len() + self.canary.len();
        self.canary.len() as f64 / all.max(1) as f64
    }

    /// Returns the endpoints of the preferred arm, or of the other arm if it is empty.
    pub(super) fn into_preferred_arm(self, prefers_canary: bool) -> Vec<EndpointIndex> {
        let Candidates { released, canary } = self;
        let (first, second) = if prefers_canary {
            (canary, released)
        } else {
            (released, canary)
        };
        if first.is_empty() { second } else { first }
    }
}
