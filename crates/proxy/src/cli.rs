//! The command line: its arguments, and the commands other than serving.

mod snapshot_command;

use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use thiserror::Error;
use tidescale_snapshot::directory::LockError;

use crate::explain;

pub use snapshot_command::{SnapshotCommand, snapshot};

/// A proxy tier that watches over software updates.
#[derive(Parser)]
#[command(name = "tidescale", version, max_term_width = 100)]
pub struct Cli {
    /// What to do; without a command the program serves.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program can do.
#[derive(Subcommand)]
pub enum Command {
    /// Serve; the same as no command at all.
    Run(Run),
    /// Look at, check or clear what a proxy instance has learned and stored.
    // The alias is the command's former name, which scripts may still use.
    #[command(subcommand, alias = "memory")]
    Snapshot(SnapshotCommand),
    /// The rollback verdicts in an instance's log as a table; exit code 1 where there are none.
    Explain {
        /// The log; standard input where none is named.
        log: Option<PathBuf>,
    },
}

/// How to serve.
#[derive(Args, Default)]
pub struct Run {
    /// The operators' file; without one nothing in it is on.
    #[arg(long, value_name = "FILE")]
    pub operators: Option<PathBuf>,
}

/// Why a command is not carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Standard input cannot be read.
    #[error("standard input: {0}")]
    ReadStandardInput(#[source] io::Error),
    /// There is no whole snapshot to show.
    #[error("{}: no whole snapshot", .0.display())]
    NoSnapshot(PathBuf),
    /// The path to clear is no directory.
    #[error("{}: not a directory", .0.display())]
    NotADirectory(PathBuf),
    /// The directory that is to be cleared cannot be locked.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The directory.
        path: PathBuf,
        /// Why not.
        source: LockError,
    },
    /// A file cannot be removed.
    #[error("{}: {source}", path.display())]
    Clear {
        /// The directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// Prints the rollback verdicts of a log, or of standard input if none is named. The exit code is 1 if there are none.
///
/// # Errors
///
/// If the log cannot be read.
pub fn explain(log: Option<&Path>) -> Result<ExitCode, CliError> {
    let text = match log {
        Some(path) => std::fs::read(path).map_err(|source| CliError::Read {
            path: path.into(),
            source,
        })?,
        None => read_standard_input().map_err(CliError::ReadStandardInput)?,
    };
    if let Some(table) = explain::table(&String::from_utf8_lossy(&text)) {
        println!("{table}");
        Ok(ExitCode::SUCCESS)
    } else {
        println!("no verdicts");
        Ok(ExitCode::FAILURE)
    }
}

fn read_standard_input() -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}
