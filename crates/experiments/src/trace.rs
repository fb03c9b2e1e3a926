//! `trace`: one digest over every decision of many seeded trials. Two commits that decide alike print the same line.

use clap::Args;
use rayon::prelude::*;
use tidescale_simulation::build_behavior::BuildBehavior;
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::digest::Digest;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

use crate::error::ExperimentError;

/// One trial in so many is of the larger fleet.
const GROWN_EVERY: u64 = 10;
/// Tells the draws of a case apart from those of its trial.
const CASE_STREAM: u64 = 10;
/// Share of the trials whose build is good.
const GOOD_SHARE: f64 = 0.5;

/// Arguments of `trace`.
#[derive(Args)]
pub struct TraceArgs {
    /// Seed of the first trial; the others count on from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of trials.
    #[arg(long, default_value_t = 200)]
    runs: u64,
}

/// Runs the trials, folds their digests in order into one, and returns the summary line.
///
/// # Errors
///
/// Where no trial was asked for.
pub fn run(args: &TraceArgs) -> Result<String, ExperimentError> {
    let TraceArgs { seed, runs } = *args;
    if runs == 0 {
        return Err(ExperimentError::NoTraceRuns);
    }
    let outcomes: Vec<_> = (0..runs)
        .into_par_iter()
        .map(|index| run_trial(case(seed, index)))
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

/// Trial number `index`: confounders in turn, both settings profiles, good and bad builds as they are drawn.
fn case(seed: u64, index: u64) -> TrialCase {
    let seed = seed.wrapping_add(index);
    let mut random = RandomStream::new(seed, CASE_STREAM);
    let confounders = Confounder::ALL.len() as u64;
    let build = if random.happens(GOOD_SHARE) {
        BuildBehavior::draw_good(&mut random)
    } else {
        BuildBehavior::draw_bad(&mut random)
    };
    TrialCase {
        seed,
        size: if index % GROWN_EVERY == GROWN_EVERY - 1 {
            FleetSize::GROWN
        } else {
            FleetSize::SMALL
        },
        profile: if (index / confounders).is_multiple_of(2) {
            SettingsProfile::Standard
        } else {
            SettingsProfile::Strict
        },
        build,
        confounder: Confounder::ALL[(index % confounders) as usize],
        rollback_trigger: RollbackTrigger::Votes,
    }
}
