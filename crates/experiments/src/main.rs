//! `tidescale-experiments`: a subcommand for each experiment.
//!
//! Each experiment prints a summary as its last line, and exits with a non-zero status if a bound
//! is not met. A seed determines the cases that are tested. `disk`, `verdicts` and `trace` run in
//! simulated time, so a seed also determines their results; `torture` and `restart` run real
//! processes in real time, so their results vary.

mod bar_chart;
mod disk;
mod error;
mod parquet_table;
mod restart;
mod saver;
mod stand_ins;
mod torture;
mod trace;
mod units;
mod verdicts;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Experiments on tidescale.
#[derive(Parser)]
#[command(name = "tidescale-experiments", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check that snapshots survive a power loss at every step of seeded save histories on a
    /// simulated disk.
    Disk(disk::DiskArgs),
    /// Check that snapshots survive SIGKILL during a save, on the real file system.
    Torture(torture::TortureArgs),
    /// Kill and restart proxy instances under load, with and without a snapshot.
    Restart(restart::RestartArgs),
    /// Measure the rates of false rollbacks and of missed bad builds in simulated rollouts.
    Verdicts(verdicts::VerdictsArgs),
    /// Print a digest over every decision of seeded trials, to compare two commits.
    Trace(trace::TraceArgs),
    /// Save snapshots until killed; started by `torture`.
    #[command(hide = true)]
    Saver(saver::SaverArgs),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Disk(args) => disk::run(&args),
        Command::Torture(args) => torture::run(&args),
        Command::Restart(args) => restart::run(&args),
        Command::Verdicts(args) => verdicts::run(&args),
        Command::Trace(args) => trace::run(&args),
        Command::Saver(args) => saver::run(&args),
    };
    match result {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("FAILED: {error}");
            ExitCode::FAILURE
        }
    }
}
