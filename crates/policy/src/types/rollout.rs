//! The rollout of the newest build, as the platform announces it.

use std::time::Duration;

use super::{BuildNumber, StageIndex};

/// Phase of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build is under evaluation.
    Canary,
    /// The build is being replaced by the previous one.
    RollingBack,
    /// The build serves everywhere.
    Released,
    /// The build has been taken out.
    Withdrawn,
}

impl RolloutPhase {
    /// The build serves, and will continue to.
    pub fn is_serving(self) -> bool {
        matches!(self, RolloutPhase::Canary | RolloutPhase::Released)
    }

    /// The build is being taken out, or has been.
    pub fn is_rollback(self) -> bool {
        matches!(self, RolloutPhase::RollingBack | RolloutPhase::Withdrawn)
    }

    /// Nothing changes until the next build is offered.
    pub fn has_ended(self) -> bool {
        matches!(self, RolloutPhase::Released | RolloutPhase::Withdrawn)
    }
}

/// State of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of its evaluation.
    pub stage: StageIndex,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// Time since stage and phase began.
    pub age: Duration,
}
