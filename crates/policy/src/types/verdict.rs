//! Statistical tests of a build under evaluation, and the verdict that it must be rolled back.

use super::{BuildNumber, StageIndex};

/// A statistical test that compares a build under evaluation with a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceTest {
    /// Failures of any kind, compared with the previous build over the same time.
    Failures,
    /// Slow responses, compared with the previous build over the same time.
    Slowness,
    /// Error responses alone, compared with those of earlier builds, also from before the rollout.
    Errors,
    /// Slow responses of the whole fleet, compared with the time before the rollout.
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

    /// Returns the index of the test in arrays with one value for each test.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Number of failures among a number of outcomes. Both counts decay, so they may be fractional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureCounts {
    /// Number of outcomes that the test counts as failures.
    pub failures: f64,
    /// Number of all outcomes.
    pub outcomes: f64,
}

/// An instance's verdict that a build must be rolled back, with its evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RollbackVerdict {
    /// The rejected build.
    pub build: BuildNumber,
    /// The stage at which it was rejected.
    pub stage: StageIndex,
    /// The test whose score reached the bound.
    pub test: EvidenceTest,
    /// Outcomes of the build, including those restored from a snapshot. For
    /// [`EvidenceTest::FleetSlowdown`]: outcomes of the endpoints with the smallest shares of slow
    /// responses, regardless of the builds that they run.
    pub candidate: FailureCounts,
    /// Outcomes that the candidate is compared with, including the prior outcomes that are added to
    /// the fleet baseline and to a baseline without endpoints in service.
    pub baseline: FailureCounts,
    /// Outcomes of the build that were restored from before this instance's restart.
    pub restored_outcomes: f64,
    /// Score of the test, after the evidence margin and the margin for the number of instances are
    /// subtracted.
    pub score: f64,
    /// Wald bound that the score has reached.
    pub bound: f64,
    /// Rate of false rollbacks from which the bound is computed.
    pub alpha: f64,
    /// Rate of missed bad builds from which the bounds are computed.
    pub beta: f64,
    /// Number of ready endpoints of the build that are ejected.
    pub ejected_endpoints: usize,
}
