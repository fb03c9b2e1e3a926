//! Endpoints that may take a request, on both sides of an evaluation.

/// Indexes of warm endpoints that may take a request.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Of builds that are not under evaluation.
    pub(crate) released: Vec<usize>,
    /// Of builds that are.
    pub(crate) canary: Vec<usize>,
}

impl Candidates {
    /// Share of the endpoints whose build is under evaluation; 0 where there is none at all.
    pub(crate) fn canary_share(&self) -> f64 {
        let all = self.released.len() + self.canary.len();
        self.canary.len() as f64 / all.max(1) as f64
    }

    /// The side asked for, or the other one where that has no endpoint.
    pub(crate) fn into_side(self, canary: bool) -> Vec<usize> {
        let Candidates {
            released,
            canary: under_evaluation,
        } = self;
        let (first, second) = if canary {
            (under_evaluation, released)
        } else {
            (released, under_evaluation)
        };
        if first.is_empty() { second } else { first }
    }
}
