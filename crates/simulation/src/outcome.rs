//! The result of a trial.

use std::time::Duration;

use tidescale_policy::types::{EvidenceTest, Timestamp};

use crate::digest::Digest;
use crate::parameters::START;

/// Weight of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedWeight {
    /// Weight of the requests answered correctly within their latency objective.
    pub served: f64,
    /// Weight of all requests; retries of clients are not counted again.
    pub offered: f64,
}

/// Weight served and offered, by the second in which a request arrived, counted from the trial's
/// start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServedWeightBySecond(Vec<ServedWeight>);

impl ServedWeightBySecond {
    /// No requests yet, in a trial of this length.
    pub(crate) fn new(duration: Duration) -> Self {
        let seconds = duration.as_secs() as usize + 1;
        ServedWeightBySecond(vec![ServedWeight::default(); seconds])
    }

    /// Counts a request that arrived.
    pub(crate) fn add_offered(&mut self, arrived_at: Timestamp, weight: f64) {
        self.second_of(arrived_at).offered += weight;
    }

    /// Counts its answer.
    pub(crate) fn add_served(&mut self, arrived_at: Timestamp, weight: f64) {
        self.second_of(arrived_at).served += weight;
    }

    /// The seconds in order.
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
    /// Time from the offer of the build to its rollback.
    pub rolled_back_after: Option<Duration>,
    /// Time from the offer of the build to its release.
    pub released_after: Option<Duration>,
    /// Weight served and offered, by the second in which a request arrived, from the trial's start.
    pub served_by_second: Vec<ServedWeight>,
    /// The test behind the first rollback verdict of any instance.
    pub first_verdict_test: Option<EvidenceTest>,
    /// How long votes have held a stage.
    pub held_time: Duration,
    /// Steps of all instances together.
    pub steps: u64,
    /// Digest over every decision of every instance, in order.
    pub digest: Digest,
}

impl TrialOutcome {
    /// Served weight as a share of the offered weight, from this second on; 0 if nothing was
    /// offered.
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
