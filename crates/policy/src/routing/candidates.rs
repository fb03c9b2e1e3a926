//! Endpoints that may take a request, by arm of the evaluation.

use crate::types::EndpointIndex;

/// Warm endpoints that may take a request.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Of builds that are not under evaluation.
    pub(super) released: Vec<EndpointIndex>,
    /// Of builds that are.
    pub(super) canary: Vec<EndpointIndex>,
}

impl Candidates {
    /// Share of the endpoints whose build is under evaluation; 0 without any endpoint.
    pub(super) fn canary_share(&self) -> f64 {
        let all = self.released.len() + self.canary.len();
        self.canary.len() as f64 / all.max(1) as f64
    }

    /// The endpoints of one arm, or of the other where that one has none.
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
