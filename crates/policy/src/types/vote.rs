//! Votes on the build under evaluation, and the platform's response to them.

use super::{BuildNumber, StageIndex};

/// What an instance asks the platform to do with the build under evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Advance the rollout to the next stage.
    Advance,
    /// Keep the rollout at the current stage.
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
    /// What the platform is asked to do with the build.
    pub vote: Vote,
}

/// The platform's response to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteResult {
    /// The vote counts.
    Accepted,
    /// The vote does not count: the build or the stage had already changed.
    Superseded,
    /// The platform accepts no more votes at present.
    Busy,
    /// The vote did not reach the platform, or was refused.
    Failed,
    /// No response arrived; the vote may count.
    Unknown,
}
