//! `trace`: prints a digest over every decision of many seeded trials. Two commits whose policies
//! make the same decisions print the same line.

use clap::Args;
use rayon::prelude::*;
use tidescale_simulation::build_behavior::BuildBehavior;
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::digest::Digest;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

use crate::error::ExperimentError;

/// Every trial whose one-based number is a multiple of this has a medium fleet, all others a small
/// one.
const TRIALS_PER_MEDIUM_FLEET: u64 = 10;
/// Random stream from which cases are drawn, separate from those of the trials.
const CASE_STREAM: u64 = 10;
/// Probability that a trial has a good build.
const GOOD_SHARE: f64 = 0.5;

/// Which trials `trace` runs: consecutive seeds from a first one.
#[derive(Args)]
pub struct TraceArgs {
    /// Seed of the first trial; it increases by one for each further trial.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of trials.
    #[arg(long, default_value_t = 200)]
    runs: u64,
}

/// Runs the trials, combines their digests in order, and returns the summary line.
///
/// # Errors
///
/// Returns an error if the number of trials is zero.
pub fn run(args: &TraceArgs) -> Result<String, ExperimentError> {
    let TraceArgs { seed, runs } = *args;
    if runs == 0 {
        return Err(ExperimentError::NoTraceRuns);
    }
    let outcomes: Vec<_> = (0..runs)
        .into_par_iter()
        .map(TrialIndex)
        .map(|trial| run_trial(trial.case(seed)))
        .collect();
    let mut digest = Digest::default();
    for outcome in &outcomes {
        digest.add(outcome.digest.value());
    }
    let steps: u64 = outcomes.iter().map(|outcome| outcome.steps).sum();
    Ok(format!(
        "trace: seed {seed}, {runs} trials, {steps} rounds, digest {:016x}",
        digest.value()
    ))
}

/// Position of a trial among those of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TrialIndex(u64);

impl TrialIndex {
    /// Returns the case of this trial. The trials cycle through confounders and settings profiles,
    /// and the behavior of the build is drawn at random.
    fn case(self, first_seed: u64) -> TrialCase {
        let seed = first_seed.wrapping_add(self.0);
        let mut random = RandomStream::new(seed, CASE_STREAM);
        let build = if random.bernoulli(GOOD_SHARE) {
            BuildBehavior::draw_good(&mut random)
        } else {
            BuildBehavior::draw_bad(&mut random)
        };
        TrialCase {
            seed,
            size: self.size(),
            profile: self.profile(),
            build,
            confounder: self.confounder(),
            rollback_trigger: RollbackTrigger::Votes,
        }
    }

    fn size(self) -> FleetSize {
        if (self.0 + 1).is_multiple_of(TRIALS_PER_MEDIUM_FLEET) {
            FleetSize::MEDIUM
        } else {
            FleetSize::SMALL
        }
    }

    /// Returns the settings profile, which alternates after each cycle through all confounders.
    fn profile(self) -> SettingsProfile {
        if (self.0 / Confounder::ALL.len() as u64).is_multiple_of(2) {
            SettingsProfile::Standard
        } else {
            SettingsProfile::Strict
        }
    }

    fn confounder(self) -> Confounder {
        Confounder::ALL[(self.0 % Confounder::ALL.len() as u64) as usize]
    }
}
