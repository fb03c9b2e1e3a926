//! Counts of outcomes and failures of one build at one endpoint.

use super::{EndpointOutcomes, EvidenceTestMap, TimeConstant};
use crate::types::{BuildNumber, EndpointIndex, EvidenceTest, Timestamp};

/// Counts are negligible if the outcomes and failures of every test are below this value.
const NEGLIGIBLE_COUNT: f64 = 0.5;

/// Outcomes are counted for each of these keys. Keys are ordered by build first, so that the counts
/// of one build are adjacent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OutcomeKey {
    /// The build that the endpoint ran.
    pub build: BuildNumber,
    /// The endpoint to which the attempts were sent.
    pub endpoint: EndpointIndex,
}

/// Counts of outcomes and of the failures among them for each test. They decay with a time constant
/// per test.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    updated_at: Timestamp,
    /// Number of outcomes that are evidence in each test.
    pub outcomes: EvidenceTestMap<f64>,
    /// Number of outcomes that are failures in each test.
    pub failures: EvidenceTestMap<f64>,
}

impl OutcomeCounts {
    /// Creates counts with the given values as of `now`.
    pub fn new(
        outcomes: EvidenceTestMap<f64>,
        failures: EvidenceTestMap<f64>,
        now: Timestamp,
    ) -> Self {
        OutcomeCounts {
            updated_at: now,
            outcomes,
            failures,
        }
    }

    /// Decays the counts to the present time.
    pub fn decay(&mut self, now: Timestamp, time_constants: &EvidenceTestMap<TimeConstant>) {
        let updated_at = std::mem::replace(&mut self.updated_at, now);
        if now <= updated_at {
            return;
        }
        for test in EvidenceTest::ALL {
            let remaining = time_constants[test].remaining_between(updated_at, now);
            self.outcomes[test] *= remaining;
            self.failures[test] *= remaining;
        }
    }

    /// Adds one outcome. `is_failure` says for each test whether the outcome is a failure, or holds
    /// `None` if it is not evidence in that test.
    pub fn add(
        &mut self,
        is_failure: EvidenceTestMap<Option<bool>>,
        now: Timestamp,
        time_constants: &EvidenceTestMap<TimeConstant>,
    ) {
        self.decay(now, time_constants);
        for test in EvidenceTest::ALL {
            self.outcomes[test] += f64::from(is_failure[test].is_some());
            self.failures[test] += f64::from(is_failure[test] == Some(true));
        }
    }

    /// Adds counts that have been decayed to the same time.
    pub fn add_counts(&mut self, other: &OutcomeCounts) {
        for test in EvidenceTest::ALL {
            self.outcomes[test] += other.outcomes[test];
            self.failures[test] += other.failures[test];
        }
    }

    /// Returns the outcomes of one test and the failures among them. There are never more failures
    /// than outcomes, even if a flagged response was recorded here without its outcome.
    pub fn for_test(&self, test: EvidenceTest) -> EndpointOutcomes {
        let outcomes = self.outcomes[test];
        let failures = self.failures[test].min(outcomes);
        EndpointOutcomes { outcomes, failures }
    }

    /// Returns whether less than half an outcome and half a failure is left in every test.
    pub fn is_negligible(&self) -> bool {
        let outcomes = self.outcomes.as_slice().iter();
        let mut counts = outcomes.chain(self.failures.as_slice());
        counts.all(|count| *count < NEGLIGIBLE_COUNT)
    }
}
