//! The rollout status as the platform last announced it.

use std::time::Duration;

use crate::endpoints::EndpointTable;
use crate::step_context::StepContext;
use crate::types::{BuildNumber, RolloutPhase, RolloutStatus, StageIndex, Timestamp};

/// The fleet is steady this long after the end of a rollout, or after the time that endpoints need
/// to warm up if that is longer.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rollout {
    /// The newest build.
    pub build: BuildNumber,
    /// Stage of its evaluation.
    pub stage: StageIndex,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// When stage and phase began.
    pub since: Timestamp,
}

/// The rollout and the endpoints, for reading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutView<'a> {
    /// The rollout.
    pub(crate) rollout: &'a RolloutTracker,
    /// The endpoints.
    pub(crate) endpoints: &'a EndpointTable,
}

impl RolloutView<'_> {
    /// Whether a build counts as under evaluation.
    pub(crate) fn is_under_evaluation(&self, build: BuildNumber) -> bool {
        self.rollout.is_under_evaluation(build, self.endpoints)
    }
}

/// What a status has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RolloutChange {
    /// It names a later build than the status before.
    pub(crate) is_new_build: bool,
    /// It has lowered the traffic cap of the same build.
    pub(crate) has_lower_cap: bool,
}

/// Tracks the rollout of the newest build.
#[derive(Debug, Default)]
pub(crate) struct RolloutTracker {
    current: Option<Rollout>,
    /// A build under evaluation or being rolled back was seen since this instance's start.
    rollout_seen: bool,
}

impl RolloutTracker {
    /// The rollout, once the platform has announced it.
    pub(crate) fn current(&self) -> Option<Rollout> {
        self.current
    }

    /// Takes an announced status.
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

    /// The newest build is being taken out or has been, or no rollout is known.
    pub(crate) fn is_ending(&self) -> bool {
        self.current
            .is_none_or(|rollout| rollout.phase.is_rollback())
    }

    /// Whether a build counts as under evaluation: the platform has not announced it, or not as
    /// released. Before any announcement, that is each build but the oldest listed one.
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

    /// No rollout is in progress, and the last one ended long enough ago for the fleet to have
    /// settled. An instance that has seen no rollout since its start need not wait: it must learn
    /// baselines immediately, and no congestion is left over from a rollout.
    pub(crate) fn has_settled(&self, context: &StepContext) -> bool {
        let Some(rollout) = self.current else {
            return true;
        };
        let settling_time = SETTLING_TIME.max(context.settings.warm_up_time);
        let ended_long_ago = context.now >= rollout.since + settling_time;
        rollout.phase.has_ended() && (!self.rollout_seen || ended_long_ago)
    }
}
