//! `verdicts`: simulated rollouts of builds whose behavior is known. Measures how many good builds
//! are rolled back and how many harmful ones are not, and checks both rates against their limits.

mod charts;
mod interval;
mod report;
mod trials;

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use rayon::prelude::*;
use tidescale_simulation::case::{FleetSize, RollbackTrigger};

use crate::error::ExperimentError;
use crate::units::seconds;
use interval::Proportion;
use trials::TrialRow;

/// Limit on the share of good builds that are rolled back.
const MAX_FALSE_ROLLBACK_RATE: f64 = 0.01;
/// Limit on the share of harmful builds that are not rolled back.
const MAX_MISSED_RATE: f64 = 0.05;

/// Size of the simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fleet {
    /// 5 instances, 12 endpoints.
    Small,
    /// 60 instances, 150 endpoints.
    Grown,
    /// 400 instances, 1000 endpoints.
    Huge,
}

impl Fleet {
    /// Returns the simulated size. The variants keep the words of the option `--fleet` and of the
    /// printed tables, so that existing commands and results stay valid; in the code of the
    /// simulation, `grown` is [`FleetSize::MEDIUM`] and `huge` is [`FleetSize::LARGE`].
    fn size(self) -> FleetSize {
        match self {
            Fleet::Small => FleetSize::SMALL,
            Fleet::Grown => FleetSize::MEDIUM,
            Fleet::Huge => FleetSize::LARGE,
        }
    }
}

/// What triggers a rollback: the votes of the policy, or one of two wrong triggers. With a wrong
/// trigger, the experiment has to report that a rate exceeds its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum RollbackTriggerArg {
    /// Votes of the policy.
    #[value(name = "module")]
    Votes,
    /// No votes: every build is released.
    #[value(name = "never")]
    Never,
    /// The first failure rolls a build back, which is far too sensitive.
    #[value(name = "first")]
    FirstFailure,
}

impl RollbackTriggerArg {
    fn trigger(self) -> RollbackTrigger {
        match self {
            RollbackTriggerArg::Votes => RollbackTrigger::Votes,
            RollbackTriggerArg::Never => RollbackTrigger::Never,
            RollbackTriggerArg::FirstFailure => RollbackTrigger::FirstFailure,
        }
    }

    /// Returns the name in the heading of the tables.
    fn name(self) -> &'static str {
        match self {
            RollbackTriggerArg::Votes => "votes of the policy",
            RollbackTriggerArg::Never => "nobody votes",
            RollbackTriggerArg::FirstFailure => "first failure rolls back",
        }
    }
}

/// Which trials `verdicts` runs, what triggers their rollbacks, and where results are written.
#[derive(Args)]
pub struct VerdictsArgs {
    /// Seed of the first trial; it increases by one for each further trial.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of trials.
    #[arg(long, default_value_t = 10_000)]
    runs: u64,
    /// Size of the simulated deployment.
    #[arg(long, value_enum, default_value = "small")]
    fleet: Fleet,
    /// What decides on a rollback.
    #[arg(
        long = "word",
        value_name = "DECIDER",
        value_enum,
        default_value = "module"
    )]
    rollback_trigger: RollbackTriggerArg,
    /// Directory for the tables and charts; without it none are written.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// The measured proportions to which the limits apply.
struct Rates {
    false_rollbacks: Proportion,
    missed: Proportion,
}

impl Rates {
    fn of(rows: &[TrialRow]) -> Rates {
        Rates {
            false_rollbacks: Proportion::of(
                rows.iter().filter(|row| row.is_good()),
                TrialRow::was_rolled_back,
            ),
            missed: Proportion::of(
                rows.iter().filter(|row| row.is_harmful()),
                TrialRow::has_passed,
            ),
        }
    }

    fn summary(&self, runs: u64) -> String {
        let Rates {
            false_rollbacks,
            missed,
        } = self;
        format!(
            "verdicts: {runs} trials, good sent back {} of {} (at most {:.1}%), harmful passed {} of {} (at most {:.1}%)",
            false_rollbacks.matching,
            false_rollbacks.total,
            100.0 * false_rollbacks.interval().upper,
            missed.matching,
            missed.total,
            100.0 * missed.interval().upper
        )
    }

    /// Checks that the confidence intervals lie within the limits, and returns the summary if they
    /// do.
    fn check(&self, summary: String) -> Result<String, ExperimentError> {
        let false_rollbacks = self.false_rollbacks.interval();
        let missed = self.missed.interval();
        if false_rollbacks.upper <= MAX_FALSE_ROLLBACK_RATE && missed.upper <= MAX_MISSED_RATE {
            return Ok(summary);
        }
        // With few trials the upper end of an interval may exceed a limit that is in fact kept.
        let is_broken =
            false_rollbacks.lower > MAX_FALSE_ROLLBACK_RATE || missed.lower > MAX_MISSED_RATE;
        Err(ExperimentError::RatesNotConfirmed {
            summary,
            max_false_rollback_percent: 100.0 * MAX_FALSE_ROLLBACK_RATE,
            max_missed_percent: 100.0 * MAX_MISSED_RATE,
            finding: if is_broken { "broken" } else { "not shown" },
        })
    }
}

/// Runs the trials, prints and writes their tables, and returns the summary line.
///
/// # Errors
///
/// Returns an error if the trials do not confirm that the rates are within their limits, or if a
/// file cannot be written.
pub fn run(args: &VerdictsArgs) -> Result<String, ExperimentError> {
    let size = args.fleet.size();
    let rows: Vec<TrialRow> = (0..args.runs)
        .into_par_iter()
        .map(|index| args.seed.wrapping_add(index))
        .map(|seed| {
            TrialRow::measure(trials::draw_case(
                seed,
                size,
                args.rollback_trigger.trigger(),
            ))
        })
        .collect();
    let times = times_to_rollback(&rows);
    let text = heading(args) + &report::tables(&rows, &times);
    print!("{text}");
    if let Some(out) = &args.out {
        write_files(out, &text, &rows, &times)?;
    }
    let rates = Rates::of(&rows);
    rates.check(rates.summary(args.runs))
}

fn heading(args: &VerdictsArgs) -> String {
    format!(
        "{:?} fleet, seeds {} to {}, {}.\n\n",
        args.fleet,
        args.seed,
        args.seed.wrapping_add(args.runs).wrapping_sub(1),
        args.rollback_trigger.name()
    )
}

/// Returns the seconds from the offer of each harmful build to its rollback, in ascending order.
fn times_to_rollback(rows: &[TrialRow]) -> Vec<f64> {
    let mut times: Vec<f64> = rows
        .iter()
        .filter(|row| row.is_harmful())
        .filter_map(|row| row.outcome.rolled_back_after)
        .map(seconds)
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    times
}

fn write_files(
    out: &Path,
    text: &str,
    rows: &[TrialRow],
    times: &[f64],
) -> Result<(), ExperimentError> {
    fs::create_dir_all(out).map_err(ExperimentError::at(out))?;
    let tables = out.join("tables.md");
    fs::write(&tables, text).map_err(ExperimentError::at(&tables))?;
    report::write_rows(&out.join("rows.parquet"), rows)?;
    charts::write_operating_curve(&out.join("curve.svg"), rows)?;
    charts::write_times(&out.join("times.svg"), times)
}
