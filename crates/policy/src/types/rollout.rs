//! State of the newest build's rollout, as announced by the platform.

use std::time::Duration;

use super::{BuildNumber, StageIndex};

/// Phase of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build is under evaluation.
    Canary,
    /// The platform replaces the build by the previous one.
    RollingBack,
    /// The build is released to the whole fleet.
    Released,
    /// The build has been removed from the fleet.
    Withdrawn,
}

impl RolloutPhase {
    /// Returns whether the build serves and is not being rolled back.
    pub fn is_serving(self) -> bool {
        matches!(self, RolloutPhase::Canary | RolloutPhase::Released)
    }

    /// Returns whether the build is being rolled back or has been.
    pub fn is_rollback(self) -> bool {
        matches!(self, RolloutPhase::RollingBack | RolloutPhase::Withdrawn)
    }

    /// Returns whether the rollout has ended: the build is released or withdrawn. A released build
    /// may still be rolled back.
    pub fn has_ended(self) -> bool {
        matches!(self, RolloutPhase::Released | RolloutPhase::Withdrawn)
    }
}

/// State of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of the build's evaluation.
    pub stage: StageIndex,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Largest share of the requests that may be attempted at the build.
    pub traffic_cap: f64,
    /// Time since the current stage and phase began.
    pub age: Duration,
}
