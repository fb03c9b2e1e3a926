//! `tidescale-experiments`: experiments by sub-command. Each prints one summary line last and exits non-zero where a stated
//! bound is broken; the same seed gives the same cases.

mod disk;
mod restart;
mod standins;
mod table;
mod torture;
mod trace;
mod verdicts;

use std::path::PathBuf;
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
    /// The power fails at every step of seeded histories of saves on a modelled disk.
    Disk {
        #[arg(long, default_value_t = 1000)]
        histories: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Processes that save are killed, on the real file system.
    Torture {
        #[arg(long, default_value_t = 5000)]
        kills: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folders in parallel.
        #[arg(long, default_value_t = 8)]
        lanes: u64,
        /// Where the folders are made; they are removed at the end.
        #[arg(long)]
        dir: Option<PathBuf>,
    },
    /// Fronts killed under load and started again, with and without memory.
    Restart {
        #[arg(long, default_value_t = 5)]
        runs: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: PathBuf,
        /// The front's program; the `tidescale` beside this one where none is named.
        #[arg(long)]
        front: Option<PathBuf>,
        /// Plays at a time.
        #[arg(long, default_value_t = 4)]
        lanes: usize,
    },
    /// Trials of builds whose truth is known, against the stated rates.
    Verdicts {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10_000)]
        runs: u64,
        #[arg(long, value_enum, default_value = "small")]
        fleet: verdicts::Fleet,
        /// Whose word counts.
        #[arg(long, value_enum, default_value = "module")]
        word: verdicts::Word,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// One digest over every decision of seeded trials, to compare two commits.
    Trace {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        runs: u64,
    },
    /// What `torture` starts and kills.
    #[command(hide = true)]
    Saver { folder: PathBuf },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Disk { histories, seed } => disk::run(histories, seed),
        Command::Torture {
            kills,
            seed,
            lanes,
            dir,
        } => torture::run(kills, seed, lanes, dir),
        Command::Restart {
            runs,
            seed,
            out,
            front,
            lanes,
        } => restart::run(runs, seed, &out, front, lanes),
        Command::Verdicts {
            seed,
            runs,
            fleet,
            word,
            out,
        } => verdicts::run(seed, runs, fleet, word, out.as_deref()),
        Command::Trace { seed, runs } => trace::run(seed, runs),
        Command::Saver { folder } => torture::save(&folder),
    };
    match done {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(line) => {
            println!("FAILED: {line}");
            ExitCode::FAILURE
        }
    }
}
