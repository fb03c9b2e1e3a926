//! `restart`: kills and restarts a proxy instance under load, with and without its snapshot, with
//! stand-ins on loopback for the systems around it. Also measures the cost of snapshots of several
//! sizes.

mod configuration;
mod instance;
mod load;
mod report;
mod run;
mod scenario;
mod snapshot_cost;
mod window;

use std::fs;
use std::path::PathBuf;

use clap::Args;
use rayon::prelude::*;

use crate::error::ExperimentError;
use instance::RunNumber;
use report::Report;
use run::{RunPlan, RunRow};
use scenario::{RestartKind, Scenario};
use snapshot_cost::SnapshotCost;
use window::Window;

/// Sizes of the snapshots whose cost is measured, in endpoints.
const SNAPSHOT_SIZES: [usize; 3] = [10, 400, 5000];

/// A lower bound on the gain from a snapshot in a scenario.
struct Bound {
    scenario: Scenario,
    window: Window,
    /// Least difference between the shares of answers within the objective with and without a
    /// snapshot, each the median over the runs.
    min_gain: f64,
}

/// A snapshot has to help while endpoints are faulty. In the other scenarios it may reduce the
/// share of answers within the objective by a small amount.
const BOUNDS: [Bound; 3] = [
    Bound {
        scenario: Scenario::FaultyEndpoints,
        window: Window::OneSecond,
        min_gain: 0.0,
    },
    Bound {
        scenario: Scenario::RecoveredEndpoints,
        window: Window::TenSeconds,
        min_gain: -0.03,
    },
    Bound {
        scenario: Scenario::BadBuild,
        window: Window::TenSeconds,
        min_gain: -0.03,
    },
];

/// Number and seeds of the runs of `restart`, the proxy that they start, and where results are
/// written.
#[derive(Args)]
pub struct RestartArgs {
    /// Runs of each scenario with a snapshot, and as many without; 0 measures only the cost of
    /// snapshots.
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Seed of the first run; it increases by one for each further run of a scenario.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the tables and charts.
    #[arg(long)]
    out: PathBuf,
    /// Path of the proxy's program [default: `tidescale` in the directory of this program].
    #[arg(long = "front")]
    proxy: Option<PathBuf>,
    /// Number of runs in parallel.
    #[arg(long = "lanes", value_name = "LANES", default_value_t = 4)]
    parallel_runs: usize,
}

/// Paths that all runs share.
struct Environment {
    /// The proxy's program.
    program: PathBuf,
    /// Directory for the files of the runs, removed at the end.
    dir: PathBuf,
}

/// Runs the scenarios, measures the cost of snapshots, writes the files and returns the summary
/// line.
///
/// # Errors
///
/// Returns an error if a run fails, if a file cannot be written, or if a bound is not met.
pub fn run(args: &RestartArgs) -> Result<String, ExperimentError> {
    let environment = Environment {
        program: proxy_program(args)?,
        dir: std::env::temp_dir().join(format!("tidescale-restart-{}", std::process::id())),
    };
    fs::create_dir_all(&args.out).map_err(ExperimentError::at(&args.out))?;
    let plans = plan_runs(args);
    let rows = run_all(&plans, args.parallel_runs, &environment)?;
    let mut costs = Vec::new();
    for (index, endpoints) in SNAPSHOT_SIZES.into_iter().enumerate() {
        let number = RunNumber((plans.len() + index) as u64);
        costs.push(SnapshotCost::measure(endpoints, number, &environment)?);
    }
    // Files that are not removed do no harm, and an error here must not hide the result.
    let _ = fs::remove_dir_all(&environment.dir);
    let report = Report {
        rows: &rows,
        costs: &costs,
    };
    report.write(&args.out)?;
    check_bounds(&report)?;
    Ok(summary(&report))
}

fn proxy_program(args: &RestartArgs) -> Result<PathBuf, ExperimentError> {
    if let Some(program) = &args.proxy {
        return Ok(program.clone());
    }
    let own_path = std::env::current_exe().map_err(ExperimentError::during("find this program"))?;
    Ok(own_path.with_file_name("tidescale"))
}

/// Plans a run of every scenario with each seed, without and with a snapshot.
fn plan_runs(args: &RestartArgs) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    for index in 0..args.runs {
        for scenario in Scenario::ALL {
            for kind in RestartKind::ALL {
                plans.push(RunPlan {
                    number: RunNumber(plans.len() as u64),
                    scenario,
                    kind,
                    seed: args.seed + index,
                });
            }
        }
    }
    plans
}

fn run_all(
    plans: &[RunPlan],
    threads: usize,
    environment: &Environment,
) -> Result<Vec<RunRow>, ExperimentError> {
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(threads)
        .build()
        .map_err(|source| ExperimentError::ThreadPool { threads, source })?;
    pool.install(|| {
        plans
            .par_iter()
            .map(|plan| run::run(plan, environment))
            .collect()
    })
}

/// Checks that no attempt was sent to a draining endpoint, and that [`BOUNDS`] are met.
fn check_bounds(report: &Report) -> Result<(), ExperimentError> {
    let runs = report
        .rows
        .iter()
        .filter(|row| row.attempts_at_draining > 0.0)
        .count();
    if runs > 0 {
        return Err(ExperimentError::DrainingEndpointUsed { runs });
    }
    for bound in &BOUNDS {
        let share = |kind| {
            report.median_of(bound.scenario, kind, |row| {
                row.within_objective[bound.window]
            })
        };
        let with = share(RestartKind::WithSnapshot);
        let without = share(RestartKind::WithoutSnapshot);
        if with < without + bound.min_gain {
            return Err(ExperimentError::SnapshotDoesNotHelp {
                scenario: bound.scenario.name(),
                with,
                without,
            });
        }
    }
    Ok(())
}

fn summary(report: &Report) -> String {
    let first_second = |kind| {
        report.median_of(Scenario::FaultyEndpoints, kind, |row| {
            row.within_objective[Window::OneSecond]
        })
    };
    format!(
        "restart: {} runs, within objective in the first second under trouble {:.3} with a snapshot, {:.3} without; \
         no attempt at a draining endpoint",
        report.rows.len(),
        first_second(RestartKind::WithSnapshot),
        first_second(RestartKind::WithoutSnapshot)
    )
}
