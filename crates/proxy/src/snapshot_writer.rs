//! Writes snapshots of the state of the policy. Records are collected in slices between iterations
//! of the event loop. A separate thread encodes and writes them, because disk I/O may block.
//!
//! | module | purpose |
//! | --- | --- |
//! | `collector` | collects the policy's records, a bounded number in each slice |
//! | `background` | the thread that encodes and writes snapshots |
//! | `restore` | restores the valid records of a snapshot |
//! | `listed_processes` | the endpoint list and the processes in it |
//!
//! Invariants: the event loop never waits for the disk, except for the final snapshot, and then at
//! most for the configured time; at most one snapshot is queued for the thread.

mod background;
mod collector;
mod listed_processes;
mod restore;

use std::time::{Duration, Instant};

use slog::{Logger, debug};
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::records::Record;
use tidescale_snapshot::scheduler::{Budgets, JobId, Scheduler};
use tidescale_snapshot::store::Store;

use crate::log_lines;
use crate::operators::SnapshotSettings;

use background::{BackgroundWriter, PendingWrite, WriteResult};
use collector::RecordCollector;

pub use listed_processes::ListedProcesses;
pub use restore::restore;

/// Priority of the snapshot job, which is the only job of the scheduler.
const SNAPSHOT_JOB_PRIORITY: u8 = 1;

/// The outcome of the write that was submitted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStatus {
    /// The snapshot is on disk.
    Written,
    /// The write failed, or no write was pending.
    NotWritten,
}

/// Writes a snapshot at regular intervals and a final one at shutdown.
pub struct SnapshotWriter {
    scheduler: Scheduler,
    job: JobId,
    collector: RecordCollector,
    background: BackgroundWriter,
    /// Maximum time that shutdown waits for the final snapshot.
    final_write_timeout: Duration,
    /// Duration of the longest slice; the event loop is blocked during a slice.
    longest_slice: Duration,
    log: Logger,
}

impl SnapshotWriter {
    /// Locks the directory and starts the thread. Returns the writer and the newest complete
    /// snapshot. If the directory cannot be locked or the thread cannot be started, logs the error
    /// and returns `None`; the instance then runs without snapshots.
    pub fn open(
        settings: &SnapshotSettings,
        now: Timestamp,
        log: Logger,
    ) -> Option<(SnapshotWriter, Option<Snapshot>)> {
        let directory = match Directory::lock(&settings.folder) {
            Ok(directory) => directory,
            Err(error) => {
                log_lines::snapshots_disabled(&log, &settings.folder, &error);
                return None;
            }
        };
        let (store, contents) = Store::open(directory);
        for file in &contents.unusable_files {
            log_lines::snapshot_file_quarantined(&log, file);
        }
        let background = match BackgroundWriter::start(store) {
            Ok(background) => background,
            Err(error) => {
                log_lines::snapshots_disabled(&log, &settings.folder, &error);
                return None;
            }
        };
        let budgets = Budgets {
            time_per_second: settings.loop_time_per_second,
            bytes_per_second: settings.bytes_per_second.as_u64(),
        };
        let interval = settings.write_interval;
        let mut scheduler = Scheduler::new(budgets, now);
        let job = scheduler.add(SNAPSHOT_JOB_PRIORITY, now + interval, interval);
        let writer = SnapshotWriter {
            scheduler,
            job,
            collector: RecordCollector::default(),
            background,
            final_write_timeout: settings.final_write_timeout,
            longest_slice: Duration::ZERO,
            log,
        };
        Some((writer, contents.snapshot))
    }

    /// Handles the results of finished writes. Then collects one slice of records if the scheduler
    /// allows it now, and submits the snapshot to the thread once all are collected.
    pub fn run_slice(
        &mut self,
        listed_processes: &ListedProcesses<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) {
        while let Some(result) = self.background.try_result() {
            self.record_result(result, now);
        }
        if self.scheduler.next(now).is_none() {
            return;
        }
        let started_at = Instant::now();
        if let Some(records) = self.collector.collect_slice(listed_processes, now, policy) {
            self.submit(records, now);
            self.scheduler.finish(self.job, now);
        }
        let duration = started_at.elapsed();
        self.longest_slice = self.longest_slice.max(duration);
        self.scheduler.record_time(duration, now);
    }

    /// Returns the time at which [`run_slice`](SnapshotWriter::run_slice) next has work to do;
    /// `None` if the scheduler has no job.
    pub fn next_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.scheduler.next_wake_up(now)
    }

    /// Writes the final snapshot at shutdown, after all clients have received their responses.
    /// Waits at most for the configured time.
    pub fn write_final(
        &mut self,
        listed_processes: &ListedProcesses<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) {
        let deadline = Instant::now() + self.final_write_timeout;
        let records = self.collector.collect_all(listed_processes, now, policy);
        // Submitting fails while another snapshot is queued, so wait for the earlier writes first.
        if self.wait_for_last_result(deadline, now).is_some() {
            self.submit(records, now);
        }
        match self.wait_for_last_result(deadline, now) {
            None => log_lines::final_snapshot_timed_out(&self.log),
            // `record_result` or `submit` has logged the error.
            Some(WriteStatus::NotWritten) => {}
            Some(WriteStatus::Written) => {
                log_lines::final_snapshot_written(&self.log, self.longest_slice);
            }
        }
    }

    /// Waits until the thread has finished all pending writes. Returns the outcome of the last of
    /// them, or `None` if the deadline expires first or the thread has ended.
    fn wait_for_last_result(&mut self, deadline: Instant, now: Timestamp) -> Option<WriteStatus> {
        let mut status = WriteStatus::NotWritten;
        while self.background.has_pending() {
            let time_remaining = deadline.saturating_duration_since(Instant::now());
            let result = self.background.wait_for_result(time_remaining)?;
            status = match result {
                Ok(_) => WriteStatus::Written,
                Err(_) => WriteStatus::NotWritten,
            };
            self.record_result(result, now);
        }
        Some(status)
    }

    /// Submits a snapshot to the thread. If another one is still queued, the new one is dropped, so
    /// that snapshots do not accumulate in memory while the disk is slow.
    fn submit(&mut self, records: Vec<Record>, now: Timestamp) {
        let write = PendingWrite {
            written_at: now,
            records,
        };
        if let Err(error) = self.background.submit(write) {
            log_lines::snapshot_write_failed(&self.log, &error);
        }
    }

    fn record_result(&mut self, result: WriteResult, now: Timestamp) {
        match result {
            Ok(bytes) => {
                debug!(self.log, "snapshot written"; "bytes" => bytes);
                self.scheduler.record_bytes(bytes, now);
            }
            Err(error) => log_lines::snapshot_write_failed(&self.log, &error),
        }
    }
}
