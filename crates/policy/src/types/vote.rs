//! Votes on the build under evaluation, and what the platform makes of them.

use super::{BuildNumber, StageIndex};

/// An instance's opinion on the build under evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Advance to the next stage.
    Advance,
    /// Stay at this stage.
    Hold,
    /// Replace the build by the previous one.
    RollBack,
    /// Withdraws an earlier vote.
    Abstain,
}

/// A vote on one stage of one build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The build voted on.
    pub build: BuildNumber,
    /// The stage voted on.
    pub stage: StageIndex,
    /// The opinion.
    pub vote: Vote,
}

/// The platform's response to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteResult {
    /// The vote counts.
    Accepted,
    /// Build or stage had already changed.
    Superseded,
    /// The platform takes no more votes at the moment.
    Busy,
    /// The vote did not reach the platform, or was refused.
    Failed,
    /// No response; the vote may count.
    Unknown,
}
