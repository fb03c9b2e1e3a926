//! Outcomes and failures of one endpoint under one build.

use super::EndpointShare;
use crate::types::{EvidenceTest, Timestamp};

/// Number of tests that outcomes are counted for.
const TESTS: usize = EvidenceTest::ALL.len();

/// Whose outcomes are counted together. Ordered by build, so that one build's counts stand side by
/// side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountKey {
    /// The build.
    pub build: u32,
    /// Index of the endpoint.
    pub endpoint: usize,
}

/// Decaying counts of outcomes and of the failures among them, by test; each test has a decay time
/// of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    updated_at: Timestamp,
    /// All outcomes.
    pub outcomes: [f64; TESTS],
    /// Outcomes that count as failures.
    pub failures: [f64; TESTS],
}

impl OutcomeCounts {
    /// Counts that are as given at this time.
    pub fn new(outcomes: [f64; TESTS], failures: [f64; TESTS], now: Timestamp) -> Self {
        OutcomeCounts {
            updated_at: now,
            outcomes,
            failures,
        }
    }

    /// Brings the counts up to date; decay times are in microseconds.
    pub fn decay(&mut self, now: Timestamp, decay_times: [f64; TESTS]) {
        let elapsed = now.micros_since(self.updated_at) as f64;
        self.updated_at = now;
        if elapsed <= 0.0 {
            return;
        }
        for (test, decay_time) in decay_times.into_iter().enumerate() {
            let kept = (-elapsed / decay_time).exp();
            self.outcomes[test] *= kept;
            self.failures[test] *= kept;
        }
    }

    /// Adds one outcome to each test that it tells something for: whether it is a failure there.
    pub fn add(
        &mut self,
        is_failure: [Option<bool>; TESTS],
        now: Timestamp,
        decay_times: [f64; TESTS],
    ) {
        self.decay(now, decay_times);
        for (test, is_failure) in is_failure.into_iter().enumerate() {
            self.outcomes[test] += f64::from(is_failure.is_some());
            self.failures[test] += f64::from(is_failure == Some(true));
        }
    }

    /// Outcomes of one test and the failures among them; a complaint may come without its outcome.
    pub fn of(&self, test: EvidenceTest) -> EndpointShare {
        let outcomes = self.outcomes[test.index()];
        let failures = self.failures[test.index()].min(outcomes);
        EndpointShare { outcomes, failures }
    }

    /// Less than half an outcome and half a failure is left in every test.
    pub fn is_negligible(&self) -> bool {
        let mut counts = self.outcomes.iter().chain(&self.failures);
        counts.all(|count| *count < 0.5)
    }
}
