//! Errors of the experiments: an experiment cannot be run, or a check in it has failed.

use std::io;
use std::path::{Path, PathBuf};

use parquet::errors::ParquetError;
use plotters::drawing::DrawingAreaErrorKind;
use tidescale_snapshot::crash_history::CrashHistoryError;
use tidescale_snapshot::directory::LockError;
use tidescale_snapshot::format::FormatError;
use tidescale_snapshot::store::SaveError;

/// The error with which an experiment ends.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file or directory cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A Parquet file cannot be written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The Parquet file.
        path: PathBuf,
        /// The underlying error.
        source: ParquetError,
    },
    /// A chart cannot be written.
    #[error("{}: {source}", path.display())]
    Chart {
        /// The file of the chart.
        path: PathBuf,
        /// The underlying error.
        source: DrawingAreaErrorKind<io::Error>,
    },
    /// An operation on a process, a socket or a thread has failed.
    #[error("cannot {operation}: {source}")]
    System {
        /// The operation, as a verb with its object.
        operation: &'static str,
        /// The underlying error.
        source: io::Error,
    },
    /// The thread pool cannot be created.
    #[error("cannot create a pool of {threads} threads: {source}")]
    ThreadPool {
        /// Requested number of threads.
        threads: usize,
        /// The underlying error.
        source: rayon::ThreadPoolBuildError,
    },
    /// A thread panicked.
    #[error("the thread of {0} panicked")]
    Panicked(&'static str),

    /// A wrong snapshot was read back after a power loss on the simulated disk.
    #[error(transparent)]
    History(#[from] CrashHistoryError),
    /// An injected fault was not detected.
    #[error("injected fault was not detected in {histories} histories: {fault_name}")]
    FaultNotDetected {
        /// Name of the fault.
        fault_name: &'static str,
        /// Number of histories that were run.
        histories: u64,
    },

    /// A snapshot directory cannot be locked.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The snapshot directory.
        path: PathBuf,
        /// The underlying error.
        source: LockError,
    },
    /// A snapshot cannot be saved.
    #[error("{}: {source}", path.display())]
    Save {
        /// The directory in which the snapshot was to be saved.
        path: PathBuf,
        /// The underlying error.
        source: SaveError,
    },
    /// A snapshot that was just encoded cannot be decoded.
    #[error("cannot decode a snapshot of {endpoints} endpoints: {source}")]
    SnapshotUnreadable {
        /// Number of endpoints in the snapshot.
        endpoints: usize,
        /// The decoder's error.
        source: FormatError,
    },
    /// A killed process printed unexpected output or left its files in an invalid state.
    #[error(transparent)]
    Torture(#[from] TortureError),

    /// `trace` was started with zero trials.
    #[error("trace: --runs must be at least 1")]
    NoTraceRuns,
    /// The trials do not confirm that the rates of false rollbacks and of missed bad builds are
    /// within their limits.
    #[error(
        "{summary}; limits of {max_false_rollback_percent:.0}% and {max_missed_percent:.0}%: {finding}"
    )]
    RatesNotConfirmed {
        /// Summary of the experiment.
        summary: String,
        /// Limit on the share of good builds rolled back, in percent.
        max_false_rollback_percent: f64,
        /// Limit on the share of harmful builds not rolled back, in percent.
        max_missed_percent: f64,
        /// `broken` if the confidence interval of at least one rate lies entirely above its limit.
        /// Otherwise `not shown`: at least one interval contains its limit, and none lies above.
        finding: &'static str,
    },

    /// A proxy instance exited, or did not accept connections in time, after its start.
    #[error("a proxy instance exited or did not accept connections in time")]
    ProxyNotListening,
    /// The log of a proxy instance has no number after a key.
    #[error("the log of the proxy instance has no number after {0:?}")]
    MetricNotLogged(&'static str),
    /// Attempts were sent to a draining endpoint.
    #[error("restart: attempts were sent to a draining endpoint in {runs} runs")]
    DrainingEndpointUsed {
        /// Number of runs in which this happened.
        runs: usize,
    },
    /// The gain from a snapshot is below the bound of a scenario.
    #[error(
        "restart: {scenario}: the gain from the snapshot is too small: share of answers within the \
         objective {with:.3} with a snapshot, {without:.3} without"
    )]
    SnapshotDoesNotHelp {
        /// Name of the scenario.
        scenario: &'static str,
        /// Share of answers within the objective, with a snapshot.
        with: f64,
        /// Share of answers within the objective, without a snapshot.
        without: f64,
    },
}

/// A fault in the output of a killed process, or in the files that it left.
#[derive(Debug, thiserror::Error)]
pub enum TortureError {
    /// The process exited before its first save.
    #[error("a process exited before its first save")]
    EndedBeforeSave,
    /// The process printed a line that does not report a save.
    #[error("unexpected line in the output of a process: {0}")]
    UnexpectedLine(String),
    /// A snapshot file is damaged.
    #[error("damaged file after kill {kill}: {damage}")]
    DamagedFile {
        /// Number of the kill in its directory, counted from 1.
        kill: u64,
        /// The store's description of the damage.
        damage: String,
    },
    /// A saved state was lost, or a state was read back whose save had not begun.
    #[error(
        "state {read_back} was read back, expected one from {saved} (saved) to {begun} (begun)"
    )]
    UnexpectedState {
        /// The state that was read back.
        read_back: u64,
        /// The last state reported as saved.
        saved: u64,
        /// The last state whose save had begun.
        begun: u64,
    },
    /// The records that were read back differ from those of the state, as after a torn write.
    #[error("the records of state {0} differ from those that were written")]
    TornState(u64),
    /// The directory contains files other than those that the store keeps.
    #[error("the snapshot directory contains unexpected files: {0:?}")]
    UnexpectedFiles(Vec<String>),
}

impl ExperimentError {
    /// Returns a function that adds the path of a file or directory to an I/O error.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError {
        move |source| ExperimentError::File {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Returns a function that adds the failed operation, a verb with its object, to an I/O error.
    pub fn during(operation: &'static str) -> impl FnOnce(io::Error) -> ExperimentError {
        move |source| ExperimentError::System { operation, source }
    }
}
