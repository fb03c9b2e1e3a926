//! Keeps what the policy has learned in a directory: collects its records in slices between iterations of the event
//! loop, and leaves encoding and writing to a thread of its own, for a disk may stall.
//!
//! | module | its one job |
//! | --- | --- |
//! | `collector` | the policy's records, some in each slice |
//! | `background` | the thread that writes |
//! | `restore` | what of a snapshot still counts, back to the policy |
//! | `directory` | what records need beside the policy |
//!
//! Invariants: an iteration of the loop never waits for the disk, but for the last snapshot and no longer than the
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

use crate::operators::Memory;

use background::{BackgroundWriter, PendingWrite, WriteResult};
use collector::Collection;

pub use directory::EndpointDirectory;
pub use restore::restore;

/// The one job so far; any number does.
const PRIORITY: u8 = 1;

/// Writes a snapshot of what the policy has learned from time to time, and the last one at shutdown.
pub struct SnapshotWriter {
    scheduler: Scheduler,
    job: JobId,
    collection: Collection,
    background: BackgroundWriter,
    /// How long the last snapshot may hold up the end.
    shutdown_timeout: Duration,
    /// The longest that a slice has kept the event loop.
    longest_slice: Duration,
    log: Logger,
}

impl SnapshotWriter {
    /// Locks the directory; the writer, and the newest snapshot that it held. None where the directory cannot be
    /// used: the log says why, and the instance serves without snapshots.
    pub fn open(
        settings: &Memory,
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
            time_per_second: Duration::from_micros(settings.time_a_second),
            bytes_per_second: settings.bytes_a_second,
        };
        let interval = Duration::from_micros(settings.every);
        let mut scheduler = Scheduler::new(budgets, now);
        let job = scheduler.add(PRIORITY, now + interval, interval);
        let writer = SnapshotWriter {
            scheduler,
            job,
            collection: Collection::default(),
            background,
            shutdown_timeout: Duration::from_micros(settings.stop_within),
            longest_slice: Duration::ZERO,
            log,
        };
        Some((writer, opened.snapshot))
    }

    /// Does one slice of the work, where it is time for one.
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

    /// Writes the last snapshot, once every client has its response, and waits for it no longer than the operators
    /// allow.
    pub fn write_final(
        &mut self,
        directory: &EndpointDirectory<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) {
        let deadline = Instant::now() + self.shutdown_timeout;
        let time_remaining = || deadline.saturating_duration_since(Instant::now());
        let records = self.collection.collect_all(directory, now, policy);
        // The thread takes no other snapshot while one waits for it.
        if self.background.has_pending()
            && let Some(result) = self.background.wait_for_result(time_remaining())
        {
            self.record_result(result, now);
        }
        self.submit(records, now);
        while self.background.has_pending() {
            let Some(result) = self.background.wait_for_result(time_remaining()) else {
                warn!(self.log, "last snapshot not written in time");
                return;
            };
            self.record_result(result, now);
        }
        let longest_slice_us = self.longest_slice.as_micros() as u64;
        info!(self.log, "last snapshot written"; "longest_slice_us" => longest_slice_us);
    }

    /// Hands a snapshot to the thread. One that still has an earlier snapshot takes none: a disk that stalls must not
    /// fill the memory.
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
