//! `tidescale-experiments`: one experiment for each sub-command.
//!
//! Each prints one summary line last and exits non-zero where a stated bound is broken; the same seed gives the same
//! cases. `disk`, `verdicts` and `trace` run in virtual time and give the same figures for the same seed; `torture` and
//! `restart` run real processes on the machine's clock.

mod bar_chart;
mod disk;
mod error;
mod parquet_table;
mod restart;
mod saver;
mod stand_ins;
mod torture;
mod trace;
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
    /// The power fails at every step of seeded histories of saves on a simulated disk.
    Disk(disk::DiskArgs),
    /// Processes that save are killed, on the real file system.
    Torture(torture::TortureArgs),
    /// Proxy instances killed under load and started again, with and without a snapshot.
    Restart(restart::RestartArgs),
    /// Trials of builds whose behavior is known, against the stated rates.
    Verdicts(verdicts::VerdictsArgs),
    /// One digest over every decision of seeded trials, to compare two commits.
    Trace(trace::TraceArgs),
    /// What `torture` starts and kills.
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
