//! Stores two generations of snapshots in one directory.
//!
//! A snapshot is written to a file of its own, synced, and only then takes the place of the older generation; the
//! newer one is never touched. Whatever breaks off in between leaves one of the last two complete snapshots.

mod quarantine;
mod read;

use std::io::{self, ErrorKind};

use thiserror::Error;
use tidescale_policy::types::Timestamp;

use crate::disk::Disk;
use crate::format::{self, FormatError, Snapshot};
use crate::records::Record;

pub use quarantine::MAX_QUARANTINED_FILES;
pub use read::{Opened, Quarantine, ReadError, UnusableFile, newest};

/// The two generations.
const SLOTS: [&str; 2] = ["memory.0", "memory.1"];
/// A snapshot that is being written.
const NEW_FILE: &str = "memory.new";
/// Interruptions in a row after which a write fails, in case a signal never stops coming.
const MAX_INTERRUPTIONS: usize = 100;

/// Reads the bytes of a file.
pub type Decoder = fn(&[u8]) -> Result<Snapshot, FormatError>;

/// Why a snapshot was not saved; the last one that was is untouched.
#[derive(Debug, Error)]
pub enum SaveError {
    /// The new file cannot be written and synced.
    #[error("cannot write {NEW_FILE}: {0}")]
    Write(#[source] io::Error),
    /// The new file cannot take the older generation's place.
    #[error("cannot rename {NEW_FILE} to {slot}: {source}")]
    Rename {
        /// The older generation's file.
        slot: &'static str,
        /// What the disk says.
        source: io::Error,
    },
    /// The new name cannot be made safe from a power loss.
    #[error("cannot sync the directory: {0}")]
    SyncNames(#[source] io::Error),
}

/// A directory with two generations of snapshots.
pub struct Store<D> {
    disk: D,
    /// Index of the slot of the older generation, where the next snapshot goes.
    next_slot: usize,
    /// Sequence number of the last snapshot that was written or tried.
    sequence: u64,
}

impl<D: Disk> Store<D> {
    /// Opens the directory: reads the newest whole snapshot, sets unreadable files aside and removes an unfinished
    /// one.
    pub fn open(disk: D) -> (Store<D>, Opened) {
        Store::open_with(disk, format::decode)
    }

    /// The same with another decoder, for tests that show what the decoder's checks are needed for.
    pub fn open_with(mut disk: D, decode: Decoder) -> (Store<D>, Opened) {
        let mut opened = Opened::default();
        let mut sequences = [0, 0];
        for (name, sequence) in SLOTS.into_iter().zip(&mut sequences) {
            match read::read_slot(&mut disk, name, decode) {
                None => {}
                Some(Ok(snapshot)) => {
                    *sequence = snapshot.sequence;
                    opened.offer(snapshot);
                }
                Some(Err(error)) => {
                    let quarantine = quarantine::set_aside(&mut disk, name, error.label());
                    opened.unusable_files.push(UnusableFile {
                        name: name.into(),
                        error,
                        quarantine,
                    });
                }
            }
        }
        // A write that was cut short before the rename: it was never reported as saved.
        let _ = disk.remove(NEW_FILE);
        let [first, second] = sequences;
        let store = Store {
            disk,
            next_slot: usize::from(first > second),
            sequence: first.max(second),
        };
        (store, opened)
    }

    /// Saves a snapshot and returns its length in bytes. Once this returns without an error, the snapshot survives a
    /// power loss.
    ///
    /// # Errors
    ///
    /// The first step that fails; the last snapshot that was saved still survives a power loss.
    pub fn save(
        &mut self,
        written_at: Timestamp,
        records: Vec<Record>,
    ) -> Result<usize, SaveError> {
        // A failed save may have reached the disk all the same, so its number is not used again.
        self.sequence += 1;
        let bytes = format::encode(&Snapshot {
            sequence: self.sequence,
            written_at,
            records,
            unknown_records: 0,
        });
        if let Err(error) = self.replace_older(&bytes) {
            // After a failed sync the file reads well from the page cache but may not be on the disk.
            let _ = self.disk.remove(NEW_FILE);
            return Err(error);
        }
        self.next_slot = 1 - self.next_slot;
        Ok(bytes.len())
    }

    fn replace_older(&mut self, bytes: &[u8]) -> Result<(), SaveError> {
        self.write_new_file(bytes).map_err(SaveError::Write)?;
        let slot = SLOTS[self.next_slot];
        self.disk
            .rename(NEW_FILE, slot)
            .map_err(|source| SaveError::Rename { slot, source })?;
        self.disk.sync_names().map_err(SaveError::SyncNames)
    }

    fn write_new_file(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.create(NEW_FILE)?;
        let written = self
            .write_all(bytes)
            .and_then(|()| self.disk.sync(NEW_FILE));
        self.disk.close(NEW_FILE);
        written
    }

    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut remaining = bytes;
        let mut interruptions = 0;
        while !remaining.is_empty() {
            match self.disk.write(NEW_FILE, remaining) {
                Ok(written) => {
                    remaining = &remaining[written..];
                    interruptions = 0;
                }
                Err(error)
                    if error.kind() == ErrorKind::Interrupted
                        && interruptions < MAX_INTERRUPTIONS =>
                {
                    interruptions += 1;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The disk, for inspection.
    pub(crate) fn disk(&self) -> &D {
        &self.disk
    }

    /// Returns the disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Removes all files that a store has written, and nothing else. Returns how many.
///
/// # Errors
///
/// The first removal that fails, or the sync after them.
pub fn clear<D: Disk>(disk: &mut D) -> io::Result<usize> {
    let mut removed = 0;
    for name in disk.names()? {
        let is_snapshot = SLOTS.contains(&name.as_str()) || name == NEW_FILE;
        if is_snapshot || quarantine::is_quarantined(&name) {
            disk.remove(&name)?;
            removed += 1;
        }
    }
    disk.sync_names()?;
    Ok(removed)
}
