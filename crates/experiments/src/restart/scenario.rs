//! What happens around a restart.

use crate::stand_ins::Announcement;

/// The build that serves before any rollout.
pub(super) const BASELINE_BUILD: u32 = 41;
/// The build that is rolled out.
const CANDIDATE_BUILD: u32 = 42;

/// Endpoints of a run.
pub(super) const ENDPOINTS: usize = 8;
/// Index of the endpoint that is slow.
pub(super) const SLOW_ENDPOINT: usize = 0;
/// Index of the endpoint that does not answer.
pub(super) const UNRESPONSIVE_ENDPOINT: usize = 1;
/// Index of the endpoint that drains.
pub(super) const DRAINING_ENDPOINT: usize = 2;
/// The first so many endpoints run the candidate, where there is one.
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

/// What happens around a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// One endpoint is slow, one does not answer, one drains.
    Trouble,
    /// The same, and both have recovered by the time the instance is back.
    Healed,
    /// Traffic is thin, a build under evaluation fails one request in twelve, and the instance had found that out.
    BadBuild,
}

impl Scenario {
    /// All of them.
    pub(super) const ALL: [Scenario; 3] = [Scenario::Trouble, Scenario::Healed, Scenario::BadBuild];

    /// Its name in tables.
    pub(super) fn name(self) -> &'static str {
        match self {
            Scenario::Trouble => "trouble",
            Scenario::Healed => "healed",
            Scenario::BadBuild => "bad build",
        }
    }

    /// The rollout's state throughout a run.
    pub(super) fn announcement(self) -> Announcement {
        match self {
            Scenario::Trouble | Scenario::Healed => RELEASED,
            Scenario::BadBuild => Announcement {
                build: CANDIDATE_BUILD,
                status: "trial",
                traffic_cap: 0.5,
                ..RELEASED
            },
        }
    }

    /// The build that an endpoint runs.
    pub(super) fn build_of(self, endpoint: usize) -> u32 {
        if self == Scenario::BadBuild && endpoint < CANDIDATE_ENDPOINTS {
            CANDIDATE_BUILD
        } else {
            BASELINE_BUILD
        }
    }

    /// An endpoint's state in the endpoint list.
    pub(super) fn listed_state_of(self, endpoint: usize) -> &'static str {
        if self != Scenario::BadBuild && endpoint == DRAINING_ENDPOINT {
            "leaving"
        } else {
            "active"
        }
    }
}

/// The baseline serves everywhere, since some seconds.
pub(super) const RELEASED: Announcement = Announcement {
    build: BASELINE_BUILD,
    stage: 1,
    status: "released",
    traffic_cap: 1.0,
    age_ms: 4000,
};
