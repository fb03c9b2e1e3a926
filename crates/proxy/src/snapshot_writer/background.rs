//! The background thread that encodes snapshots and writes them to disk. It owns the store.

use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::disk::Disk;
use tidescale_snapshot::records::Record;
use tidescale_snapshot::store::{SaveError, Store};

/// Maximum number of snapshots queued for the thread. One is enough, because each snapshot is
/// complete.
const MAX_QUEUED_SNAPSHOTS: usize = 1;
/// Maximum number of results queued for the event loop: one for the snapshot being written and one
/// for the queued one, so that the thread never waits for the event loop.
const MAX_QUEUED_RESULTS: usize = 2;

/// The contents of a snapshot that is to be written.
pub(super) struct PendingWrite {
    pub(super) written_at: Timestamp,
    pub(super) records: Vec<Record>,
}

/// Number of bytes written, or why the write failed.
pub(super) type WriteResult = Result<usize, SaveError>;

/// Why a snapshot was not queued for the thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum SubmitError {
    /// The queue is full, because the disk is slow.
    #[error("an earlier snapshot is still waiting to be written")]
    Busy,
    #[error("the snapshot thread has ended")]
    Stopped,
}

/// The handle through which the event loop submits snapshots and receives results.
pub(super) struct BackgroundWriter {
    writes: SyncSender<PendingWrite>,
    results: Receiver<WriteResult>,
    /// Number of submitted writes whose result has not been received.
    pending_writes: usize,
}

impl BackgroundWriter {
    /// Starts the thread, which owns `store` from then on.
    pub(super) fn start<D: Disk + Send + 'static>(
        mut store: Store<D>,
    ) -> io::Result<BackgroundWriter> {
        let (writes, write_receiver) = sync_channel::<PendingWrite>(MAX_QUEUED_SNAPSHOTS);
        let (result_sender, results) = sync_channel(MAX_QUEUED_RESULTS);
        let work = move || {
            for write in write_receiver {
                let result = store.save(write.written_at, write.records);
                if result_sender.send(result).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("snapshot".into()).spawn(work)?;
        Ok(BackgroundWriter {
            writes,
            results,
            pending_writes: 0,
        })
    }

    /// Whether the result of a submitted write has not been received yet.
    pub(super) fn has_pending(&self) -> bool {
        self.pending_writes > 0
    }

    /// Queues a snapshot for the thread without blocking.
    pub(super) fn submit(&mut self, write: PendingWrite) -> Result<(), SubmitError> {
        match self.writes.try_send(write) {
            Ok(()) => {
                self.pending_writes += 1;
                Ok(())
            }
            Err(TrySendError::Full(_)) => Err(SubmitError::Busy),
            Err(TrySendError::Disconnected(_)) => Err(SubmitError::Stopped),
        }
    }

    /// Receives the next result without blocking; `None` if none is available.
    pub(super) fn try_result(&mut self) -> Option<WriteResult> {
        let result = self.results.try_recv().ok()?;
        self.pending_writes -= 1;
        Some(result)
    }

    /// Waits for the next result; `None` if the timeout expires or the thread has ended.
    pub(super) fn wait_for_result(&mut self, timeout: Duration) -> Option<WriteResult> {
        let result = self.results.recv_timeout(timeout).ok()?;
        self.pending_writes -= 1;
        Some(result)
    }
}
