//! `saver`: the process that `torture` starts and kills. It saves numbered states one after another
//! and prints a line before and after each save.

use std::io::{Write, stdout};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::{Directory, LockError};
use tidescale_snapshot::store::Store;

use crate::error::ExperimentError;

/// First word of the line printed before a save; the number of the state follows.
pub const BEGUN: &str = "begun";
/// First word of the line printed after a save; the number of the state follows.
pub const SAVED: &str = "saved";

/// Maximum time to wait for the operating system to release the lock of a killed process.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts to lock; short compared with the few milliseconds that a process runs
/// before it is killed.
const LOCK_POLL: Duration = Duration::from_millis(1);

/// Where `saver` stores its snapshots.
#[derive(Args)]
pub struct SaverArgs {
    /// Directory for the snapshots.
    folder: PathBuf,
}

/// Saves states until the process is killed, starting with the number after the last saved state.
///
/// # Errors
///
/// Returns an error if the directory cannot be locked, or if a save fails.
pub fn run(args: &SaverArgs) -> Result<String, ExperimentError> {
    let (mut store, contents) = Store::open(lock_directory(&args.folder)?);
    let mut number = contents
        .snapshot
        .map_or(0, |snapshot| snapshot.written_at.as_micros());
    let mut out = stdout();
    loop {
        number += 1;
        writeln!(out, "{BEGUN} {number}")
            .map_err(ExperimentError::during("write to standard output"))?;
        store
            .save(Timestamp::from_micros(number), records_of(number))
            .map_err(|source| ExperimentError::Save {
                path: args.folder.clone(),
                source,
            })?;
        writeln!(out, "{SAVED} {number}")
            .map_err(ExperimentError::during("write to standard output"))?;
    }
}

/// Locks a directory whose lock may still be held by a process that was just killed.
///
/// # Errors
///
/// Returns an error if the directory cannot be created or locked, or if it is still locked after
/// the timeout.
pub fn lock_directory(path: &Path) -> Result<Directory, ExperimentError> {
    let started_at = Instant::now();
    loop {
        match Directory::lock(path) {
            Ok(directory) => return Ok(directory),
            Err(LockError::Locked) if started_at.elapsed() < LOCK_TIMEOUT => {
                thread::sleep(LOCK_POLL);
            }
            Err(source) => {
                let path = path.to_path_buf();
                return Err(ExperimentError::Lock { path, source });
            }
        }
    }
}
