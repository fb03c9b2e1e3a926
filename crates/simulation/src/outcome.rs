//! The result of a trial.

use std::time::Duration;

use tidescale_policy::types::{EvidenceTest, Timestamp};

use crate::digest::Digest;
use crate::parameters::START;

/// Priority weight of the requests that arrived within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedWeight {
    /// Weight of the requests that were answered correctly within their latency objective.
    pub served: f64,
    /// Weight of all requests, without the retries of clients.
    pub offered: f64,
}

/// Served and offered weight by the second in which the request arrived, counted from the trial's
/// start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServedWeightBySecond(Vec<ServedWeight>);

impl ServedWeightBySecond {
    /// Creates empty counters for a trial of this duration.
    pub(crate) fn new(duration: Duration) -> Self {
        let seconds = duration.as_secs() as usize + 1;
        ServedWeightBySecond(vec![ServedWeight::default(); seconds])
    }

    /// Adds the weight of a request to the second in which it arrived.
    pub(crate) fn add_offered(&mut self, arrived_at: Timestamp, weight: f64) {
        self.second_of(arrived_at).offered += weight;
    }

    /// Adds the weight of a served request to the second in which the request arrived.
    pub(crate) fn add_served(&mut self, arrived_at: Timestamp, weight: f64) {
        self.second_of(arrived_at).served += weight;
    }

    /// Returns the weights by second, in order.
    pub(crate) fn into_seconds(self) -> Vec<ServedWeight> {
        self.0
    }

    fn second_of(&mut self, at: Timestamp) -> &mut ServedWeight {
        let last = self.0.len() - 1;
        let second = (at - START).as_secs() as usize;
        &mut self.0[second.min(last)]
    }
}

/// The result of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialOutcome {
    /// Time from the start of the rollout until the build was rolled back; `None` if it was not.
    pub rolled_back_after: Option<Duration>,
    /// Time from the start of the rollout until the build was released; `None` if it was not.
    pub released_after: Option<Duration>,
    /// Served and offered weight by the second in which the request arrived, counted from the
    /// trial's start.
    pub served_by_second: Vec<ServedWeight>,
    /// The statistical test behind the first rollback verdict of any instance.
    pub first_verdict_test: Option<EvidenceTest>,
    /// Total time for which votes held a stage.
    pub held_time: Duration,
    /// Number of policy steps of all instances together.
    pub steps: u64,
    /// Digest over all decisions of all instances, in order.
    pub digest: Digest,
}

impl TrialOutcome {
    /// Returns the served weight as a fraction of the offered weight from this second on, or 0 if
    /// nothing was offered.
    pub fn served_share(&self, from_second: usize) -> f64 {
        let sum = self.served_by_second.iter().skip(from_second).fold(
            ServedWeight::default(),
            |sum, second| ServedWeight {
                served: sum.served + second.served,
                offered: sum.offered + second.offered,
            },
        );
        if sum.offered > 0.0 {
            sum.served / sum.offered
        } else {
            0.0
        }
    }
}
