//! One digest over every decision of many seeded trials: two commits that decide alike print the same line.

use rayon::prelude::*;
use tidescale_simulation::chance::Chance;
use tidescale_simulation::digest::Digest;
use tidescale_simulation::fleet::{Confounder, Truth};
use tidescale_simulation::trial::{Case, Heeds, Limits, Size, play};

/// One trial in so many is of the larger fleet.
const GROWN_EVERY: u64 = 10;
/// Tells the draws of a case apart from those of its trial.
const CASE_STREAM: u64 = 10;

/// Trial number `index`: confounders in turn, both sets of limits, good and bad builds as they are drawn.
fn case(seed: u64, index: u64) -> Case {
    let mut chance = Chance::new(seed.wrapping_add(index), CASE_STREAM);
    let confounders = Confounder::ALL.len() as u64;
    Case {
        seed: seed.wrapping_add(index),
        size: if index % GROWN_EVERY == GROWN_EVERY - 1 {
            Size::GROWN
        } else {
            Size::SMALL
        },
        limits: if (index / confounders).is_multiple_of(2) {
            Limits::Standard
        } else {
            Limits::Strict
        },
        truth: if chance.of(0.5) {
            Truth::good(&mut chance)
        } else {
            Truth::bad(&mut chance)
        },
        confounder: Confounder::ALL[(index % confounders) as usize],
        heeds: Heeds::Votes,
    }
}

/// Plays the trials and folds their digests, in order, into one.
pub fn run(seed: u64, runs: u64) -> Result<String, String> {
    if runs == 0 {
        return Err("trace: no runs were asked for".into());
    }
    let outcomes: Vec<_> = (0..runs)
        .into_par_iter()
        .map(|index| play(case(seed, index)))
        .collect();
    let mut digest = Digest::default();
    outcomes
        .iter()
        .for_each(|outcome| digest.add(outcome.digest.value()));
    let rounds: u64 = outcomes.iter().map(|outcome| outcome.rounds).sum();
    Ok(format!(
        "trace: seed {seed}, {runs} trials, {rounds} rounds, digest {:016x}",
        digest.value()
    ))
}
