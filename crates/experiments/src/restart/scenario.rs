//! The scenarios: which faults there are before and after a restart.

use std::time::Duration;

use tidescale_policy::types::{BuildNumber, StageIndex};

use super::configuration::ListedState;
use crate::stand_ins::{AnnouncedPhase, Announcement};

/// The build that serves before a rollout.
pub(super) const BASELINE_BUILD: BuildNumber = BuildNumber::new(41);
/// The build that is rolled out.
const CANDIDATE_BUILD: BuildNumber = BuildNumber::new(42);

/// Position of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ListPosition(pub(super) usize);

/// Number of endpoints of a run.
pub(super) const ENDPOINT_COUNT: usize = 8;
pub(super) const SLOW_ENDPOINT: ListPosition = ListPosition(0);
pub(super) const UNRESPONSIVE_ENDPOINT: ListPosition = ListPosition(1);
pub(super) const DRAINING_ENDPOINT: ListPosition = ListPosition(2);
/// Number of endpoints that run the candidate if there is one; they come first in the list.
pub(super) const CANDIDATE_ENDPOINT_COUNT: usize = 3;

/// How an instance is restarted: with or without a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestartKind {
    /// The instance saves no snapshot and starts without learned state.
    WithoutSnapshot,
    /// The instance saves snapshots and starts with the state that it had learned before the kill.
    WithSnapshot,
}

impl RestartKind {
    /// Both kinds, in the order of the tables.
    pub(super) const ALL: [RestartKind; 2] =
        [RestartKind::WithoutSnapshot, RestartKind::WithSnapshot];
}

/// The faults before and after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// One endpoint is slow, one does not respond, and one is draining.
    FaultyEndpoints,
    /// The same faults, but the slow and the unresponsive endpoint recover before the restart.
    RecoveredEndpoints,
    /// Traffic is low, and the candidate fails one request in twelve, which the instance has
    /// detected before the kill.
    BadBuild,
}

impl Scenario {
    /// All scenarios, in the order of the tables.
    pub(super) const ALL: [Scenario; 3] = [
        Scenario::FaultyEndpoints,
        Scenario::RecoveredEndpoints,
        Scenario::BadBuild,
    ];

    /// Returns the name of the scenario in tables.
    pub(super) fn name(self) -> &'static str {
        match self {
            Scenario::FaultyEndpoints => "trouble",
            Scenario::RecoveredEndpoints => "healed",
            Scenario::BadBuild => "bad build",
        }
    }

    /// Returns the state of the rollout, which is the same throughout a run.
    pub(super) fn announcement(self) -> Announcement {
        match self {
            Scenario::FaultyEndpoints | Scenario::RecoveredEndpoints => RELEASED,
            Scenario::BadBuild => Announcement {
                build: CANDIDATE_BUILD,
                phase: AnnouncedPhase::Canary,
                traffic_cap: 0.5,
                ..RELEASED
            },
        }
    }

    /// Returns the build that an endpoint runs.
    pub(super) fn build_of(self, endpoint: ListPosition) -> BuildNumber {
        if self == Scenario::BadBuild && endpoint.0 < CANDIDATE_ENDPOINT_COUNT {
            CANDIDATE_BUILD
        } else {
            BASELINE_BUILD
        }
    }

    /// Returns the state of an endpoint in the endpoint list.
    pub(super) fn listed_state_of(self, endpoint: ListPosition) -> ListedState {
        if self != Scenario::BadBuild && endpoint == DRAINING_ENDPOINT {
            ListedState::Draining
        } else {
            ListedState::Ready
        }
    }
}

/// Announces that the baseline is released, and has been for some seconds.
pub(super) const RELEASED: Announcement = Announcement {
    build: BASELINE_BUILD,
    stage: StageIndex::new(1),
    phase: AnnouncedPhase::Released,
    traffic_cap: 1.0,
    age: Duration::from_secs(4),
};
