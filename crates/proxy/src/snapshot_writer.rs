//! Writes snapshots of what the policy has learned. Records are collected in slices between iterations of the event
//! loop; a thread of its own encodes and writes them, because a disk may stall.
//!
//! | module | its one job |
//! | --- | --- |
//! | `collector` | collects the policy's records, some in each slice |
//! | `background` | the thread that writes |
//! | `restore` | restores to the policy what still counts of a snapshot |
//! | `directory` | what the proxy knows of endpoints and the policy does not |
//!
//! Invariants: the event loop never waits for the disk, except for the last snapshot and then no longer than the
//! operators allow; at most one snapshot waits for the thread.

mod background;
mod collector;
mod directory;
mod restore;

use std::time::{Duration, Instant};

use slog::{Logger, debug, info, warn};
use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::records::Record;
use tidescale_snapshot::scheduler::{Budgets, JobId, Scheduler};
use tidescale_snapshot::store::Store;

use crate::operators::SnapshotSettings;

use background::{BackgroundWriter, PendingWrite, WriteResult};
use collector::Collection;

pub use directory::EndpointDirectory;
pub use restore::restore;

/// Priority of writing snapshots; it matters only once there are other jobs.
const PRIORITY: u8 = 1;

/// Writes a snapshot at intervals, and a last one at shutdown.
pub struct SnapshotWriter {
    scheduler: Scheduler,
    job: JobId,
    collection: Collection,
    background: BackgroundWriter,
    /// How long shutdown may wait for the last snapshot.
    shutdown_timeout: Duration,
    /// Duration of the longest slice, for which the event loop stood still.
    longest_slice: Duration,
    log: Logger,
}

impl SnapshotWriter {
    /// Locks the directory and starts the thread. Returns the writer and the newest whole snapshot found. None if the
    /// directory cannot be used: the log says why, and the instance serves without snapshots.
    pub fn open(
        settings: &SnapshotSettings,
        now: Timestamp,
        log: Logger,
    ) -> Option<(SnapshotWriter, Option<Snapshot>)> {
        let directory = match Directory::lock(&settings.folder) {
            Ok(directory) => directory,
            Err(why) => {
                warn!(log, "snapshots are off"; "folder" => %settings.folder.display(), "why" => %why);
                return None;
            }
        };
        let (store, opened) = Store::open(directory);
        for file in &opened.unusable_files {
            warn!(log, "snapshot file set aside"; "what" => %file);
        }
        let background = match BackgroundWriter::start(store) {
            Ok(background) => background,
            Err(why) => {
                warn!(log, "snapshots are off"; "why" => %why);
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
            collection: Collection::default(),
            background,
            shutdown_timeout: settings.final_write_timeout,
            longest_slice: Duration::ZERO,
            log,
        };
        Some((writer, opened.snapshot))
    }

    /// Does one slice of work, if one is due.
    pub fn run_slice(
        &mut self,
        directory: &EndpointDirectory<'_>,
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
        if let Some(records) = self.collection.collect_slice(directory, now, policy) {
            self.submit(records, now);
            self.scheduler.finish(self.job, now);
        }
        let duration = started_at.elapsed();
        self.longest_slice = self.longest_slice.max(duration);
        self.scheduler.record_time(duration, now);
    }

    /// When [`run_slice`](SnapshotWriter::run_slice) is worth calling again.
    pub fn next_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.scheduler.next_wake_up(now)
    }

    /// Writes the last snapshot, after every client has its response. Waits no longer than the operators allow.
    pub fn write_final(
        &mut self,
        directory: &EndpointDirectory<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) {
        let deadline = Instant::now() + self.shutdown_timeout;
        let records = self.collection.collect_all(directory, now, policy);
        // The thread refuses the last snapshot while another one waits.
        if self.wait_for_last_result(deadline, now).is_some() {
            self.submit(records, now);
        }
        match self.wait_for_last_result(deadline, now) {
            None => warn!(self.log, "last snapshot not written in time"),
            // The log says why.
            Some(false) => {}
            Some(true) => {
                let longest_slice_us = self.longest_slice.as_micros() as u64;
                info!(self.log, "last snapshot written"; "longest_slice_us" => longest_slice_us);
            }
        }
    }

    /// Waits until the thread has nothing left to write. Whether it has written the last of it; none if it has not
    /// finished by the deadline.
    fn wait_for_last_result(&mut self, deadline: Instant, now: Timestamp) -> Option<bool> {
        let mut is_written = false;
        while self.background.has_pending() {
            let time_remaining = deadline.saturating_duration_since(Instant::now());
            let result = self.background.wait_for_result(time_remaining)?;
            is_written = result.is_ok();
            self.record_result(result, now);
        }
        Some(is_written)
    }

    /// Hands a snapshot to the thread, or drops it if another one still waits: a disk that stalls must not fill the
    /// memory.
    fn submit(&mut self, records: Vec<Record>, now: Timestamp) {
        let write = PendingWrite {
            written_at: now,
            records,
        };
        if let Err(why) = self.background.submit(write) {
            warn!(self.log, "snapshot not written"; "why" => %why);
        }
    }

    fn record_result(&mut self, result: WriteResult, now: Timestamp) {
        match result {
            Ok(bytes) => {
                debug!(self.log, "snapshot written"; "bytes" => bytes);
                self.scheduler.record_bytes(bytes, now);
            }
            Err(why) => warn!(self.log, "snapshot not written"; "why" => %why),
        }
    }
}
