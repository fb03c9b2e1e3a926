//! The command-line interface: the argument parser and all commands other than `run`.

mod snapshot_command;

use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use thiserror::Error;
use tidescale_snapshot::directory::LockError;

use crate::explain;

pub use snapshot_command::{SnapshotCommand, snapshot};

/// A proxy that evaluates rollouts and rolls back bad builds.
#[derive(Parser)]
#[command(name = "tidescale", version, max_term_width = 100)]
pub struct Cli {
    /// The command; `run` by default.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve; this is the default command.
    Run(RunArgs),
    /// Show, check or clear the snapshots of a proxy instance.
    // The alias is the former name of the command, which scripts may still use.
    #[command(subcommand, alias = "memory")]
    Snapshot(SnapshotCommand),
    /// Print the rollback verdicts in the log of an instance as a table; the exit code is 1 if
    /// there are none.
    Explain {
        /// The log file; standard input by default.
        log: Option<PathBuf>,
    },
}

/// The arguments of `run`.
#[derive(Args, Default)]
pub struct RunArgs {
    /// The operators' file; without one, its features are disabled.
    #[arg(long, value_name = "FILE")]
    pub operators: Option<PathBuf>,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Standard input cannot be read.
    #[error("standard input: {0}")]
    ReadStandardInput(#[source] io::Error),
    /// The directory or file contains no complete snapshot.
    #[error("{}: no whole snapshot", .0.display())]
    NoSnapshot(PathBuf),
    /// The path to clear is not a directory.
    #[error("{}: not a directory", .0.display())]
    NotADirectory(PathBuf),
    /// The directory to clear cannot be locked.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The path of the directory.
        path: PathBuf,
        /// Why the lock was not acquired.
        source: LockError,
    },
    /// A snapshot file cannot be removed.
    #[error("{}: {source}", path.display())]
    Clear {
        /// The path of the directory.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
}

/// Prints the rollback verdicts in a log file, or in standard input if no file is given. The exit
/// code is 1 if there are none.
///
/// # Errors
///
/// The log cannot be read.
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
