//! `torture`: checks that snapshots survive SIGKILL during writes. A process saves numbered states
//! one after another, reports each save, and is killed at a random time. The state that is read
//! back afterwards has to be complete. It has to be the last one that was reported as saved, or a
//! later one whose save had begun. The directory must contain no files but the snapshots.
//!
//! Processes are killed in several directories in parallel. The option `--lanes` sets the number of
//! directories; the summary line calls them folders.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{ChildStdout, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use oorandom::Rand64;
use rayon::prelude::*;
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::disk::Disk;
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::store::Store;

use crate::error::{ExperimentError, TortureError};
use crate::saver::{BEGUN, SAVED, lock_directory};

/// Upper limit, in microseconds, of the time from the first save of a process to its kill; leaves
/// time for several saves.
const MAX_KILL_DELAY_MICROS: u64 = 8_000;
/// Distance between the seeds of runs with successive `--seed` values, so that no two directories
/// have the same seed.
const SEED_STRIDE: u64 = 1 << 20;
/// The only files that a directory may contain.
const SNAPSHOT_FILES: [&str; 2] = ["memory.0", "memory.1"];

/// How many processes `torture` kills, at which times, and in which directories.
#[derive(Args)]
pub struct TortureArgs {
    /// Number of kills, over all directories.
    #[arg(long, default_value_t = 5000)]
    kills: u64,
    /// Seed of the times at which processes are killed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of directories that are used in parallel.
    #[arg(long = "lanes", value_name = "LANES", default_value_t = 8)]
    directories: u64,
    /// Parent of the directories, which are removed at the end [default: the system's temporary
    /// directory].
    #[arg(long)]
    dir: Option<PathBuf>,
}

/// Totals over the kills in one directory.
#[derive(Default)]
struct KillReport {
    kills: u64,
    saves: u64,
    /// Kills between the start and the end of a save.
    kills_during_save: u64,
    /// Longest time from the start of a process until its first save began.
    slowest_start: Duration,
}

/// The saves that a process has reported.
#[derive(Clone, Copy)]
struct SaveProgress {
    /// The last state whose save had begun.
    begun: u64,
    /// The last state reported as saved.
    saved: u64,
}

/// Kills processes in each directory, checks the files that they leave, and returns the summary
/// line.
///
/// # Errors
///
/// Returns an error if a process cannot be run, or if it leaves its files in an invalid state.
pub fn run(args: &TortureArgs) -> Result<String, ExperimentError> {
    let directory_count = args.directories.max(1);
    let parent = args
        .dir
        .clone()
        .unwrap_or_else(std::env::temp_dir)
        .join(format!("tidescale-torture-{}", std::process::id()));
    let program = std::env::current_exe().map_err(ExperimentError::during("find this program"))?;
    fs::create_dir_all(&parent).map_err(ExperimentError::at(&parent))?;
    let kill_in_directory = |directory_index: u64| {
        let sequence = KillSequence {
            program: &program,
            directory: parent.join(directory_index.to_string()),
            kills: args.kills / directory_count
                + u64::from(directory_index < args.kills % directory_count),
            seed: args
                .seed
                .wrapping_mul(SEED_STRIDE)
                .wrapping_add(directory_index),
        };
        sequence.run()
    };
    let reports: Result<Vec<KillReport>, _> = (0..directory_count)
        .into_par_iter()
        .map(kill_in_directory)
        .collect();
    // Leftover directories are harmless, and an error here must not hide the result.
    let _ = fs::remove_dir_all(&parent);
    Ok(summary(directory_count, &reports?))
}

fn summary(directory_count: u64, reports: &[KillReport]) -> String {
    let sum = |field: fn(&KillReport) -> u64| reports.iter().map(field).sum::<u64>();
    let slowest_start = reports
        .iter()
        .map(|report| report.slowest_start)
        .max()
        .unwrap_or_default();
    format!(
        "torture: {} kills in {lanes} folders, {} of them during a save, {} saves, slowest start {} ms, no torn file \
         and none left over",
        sum(|report| report.kills),
        sum(|report| report.kills_during_save),
        sum(|report| report.saves),
        slowest_start.as_millis(),
        lanes = directory_count
    )
}

/// A sequence of kills in one directory: each process continues from the files that the one before
/// it left.
struct KillSequence<'a> {
    program: &'a Path,
    directory: PathBuf,
    kills: u64,
    seed: u64,
}

impl KillSequence<'_> {
    fn run(&self) -> Result<KillReport, ExperimentError> {
        let mut random = Rand64::new(u128::from(self.seed));
        let mut report = KillReport::default();
        let mut last_state = 0;
        for _ in 0..self.kills {
            let kill_delay = Duration::from_micros(random.rand_u64() % MAX_KILL_DELAY_MICROS);
            let progress = self.start_and_kill(kill_delay, last_state, &mut report)?;
            let read_back = self.check(progress, report.kills + 1)?;
            report.kills += 1;
            report.saves += progress.saved - last_state;
            report.kills_during_save += u64::from(progress.begun > progress.saved);
            last_state = read_back;
        }
        Ok(report)
    }

    /// Starts a process and kills it at this delay after its first save has begun.
    fn start_and_kill(
        &self,
        kill_delay: Duration,
        last_state: u64,
        report: &mut KillReport,
    ) -> Result<SaveProgress, ExperimentError> {
        let started_at = Instant::now();
        let mut child = Command::new(self.program)
            .arg("saver")
            .arg(&self.directory)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(ExperimentError::during("start a process"))?;
        let output = child.stdout.take().ok_or(TortureError::EndedBeforeSave)?;
        let mut lines = BufReader::new(output).lines();
        let first_line = lines
            .next()
            .and_then(Result::ok)
            .ok_or(TortureError::EndedBeforeSave)?;
        report.slowest_start = report.slowest_start.max(started_at.elapsed());
        thread::sleep(kill_delay);
        child
            .kill()
            .and_then(|()| child.wait().map(drop))
            .map_err(ExperimentError::during("kill a process"))?;
        Ok(read_progress(first_line, lines, last_state)?)
    }

    /// Checks the files that a killed process left, and returns the number of the state that is
    /// read back.
    fn check(&self, progress: SaveProgress, kill: u64) -> Result<u64, ExperimentError> {
        let (store, contents) = Store::open(lock_directory(&self.directory)?);
        if let Some(file) = contents.unusable_files.first() {
            let damage = file.to_string();
            return Err(TortureError::DamagedFile { kill, damage }.into());
        }
        let read_back = check_state(progress, contents.snapshot)?;
        let names = store
            .into_disk()
            .names()
            .map_err(ExperimentError::at(&self.directory))?;
        let is_expected = |name: &String| SNAPSHOT_FILES.contains(&name.as_str());
        if !names.iter().all(is_expected) {
            return Err(TortureError::UnexpectedFiles(names).into());
        }
        Ok(read_back)
    }
}

/// Checks the state that was read back and returns its number, or 0 if there is no snapshot.
fn check_state(progress: SaveProgress, snapshot: Option<Snapshot>) -> Result<u64, TortureError> {
    let SaveProgress { begun, saved } = progress;
    let read_back = snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.written_at.as_micros());
    if !(saved..=begun).contains(&read_back) {
        return Err(TortureError::UnexpectedState {
            read_back,
            saved,
            begun,
        });
    }
    if snapshot.is_some_and(|snapshot| snapshot.records != records_of(read_back)) {
        return Err(TortureError::TornState(read_back));
    }
    Ok(read_back)
}

/// Parses the whole output of a process.
fn read_progress(
    first_line: String,
    rest: std::io::Lines<BufReader<ChildStdout>>,
    last_state: u64,
) -> Result<SaveProgress, TortureError> {
    let mut progress = SaveProgress {
        begun: last_state,
        saved: last_state,
    };
    for line in std::iter::once(first_line).chain(rest.map_while(Result::ok)) {
        match line.split_once(' ') {
            Some((BEGUN, number)) => progress.begun = number.parse().unwrap_or(progress.begun),
            Some((SAVED, number)) => progress.saved = number.parse().unwrap_or(progress.saved),
            _ => return Err(TortureError::UnexpectedLine(line)),
        }
    }
    Ok(progress)
}
