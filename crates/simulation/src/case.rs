//! What a trial runs: the size of the deployment, the settings of the instances, the build under
//! evaluation, and other trouble.

use std::time::Duration;

use crate::build_behavior::BuildBehavior;
use crate::confounder::Confounder;

/// Size of the deployment and length of the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Proxy instances.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Length of the trial in virtual time, in whole seconds.
    pub duration: Duration,
}

impl FleetSize {
    /// The deployment of one team.
    pub const SMALL: FleetSize = FleetSize {
        instances: 5,
        endpoints: 12,
        duration: Duration::from_secs(45),
    };
    /// A deployment over several racks.
    pub const MEDIUM: FleetSize = FleetSize {
        instances: 60,
        endpoints: 150,
        duration: Duration::from_secs(40),
    };
    /// The largest deployment that is modelled.
    pub const LARGE: FleetSize = FleetSize {
        instances: 400,
        endpoints: 1000,
        duration: Duration::from_secs(35),
    };
}

/// What makes the platform roll a build back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollbackTrigger {
    /// The votes of the instances, as in a real deployment.
    Votes,
    /// Nothing: every build advances through the stages by the clock.
    Never,
    /// The first failed or timed-out attempt at the candidate, at any instance. This is far too
    /// sensitive; experiments use it to check that they detect false rollbacks.
    FirstFailure,
}

/// Which of the optional limits the settings have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsProfile {
    /// Hedging is allowed, stages advance automatically, exposure is counted over all routes.
    Standard,
    /// No hedging, stages wait for votes, exposure by route, idempotency keys bound to a build, and
    /// an endpoint list that has to be polled.
    Strict,
}

/// One trial. Trials that differ only in `build` make a pair: everything else is equal until the
/// build is offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialCase {
    /// Seed of every draw.
    pub seed: u64,
    /// Size of the deployment.
    pub size: FleetSize,
    /// Settings of the instances.
    pub profile: SettingsProfile,
    /// How the candidate behaves.
    pub build: BuildBehavior,
    /// Trouble that the build does not cause.
    pub confounder: Confounder,
    /// What makes the platform roll back.
    pub rollback_trigger: RollbackTrigger,
}
