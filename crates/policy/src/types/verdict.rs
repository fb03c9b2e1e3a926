//! The tests that a build is put to, and the verdict that it must be rolled back.

use super::{BuildNumber, StageIndex};

/// The tests that a build is put to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceTest {
    /// Failures of any kind, against the previous build at the same time.
    Failures,
    /// Slow responses, against the previous build at the same time.
    Slowness,
    /// Errors alone, also against the time before the rollout.
    Errors,
    /// Slow responses of the whole fleet, against the time before the rollout.
    FleetSlowdown,
}

impl EvidenceTest {
    /// All tests, in the order of [`EvidenceTest::index`].
    pub const ALL: [EvidenceTest; 4] = [
        EvidenceTest::Failures,
        EvidenceTest::Slowness,
        EvidenceTest::Errors,
        EvidenceTest::FleetSlowdown,
    ];

    /// Position of the test in arrays that hold a value for each test.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Failures among outcomes. Both are decaying counts, so they need not be whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureCounts {
    /// Outcomes that count as failures in the test at hand.
    pub failures: f64,
    /// All outcomes.
    pub outcomes: f64,
}

/// The evidence on which an instance has found that a build must be rolled back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RollbackVerdict {
    /// The rejected build.
    pub build: BuildNumber,
    /// The stage at which it was rejected.
    pub stage: StageIndex,
    /// The test whose score passed the bound.
    pub test: EvidenceTest,
    /// Outcomes of the build, including those restored from a snapshot; in the test of the fleet,
    /// of the endpoints with the smallest shares of slow responses, whatever build they run.
    pub candidate: FailureCounts,
    /// Outcomes with which it is compared, including those that are added
    /// to the fleet baseline and to a baseline without endpoints in service.
    pub baseline: FailureCounts,
    /// Outcomes of the build from before this instance's restart.
    pub restored_outcomes: f64,
    /// The score, less the evidence margin and the margin for the number of instances.
    pub score: f64,
    /// The Wald bound that the score has reached.
    pub bound: f64,
    /// The rate of false rollbacks for which the bound is chosen.
    pub alpha: f64,
    /// The rate of missed bad builds for which the bounds are chosen.
    pub beta: f64,
    /// Ready endpoints of the build that are ejected.
    pub ejected_endpoints: usize,
}
