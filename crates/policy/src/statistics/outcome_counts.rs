//! Outcomes and failures of one endpoint under one build.

use super::{EndpointOutcomes, PerTest, TimeConstant};
use crate::types::{BuildNumber, EndpointIndex, EvidenceTest, Timestamp};

/// Counts that are below this on all sides no longer matter.
const NEGLIGIBLE_COUNT: f64 = 0.5;

/// Whose outcomes are counted together. Ordered by build, so that the counts of one build are
/// adjacent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OutcomeKey {
    /// The build.
    pub build: BuildNumber,
    /// The endpoint that ran it.
    pub endpoint: EndpointIndex,
}

/// Decaying counts of outcomes and of the failures among them, each test with a time constant of
/// its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    updated_at: Timestamp,
    /// All outcomes.
    pub outcomes: PerTest<f64>,
    /// Outcomes that count as failures.
    pub failures: PerTest<f64>,
}

impl OutcomeCounts {
    /// Counts that are as given at this time.
    pub fn new(outcomes: PerTest<f64>, failures: PerTest<f64>, now: Timestamp) -> Self {
        OutcomeCounts {
            updated_at: now,
            outcomes,
            failures,
        }
    }

    /// Brings the counts up to date.
    pub fn decay(&mut self, now: Timestamp, time_constants: &PerTest<TimeConstant>) {
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

    /// Adds one outcome to each test for which it is evidence: whether it is a failure there.
    pub fn add(
        &mut self,
        is_failure: PerTest<Option<bool>>,
        now: Timestamp,
        time_constants: &PerTest<TimeConstant>,
    ) {
        self.decay(now, time_constants);
        for test in EvidenceTest::ALL {
            self.outcomes[test] += f64::from(is_failure[test].is_some());
            self.failures[test] += f64::from(is_failure[test] == Some(true));
        }
    }

    /// Adds counts of the same time.
    pub fn add_counts(&mut self, other: &OutcomeCounts) {
        for test in EvidenceTest::ALL {
            self.outcomes[test] += other.outcomes[test];
            self.failures[test] += other.failures[test];
        }
    }

    /// Outcomes of one test and the failures among them; a complaint may come without its outcome.
    pub fn for_test(&self, test: EvidenceTest) -> EndpointOutcomes {
        let outcomes = self.outcomes[test];
        let failures = self.failures[test].min(outcomes);
        EndpointOutcomes { outcomes, failures }
    }

    /// Less than half an outcome and half a failure is left in every test.
    pub fn is_negligible(&self) -> bool {
        let outcomes = self.outcomes.as_slice().iter();
        let mut counts = outcomes.chain(self.failures.as_slice());
        counts.all(|count| *count < NEGLIGIBLE_COUNT)
    }
}
