//! What is run: the fleet's size, the settings that the instances get, the build and what else goes wrong.

use crate::build_behavior::BuildBehavior;
use crate::confounder::Confounder;

/// How large the deployment is, and how long the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Proxy instances.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Length of the trial in seconds of virtual time.
    pub seconds: u64,
}

impl FleetSize {
    /// A deployment of one team.
    pub const SMALL: FleetSize = FleetSize {
        instances: 5,
        endpoints: 12,
        seconds: 45,
    };
    /// A deployment over some racks.
    pub const GROWN: FleetSize = FleetSize {
        instances: 60,
        endpoints: 150,
        seconds: 40,
    };
    /// The largest one that is modelled.
    pub const HUGE: FleetSize = FleetSize {
        instances: 400,
        endpoints: 1000,
        seconds: 35,
    };
}

/// What makes the platform roll a build back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollbackTrigger {
    /// The instances' votes, as in a real deployment.
    Votes,
    /// Nothing: the build advances by the clock, whatever it is.
    Never,
    /// The first failed or timed-out attempt at the candidate, whoever met it. Far too quick; a checker must show it.
    FirstFailure,
}

/// Which of the optional limits the settings have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsProfile {
    /// Hedging is allowed, stages advance by themselves, exposure counts all routes together.
    Standard,
    /// No hedging, stages wait for votes, exposure by route, idempotency keys bound to a build, a polled list.
    Strict,
}

/// One trial. Trials that differ only in `build` make a pair: all else is equal until the build is offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialCase {
    /// Seed of every draw.
    pub seed: u64,
    /// Size of the deployment.
    pub size: FleetSize,
    /// Settings that the instances get.
    pub profile: SettingsProfile,
    /// What the candidate is like.
    pub build: BuildBehavior,
    /// What else goes wrong.
    pub confounder: Confounder,
    /// What makes the platform roll back.
    pub rollback_trigger: RollbackTrigger,
}
