//! Writes snapshots of what the policy has learned. Records are collected in slices between
//! iterations of the event loop. A separate thread encodes and writes them, because a disk may
//! stall.
//!
//! | module | job |
//! | --- | --- |
//! | `collector` | collects the policy's records, some in each slice |
//! | `background` | the thread that writes |
//! | `restore` | restores the records of a snapshot that still count |
//! | `directory` | what the proxy knows of endpoints besides the policy |
//!
//! Invariants: the event loop never waits for the disk, except for the final snapshot and then no
//! longer than configured; at most one snapshot waits for the thread.

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

/// Priority of writing snapshots among the jobs of the scheduler, of which it is the only one.
const PRIORITY: u8 = 1;

/// The result of the last write that was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStatus {
    /// The snapshot is on disk.
    Written,
    /// It failed, or there was none.
    NotWritten,
}

/// Writes a snapshot at regular intervals and a final one at shutdown.
pub struct SnapshotWriter {
    scheduler: Scheduler,
    job: JobId,
    collector: RecordCollector,
    background: BackgroundWriter,
    /// How long shutdown may wait for the final snapshot.
    final_write_timeout: Duration,
    /// Duration of the longest slice, which blocks the event loop.
    longest_slice: Duration,
    log: Logger,
}

impl SnapshotWriter {
    /// Locks the directory and starts the thread. Returns the writer and the newest complete
    /// snapshot. Returns `None` if the directory cannot be used: that is logged, and the instance
    /// serves without snapshots.
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
        let (store, opened) = Store::open(directory);
        for file in &opened.unusable_files {
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
        let job = scheduler.add(PRIORITY, now + interval, interval);
        let writer = SnapshotWriter {
            scheduler,
            job,
            collector: RecordCollector::default(),
            background,
            final_write_timeout: settings.final_write_timeout,
            longest_slice: Duration::ZERO,
            log,
        };
        Some((writer, opened.snapshot))
    }

    /// Does one slice of work if the scheduler allows it now.
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

    /// When [`run_slice`](SnapshotWriter::run_slice) has work to do again.
    pub fn next_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.scheduler.next_wake_up(now)
    }

    /// Writes the final snapshot, after all clients have their responses. Waits no longer than
    /// configured.
    pub fn write_final(
        &mut self,
        listed_processes: &ListedProcesses<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) {
        let deadline = Instant::now() + self.final_write_timeout;
        let records = self.collector.collect_all(listed_processes, now, policy);
        // The thread refuses the final snapshot while another one waits.
        if self.wait_for_last_result(deadline, now).is_some() {
            self.submit(records, now);
        }
        match self.wait_for_last_result(deadline, now) {
            None => log_lines::final_snapshot_timed_out(&self.log),
            // The failure has been logged.
            Some(WriteStatus::NotWritten) => {}
            Some(WriteStatus::Written) => {
                log_lines::final_snapshot_written(&self.log, self.longest_slice);
            }
        }
    }

    /// Waits until the thread has nothing left to write. Returns whether the last of these writes
    /// succeeded, or `None` if the thread has not finished by the deadline.
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

    /// Passes a snapshot to the thread, or drops it if another one still waits, so that snapshots
    /// do not pile up in memory while the disk stalls.
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
