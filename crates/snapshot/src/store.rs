//! Stores two generations of snapshots in one directory.
//!
//! A snapshot is written to a new file, synced, and only then renamed over the file of the older
//! generation; the file of the newer generation is not touched. After a crash at any point, one of
//! the last two complete snapshots can be read.

mod quarantine;
mod read;
mod slot;

use std::io::{self, ErrorKind};

use thiserror::Error;
use tidescale_policy::types::Timestamp;

use crate::disk::Disk;
use crate::format::{self, FormatError, Snapshot};
use crate::records::Record;

pub use quarantine::MAX_QUARANTINED_FILES;
pub use read::{Quarantine, ReadError, StoreContents, UnusableFile, read_newest};
use slot::Slot;

/// Temporary file that a snapshot is written to before it replaces the older generation.
const NEW_FILE: &str = "memory.new";
/// Maximum number of consecutive interruptions by signals before a write fails.
const MAX_INTERRUPTIONS: usize = 100;

/// A function that decodes the bytes of a file.
pub type Decoder = fn(&[u8]) -> Result<Snapshot, FormatError>;

/// The reason why a snapshot was not saved. The last snapshot saved is unchanged.
#[derive(Debug, Error)]
pub enum SaveError {
    /// The new file cannot be created, written or synced.
    #[error("cannot write {NEW_FILE}: {0}")]
    Write(#[source] io::Error),
    /// The new file cannot be renamed to the file of the older generation.
    #[error("cannot rename {NEW_FILE} to {file_name}: {source}")]
    Rename {
        /// Name of the file of the older generation.
        file_name: &'static str,
        /// The error of the disk.
        source: io::Error,
    },
    /// The directory cannot be synced, so that a power loss may undo the rename.
    #[error("cannot sync the directory: {0}")]
    SyncDirectory(#[source] io::Error),
}

/// A directory with two generations of snapshots.
pub struct Store<D> {
    disk: D,
    /// The slot of the older generation, which the next snapshot replaces.
    next_slot: Slot,
    /// Sequence number of the last attempt to save a snapshot, or of the newest snapshot read.
    sequence: u64,
}

impl<D: Disk> Store<D> {
    /// Opens the directory: reads the newest complete snapshot, quarantines unusable files and
    /// removes the temporary file of an interrupted save.
    pub fn open(disk: D) -> (Store<D>, StoreContents) {
        Store::open_with(disk, format::decode)
    }

    /// Opens the directory with another decoder, for tests that show why the decoder's checks are
    /// needed.
    pub fn open_with(mut disk: D, decode: Decoder) -> (Store<D>, StoreContents) {
        let mut contents = StoreContents::default();
        let [first, second] =
            Slot::BOTH.map(|slot| open_slot(&mut disk, slot, decode, &mut contents));
        // The save was interrupted before the rename, so it was never reported as done.
        let _ = disk.remove(NEW_FILE);
        let store = Store {
            disk,
            next_slot: if first > second {
                Slot::Second
            } else {
                Slot::First
            },
            sequence: first.max(second),
        };
        (store, contents)
    }

    /// Saves a snapshot and returns its length in bytes. Once this has returned without an error,
    /// the snapshot survives a power loss.
    ///
    /// # Errors
    ///
    /// The step that failed. The last snapshot saved still survives a power loss.
    pub fn save(
        &mut self,
        written_at: Timestamp,
        records: Vec<Record>,
    ) -> Result<usize, SaveError> {
        // A failed save may have reached the disk all the same, so its number is not reused.
        self.sequence += 1;
        let bytes = format::encode(&Snapshot {
            sequence: self.sequence,
            written_at,
            records,
            unknown_records: 0,
        });
        if let Err(error) = self.replace_older_generation(&bytes) {
            // After a failed sync, the file may be readable from the page cache although it is not
            // on the disk.
            let _ = self.disk.remove(NEW_FILE);
            return Err(error);
        }
        self.next_slot = self.next_slot.other();
        Ok(bytes.len())
    }

    fn replace_older_generation(&mut self, bytes: &[u8]) -> Result<(), SaveError> {
        self.write_new_file(bytes).map_err(SaveError::Write)?;
        let file_name = self.next_slot.file_name();
        self.disk
            .rename(NEW_FILE, file_name)
            .map_err(|source| SaveError::Rename { file_name, source })?;
        self.disk.sync_directory().map_err(SaveError::SyncDirectory)
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

    /// Returns the disk that the store writes to.
    pub(crate) fn disk(&self) -> &D {
        &self.disk
    }

    /// Consumes the store and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Reads one generation and quarantines its file if it is unusable. Returns the sequence number
/// of the snapshot, or 0 if there is none.
fn open_slot<D: Disk>(
    disk: &mut D,
    slot: Slot,
    decode: Decoder,
    contents: &mut StoreContents,
) -> u64 {
    match read::read_slot(disk, slot, decode) {
        None => 0,
        Some(Ok(snapshot)) => {
            let sequence = snapshot.sequence;
            contents.keep_if_newer(snapshot);
            sequence
        }
        Some(Err(error)) => {
            let file = quarantine::quarantine(disk, slot, error);
            contents.unusable_files.push(file);
            0
        }
    }
}

/// Removes the files that a store has written or quarantined, and no others. Returns their number.
///
/// # Errors
///
/// The error of listing the directory, of the first removal that fails, or of the directory sync.
pub fn clear<D: Disk>(disk: &mut D) -> io::Result<usize> {
    let mut removed = 0;
    for name in disk.names()? {
        let is_snapshot = Slot::BOTH.iter().any(|slot| slot.file_name() == name);
        if is_snapshot || name == NEW_FILE || quarantine::is_quarantined(&name) {
            disk.remove(&name)?;
            removed += 1;
        }
    }
    disk.sync_directory()?;
    Ok(removed)
}
