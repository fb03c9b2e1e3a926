//! One digest over every decision of many seeded trials: two commits that decide alike print the same line.

use rayon::prelude::*;
use tidescale_simulation::build_behavior::BuildBehavior;
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::digest::Digest;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

/// One trial in so many is of the larger fleet.
const GROWN_EVERY: u64 = 10;
/// Tells the draws of a case apart from those of its trial.
const CASE_STREAM: u64 = 10;

/// Trial number `index`: confounders in turn, both sets of limits, good and bad builds as they are drawn.
fn case(seed: u64, index: u64) -> TrialCase {
    let mut chance = RandomStream::new(seed.wrapping_add(index), CASE_STREAM);
    let confounders = Confounder::ALL.len() as u64;
    TrialCase {
        seed: seed.wrapping_add(index),
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
        build: if chance.happens(0.5) {
            BuildBehavior::draw_good(&mut chance)
        } else {
            BuildBehavior::draw_bad(&mut chance)
        },
        confounder: Confounder::ALL[(index % confounders) as usize],
        rollback_trigger: RollbackTrigger::Votes,
    }
}

/// Plays the trials and folds their digests, in order, into one.
pub fn run(seed: u64, runs: u64) -> Result<String, String> {
    if runs == 0 {
        return Err("trace: no runs were asked for".into());
    }
    let outcomes: Vec<_> = (0..runs)
        .into_par_iter()
        .map(|index| run_trial(case(seed, index)))
        .collect();
    let mut digest = Digest::default();
    outcomes
        .iter()
        .for_each(|outcome| digest.add(outcome.digest.value()));
    let rounds: u64 = outcomes.iter().map(|outcome| outcome.steps).sum();
    Ok(format!(
        "trace: seed {seed}, {runs} trials, {rounds} rounds, digest {:016x}",
        digest.value()
    ))
}
