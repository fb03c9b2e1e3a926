//! The scenarios: the trouble around a restart.

use std::time::Duration;

use tidescale_policy::types::{BuildNumber, StageIndex};

use super::configuration::ListedState;
use crate::stand_ins::{AnnouncedPhase, Announcement};

/// The build that serves before any rollout.
pub(super) const BASELINE_BUILD: BuildNumber = BuildNumber::new(41);
/// The build that is rolled out.
const CANDIDATE_BUILD: BuildNumber = BuildNumber::new(42);

/// Position of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ListPosition(pub(super) usize);

/// Number of endpoints of a run.
pub(super) const ENDPOINTS: usize = 8;
/// The endpoint that is slow.
pub(super) const SLOW_ENDPOINT: ListPosition = ListPosition(0);
/// The endpoint that does not respond.
pub(super) const UNRESPONSIVE_ENDPOINT: ListPosition = ListPosition(1);
/// The endpoint that is draining.
pub(super) const DRAINING_ENDPOINT: ListPosition = ListPosition(2);
/// Number of endpoints that run the candidate if there is one; they come first in the list.
pub(super) const CANDIDATE_ENDPOINTS: usize = 3;

/// Whether an instance saves a snapshot and starts with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestartKind {
    /// It starts with nothing learned.
    WithoutSnapshot,
    /// It starts with what it had learned before.
    WithSnapshot,
}

impl RestartKind {
    /// Both, in the order of the tables.
    pub(super) const ALL: [RestartKind; 2] =
        [RestartKind::WithoutSnapshot, RestartKind::WithSnapshot];
}

/// The trouble around a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// One endpoint is slow, one does not respond, and one is draining.
    FaultyEndpoints,
    /// The same, but the first two have recovered before the instance is restarted.
    RecoveredEndpoints,
    /// Traffic is low, and a build under evaluation fails one request in twelve, which the instance
    /// had detected before its restart.
    BadBuild,
}

impl Scenario {
    /// All of them.
    pub(super) const ALL: [Scenario; 3] = [
        Scenario::FaultyEndpoints,
        Scenario::RecoveredEndpoints,
        Scenario::BadBuild,
    ];

    /// Its name in tables.
    pub(super) fn name(self) -> &'static str {
        match self {
            Scenario::FaultyEndpoints => "trouble",
            Scenario::RecoveredEndpoints => "healed",
            Scenario::BadBuild => "bad build",
        }
    }

    /// The rollout's state throughout a run.
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

    /// The build that an endpoint runs.
    pub(super) fn build_of(self, endpoint: ListPosition) -> BuildNumber {
        if self == Scenario::BadBuild && endpoint.0 < CANDIDATE_ENDPOINTS {
            CANDIDATE_BUILD
        } else {
            BASELINE_BUILD
        }
    }

    /// An endpoint's state in the endpoint list.
    pub(super) fn listed_state_of(self, endpoint: ListPosition) -> ListedState {
        if self != Scenario::BadBuild && endpoint == DRAINING_ENDPOINT {
            ListedState::Draining
        } else {
            ListedState::Ready
        }
    }
}

/// The baseline has been serving everywhere for some seconds.
pub(super) const RELEASED: Announcement = Announcement {
    build: BASELINE_BUILD,
    stage: StageIndex::new(1),
    phase: AnnouncedPhase::Released,
    traffic_cap: 1.0,
    age: Duration::from_secs(4),
};
