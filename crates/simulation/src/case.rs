//! Configuration of a trial: the size of the deployment, the settings of the instances, the build
//! under evaluation and the confounder.

use std::time::Duration;

use crate::build_behavior::BuildBehavior;
use crate::confounder::Confounder;

/// Size of the deployment and duration of the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of proxy instances.
    pub instances: usize,
    /// Number of endpoints at the start of the trial.
    pub endpoints: usize,
    /// Duration of the trial in virtual time, in whole seconds.
    pub duration: Duration,
}

impl FleetSize {
    /// The deployment of one team.
    pub const SMALL: FleetSize = FleetSize {
        instances: 5,
        endpoints: 12,
        duration: Duration::from_secs(45),
    };
    /// A deployment that spans several racks.
    pub const MEDIUM: FleetSize = FleetSize {
        instances: 60,
        endpoints: 150,
        duration: Duration::from_secs(40),
    };
    /// The largest modelled deployment.
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
    /// Nothing: the platform ignores votes, and every build passes through the stages on a fixed
    /// schedule.
    Never,
    /// Each failed or timed-out attempt at the candidate counts as a rollback vote of its instance,
    /// so that in a small fleet the first one triggers the rollback. This trigger is deliberately
    /// far too sensitive: experiments use it to check that they detect false rollbacks.
    FirstFailure,
}

/// Which optional restrictions the settings of the instances enable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsProfile {
    /// Hedging is allowed, stages advance automatically, and exposure is limited over all routes
    /// together.
    Standard,
    /// No hedging, stages wait for votes, exposure is limited for each route, idempotency keys are
    /// bound to a build, and the endpoint list has to be polled.
    Strict,
}

/// Configuration of one trial. Trials that differ only in `build` form a pair: they run identically
/// until the rollout of the build starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialCase {
    /// Seed of all random streams of the trial.
    pub seed: u64,
    /// Size of the deployment.
    pub size: FleetSize,
    /// Profile of the instances' settings.
    pub profile: SettingsProfile,
    /// Behavior of the candidate.
    pub build: BuildBehavior,
    /// Disturbance that the build does not cause.
    pub confounder: Confounder,
    /// What makes the platform roll the candidate back.
    pub rollback_trigger: RollbackTrigger,
}
