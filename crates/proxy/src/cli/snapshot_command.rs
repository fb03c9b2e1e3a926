//! The command `tidescale snapshot`, which shows, checks and removes the snapshots of a proxy
//! instance.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Subcommand;
use comfy_table::{Table, presets};
use serde_json::json;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::expiry::{self, ProcessMatch};
use tidescale_snapshot::format::{self, Snapshot};
use tidescale_snapshot::records::{Process, Record};
use tidescale_snapshot::store::{self, Quarantine, StoreContents, UnusableFile};

use super::CliError;

/// The commands for snapshots.
#[derive(Subcommand)]
pub enum SnapshotCommand {
    /// Print each record with its age and its current weight.
    Show {
        /// A directory of snapshots, or one file.
        path: PathBuf,
        /// Print one JSON document in place of a table.
        #[arg(long)]
        json: bool,
    },
    /// Check the files; the exit code is 0 if there is a complete snapshot and no damaged file,
    /// else 1.
    Check {
        /// A directory of snapshots, or one file.
        path: PathBuf,
    },
    /// Remove all snapshots; an instance that uses the directory has to be stopped first.
    Clear {
        /// A directory of snapshots.
        path: PathBuf,
    },
}

/// Runs a `snapshot` command. The exit code is 1 if a snapshot file is damaged, or if `check` finds
/// no complete snapshot.
///
/// # Errors
///
/// There is no complete snapshot to show, a file cannot be read or removed, or the directory cannot
/// be locked.
pub fn snapshot(command: &SnapshotCommand) -> Result<ExitCode, CliError> {
    match command {
        SnapshotCommand::Show { path, json: true } => show(path, print_json),
        SnapshotCommand::Show { path, json: false } => show(path, print_table),
        SnapshotCommand::Check { path } => check(path),
        SnapshotCommand::Clear { path } => clear(path),
    }
}

fn show(path: &Path, print: fn(&Snapshot, Timestamp)) -> Result<ExitCode, CliError> {
    let contents = read_newest(path)?;
    for file in &contents.unusable_files {
        eprintln!("tidescale: {file}");
    }
    let Some(snapshot) = contents.snapshot else {
        return Err(CliError::NoSnapshot(path.into()));
    };
    print(&snapshot, now());
    Ok(exit_code(contents.unusable_files.is_empty()))
}

fn check(path: &Path) -> Result<ExitCode, CliError> {
    let contents = read_newest(path)?;
    for file in &contents.unusable_files {
        println!("{file}");
    }
    let Some(snapshot) = contents.snapshot else {
        println!("no whole snapshot");
        return Ok(ExitCode::FAILURE);
    };
    let (sequence, count) = (snapshot.sequence, snapshot.records.len());
    println!("snapshot {sequence} is whole, {count} records");
    Ok(exit_code(contents.unusable_files.is_empty()))
}

fn clear(path: &Path) -> Result<ExitCode, CliError> {
    if !path.is_dir() {
        return Err(CliError::NotADirectory(path.into()));
    }
    let mut directory = Directory::lock(path).map_err(|source| CliError::Lock {
        path: path.into(),
        source,
    })?;
    let removed = store::clear(&mut directory).map_err(|source| CliError::Clear {
        path: path.into(),
        source,
    })?;
    println!("{removed} files removed");
    Ok(ExitCode::SUCCESS)
}

fn exit_code(is_success: bool) -> ExitCode {
    if is_success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reads the newest complete snapshot in a directory, or the snapshot in a single file.
fn read_newest(path: &Path) -> Result<StoreContents, CliError> {
    if path.is_dir() {
        return Ok(store::read_newest(&mut Directory::without_lock(path)));
    }
    let bytes = read_file(path).map_err(|source| CliError::Read {
        path: path.into(),
        source,
    })?;
    let mut contents = StoreContents::default();
    match format::decode(&bytes) {
        Ok(snapshot) => contents.snapshot = Some(snapshot),
        Err(error) => contents.unusable_files.push(UnusableFile {
            name: path.display().to_string(),
            error: error.into(),
            quarantine: Quarantine::NotAttempted,
        }),
    }
    Ok(contents)
}

/// Reads at most [`format::READ_LIMIT`] bytes of the file, which suffice to decode it or to find
/// that it is too long.
fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?
        .take(format::READ_LIMIT as u64)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp::ZERO + since_epoch.unwrap_or_default()
}

/// Prints the snapshot as JSON. Scripts depend on the field names, so they must not change.
fn print_json(snapshot: &Snapshot, now: Timestamp) {
    let listed = snapshot.listed_processes();
    let records: Vec<_> = snapshot
        .records
        .iter()
        .map(|record| json!({"fact": record, "weight": weight(record, &listed, now)}))
        .collect();
    let document = json!({
        "sequence": snapshot.sequence,
        "written": snapshot.written_at.as_micros(),
        "unknown_records": snapshot.unknown_records,
        "facts": records,
    });
    println!("{document}");
}

fn print_table(snapshot: &Snapshot, now: Timestamp) {
    let listed = snapshot.listed_processes();
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_header(["record", "of", "age", "weight"]);
    for record in &snapshot.records {
        table.add_row([
            record.kind_name().into(),
            record.subject(),
            age_text(record.observed_at(), now),
            format!("{:.2}", weight(record, &listed, now)),
        ]);
    }
    println!("{table}");
    println!(
        "snapshot {}, written {} ago, {} records",
        snapshot.sequence,
        age_text(snapshot.written_at, now),
        snapshot.records.len()
    );
}

/// Returns the current weight of a record. A record about a process has the weight 0 unless the
/// endpoint list in the same snapshot has this process under the same endpoint name.
fn weight(record: &Record, listed: &BTreeMap<&str, &Process>, now: Timestamp) -> f64 {
    let process_match = record.observed_process().map(|process| {
        let listed = listed.get(process.endpoint.as_str()).copied();
        ProcessMatch::compare(process, listed)
    });
    if process_match == Some(ProcessMatch::Different) {
        0.0
    } else {
        expiry::weight(record, now)
    }
}

fn age_text(observed_at: Timestamp, now: Timestamp) -> String {
    match expiry::age(observed_at, now) {
        Some(age) => humantime::format_duration(Duration::from_secs(age.as_secs())).to_string(),
        None => "in the future".into(),
    }
}
