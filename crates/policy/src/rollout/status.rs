//! The rollout status as the platform last announced it.

use std::time::Duration;

use crate::endpoints::EndpointTable;
use crate::step_context::StepContext;
use crate::types::{BuildNumber, RolloutPhase, RolloutStatus, StageIndex, Timestamp};

/// Time for which a rollout that has ended still counts as recent, because congestion may remain
/// from it. The warm-up time of endpoints applies instead if it is longer.
const MIN_TIME_SINCE_ROLLOUT: Duration = Duration::from_secs(3);

/// The rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rollout {
    /// The newest build.
    pub build: BuildNumber,
    /// The current stage of the rollout.
    pub stage: StageIndex,
    /// The current phase of the rollout.
    pub phase: RolloutPhase,
    /// The largest share of the requests that may be sent to the build.
    pub traffic_cap: f64,
    /// When the current stage and phase began.
    pub since: Timestamp,
}

/// Read-only access to the rollout and the endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutView<'a> {
    pub(crate) rollout: &'a RolloutTracker,
    pub(crate) endpoints: &'a EndpointTable,
}

impl RolloutView<'_> {
    /// Returns whether a build counts as under evaluation.
    pub(crate) fn is_under_evaluation(&self, build: BuildNumber) -> bool {
        self.rollout.is_under_evaluation(build, self.endpoints)
    }
}

/// What an announced status changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RolloutChange {
    /// The build is newer than that of the previous status, or this is the first status.
    pub(crate) is_new_build: bool,
    /// The build is the same as in the previous status, and its traffic cap is lower.
    pub(crate) has_lower_cap: bool,
}

/// Tracks the rollout of the newest build.
#[derive(Debug, Default)]
pub(crate) struct RolloutTracker {
    current: Option<Rollout>,
    /// This instance has received the status of a canary or of a rollback since it started.
    rollout_seen: bool,
}

impl RolloutTracker {
    /// Returns the rollout of the newest build, or `None` until the platform has announced one.
    pub(crate) fn current(&self) -> Option<Rollout> {
        self.current
    }

    /// Applies a status that the platform has announced.
    pub(crate) fn update(&mut self, status: RolloutStatus, now: Timestamp) -> RolloutChange {
        let RolloutStatus {
            build,
            stage,
            phase,
            traffic_cap,
            age,
        } = status;
        let previous = self.current;
        let has_lower_cap = previous
            .is_some_and(|previous| previous.build == build && traffic_cap < previous.traffic_cap);
        let is_new_build = previous.is_none_or(|previous| previous.build < build);
        self.rollout_seen |= matches!(phase, RolloutPhase::Canary | RolloutPhase::RollingBack);
        self.current = Some(Rollout {
            build,
            stage,
            phase,
            traffic_cap,
            since: now - age,
        });
        RolloutChange {
            is_new_build,
            has_lower_cap,
        }
    }

    /// Returns whether the newest build is being replaced by the previous one or has been
    /// withdrawn, or no rollout is known.
    pub(crate) fn is_rolled_back_or_unknown(&self) -> bool {
        self.current
            .is_none_or(|rollout| rollout.phase.is_rollback())
    }

    /// Returns whether a build counts as under evaluation, because the platform has not announced
    /// it, or has not announced it as released. Before the first announcement, every build except
    /// the oldest listed one counts as under evaluation.
    pub(crate) fn is_under_evaluation(
        &self,
        build: BuildNumber,
        endpoints: &EndpointTable,
    ) -> bool {
        match self.current {
            Some(rollout) => {
                let is_unreleased = rollout.phase != RolloutPhase::Released;
                build > rollout.build || (build == rollout.build && is_unreleased)
            }
            None => endpoints
                .oldest_listed_build()
                .is_some_and(|oldest| oldest < build),
        }
    }

    /// Returns whether no rollout is in progress or has ended recently. An instance that has seen
    /// no rollout since it started does not wait: it must learn baselines immediately, and no
    /// congestion remains from a rollout.
    pub(crate) fn has_no_recent_rollout(&self, context: &StepContext) -> bool {
        let Some(rollout) = self.current else {
            return true;
        };
        let min_time_since_rollout = MIN_TIME_SINCE_ROLLOUT.max(context.settings.warm_up_time);
        let ended_long_ago = context.now >= rollout.since + min_time_since_rollout;
        rollout.phase.has_ended() && (!self.rollout_seen || ended_long_ago)
    }
}
