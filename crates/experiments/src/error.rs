//! Why an experiment ends without its summary line: it could not be run, or it has shown a fault.

use std::io;
use std::path::{Path, PathBuf};

use parquet::errors::ParquetError;
use plotters::drawing::DrawingAreaErrorKind;
use tidescale_snapshot::crash_history::BrokenHistory;
use tidescale_snapshot::directory::LockError;
use tidescale_snapshot::format::FormatError;
use tidescale_snapshot::store::SaveError;

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A table of rows cannot be written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The file.
        path: PathBuf,
        /// Why.
        source: ParquetError,
    },
    /// A chart cannot be drawn.
    #[error("{}: {source}", path.display())]
    Chart {
        /// The file.
        path: PathBuf,
        /// Why.
        source: DrawingAreaErrorKind<io::Error>,
    },
    /// The operating system refused a step: a process, a socket, a thread.
    #[error("{step}: {source}")]
    System {
        /// What was to be done.
        step: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// The pool of threads cannot be made.
    #[error("a pool of {threads} threads: {source}")]
    ThreadPool {
        /// Its size.
        threads: usize,
        /// Why.
        source: rayon::ThreadPoolBuildError,
    },
    /// A thread has panicked.
    #[error("{0} has panicked")]
    Panicked(&'static str),

    /// A history on the simulated disk did not read back whole.
    #[error(transparent)]
    History(#[from] BrokenHistory),
    /// A fault put in on purpose did not show.
    #[error("{fault} is not caught within {histories} histories")]
    FaultNotCaught {
        /// The fault.
        fault: &'static str,
        /// Histories that were run.
        histories: u64,
    },

    /// A snapshot directory cannot be locked.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The directory.
        path: PathBuf,
        /// Why.
        source: LockError,
    },
    /// A snapshot cannot be saved.
    #[error("{}: {source}", path.display())]
    Save {
        /// The directory.
        path: PathBuf,
        /// Why.
        source: SaveError,
    },
    /// A snapshot that was just encoded cannot be decoded.
    #[error("a snapshot of {endpoints} endpoints: {source}")]
    SnapshotUnreadable {
        /// Its size.
        endpoints: usize,
        /// Why, as the decoder says it.
        source: FormatError,
    },
    /// What a killed process has left is not a state that it may leave.
    #[error(transparent)]
    Torture(#[from] TortureError),

    /// No trial was asked for.
    #[error("trace: no runs were asked for")]
    NoTraceRuns,
    /// The rates of false rollbacks or of missed builds are not shown to be kept.
    #[error("{summary}; stated: {false_rollbacks:.0}% and {missed:.0}%, {finding}")]
    RatesNotKept {
        /// The experiment's summary.
        summary: String,
        /// Stated rate of good builds rolled back, in percent.
        false_rollbacks: f64,
        /// Stated rate of harmful builds passed, in percent.
        missed: f64,
        /// `broken`, or `not shown` where only the interval reaches over a rate.
        finding: &'static str,
    },

    /// A proxy instance does not accept connections.
    #[error("a proxy instance does not come up")]
    ProxyNotUp,
    /// A proxy instance's log lacks a figure.
    #[error("the proxy instance does not log {0}")]
    FigureNotLogged(&'static str),
    /// Requests went to an endpoint that drains.
    #[error("restart: {runs} runs sent attempts to a draining endpoint")]
    DrainingEndpointUsed {
        /// Runs in which they did.
        runs: usize,
    },
    /// A snapshot makes a restart worse than it may.
    #[error("restart: {scenario}: {with:.3} with a snapshot, {without:.3} without")]
    SnapshotDoesNotHelp {
        /// The scenario.
        scenario: &'static str,
        /// Share of the answers within their objective, with a snapshot.
        with: f64,
        /// The same without one.
        without: f64,
    },
}

/// What a killed process must not leave behind.
#[derive(Debug, thiserror::Error)]
pub enum TortureError {
    /// It was killed before it had saved anything.
    #[error("a process does not come up")]
    NoOutput,
    /// It printed something else than what it saves.
    #[error("an odd line: {0}")]
    OddLine(String),
    /// A file of its folder is not whole.
    #[error("after kill {kill}: {note}")]
    DamagedFile {
        /// Number of the kill.
        kill: u64,
        /// What the store says of the file.
        note: String,
    },
    /// A state was lost, or one appeared that nobody wrote.
    #[error("state {read_back} was read back, where {saved} was saved and {begun} begun")]
    WrongState {
        /// The state that was read back.
        read_back: u64,
        /// The last one reported as saved.
        saved: u64,
        /// The last one begun.
        begun: u64,
    },
    /// A state is not as it was written.
    #[error("state {0} is torn or mixed")]
    TornState(u64),
    /// More files are left than the store keeps.
    #[error("files pile up: {0:?}")]
    FilesLeft(Vec<String>),
}

impl ExperimentError {
    /// Names the file or folder at which something failed.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError {
        move |source| ExperimentError::File {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Names the step that failed.
    pub fn in_step(step: &'static str) -> impl FnOnce(io::Error) -> ExperimentError {
        move |source| ExperimentError::System { step, source }
    }
}
