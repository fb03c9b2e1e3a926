//! Reads the two generations: finds the newest complete snapshot and the files that are unusable.

use std::fmt;
use std::io::{self, ErrorKind};

use thiserror::Error;

use crate::disk::Disk;
use crate::format::{self, FormatError, Snapshot};

use super::{Decoder, Slot};

/// The reason why a file cannot be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Reading its bytes failed.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// Its bytes cannot be decoded as a snapshot.
    #[error(transparent)]
    Format(#[from] FormatError),
}

impl ReadError {
    /// Returns the reason as one word, used in the name of the quarantined file.
    pub fn label(&self) -> &'static str {
        match self {
            ReadError::Unreadable(_) => "unreadable",
            ReadError::Format(error) => error.label(),
        }
    }
}

/// Outcome of the quarantine of an unusable file, that is of its renaming.
#[derive(Debug)]
pub enum Quarantine {
    /// The directory was only read, so the file keeps its name.
    NotAttempted,
    /// The file was renamed to this name.
    RenamedTo(String),
    /// The file could not be renamed.
    Failed(io::Error),
}

/// A file that cannot be used. Its `Display` form is one line for operators.
#[derive(Debug)]
pub struct UnusableFile {
    /// Its name before quarantine.
    pub name: String,
    /// The reason why it cannot be used.
    pub error: ReadError,
    /// Outcome of its quarantine.
    pub quarantine: Quarantine,
}

impl fmt::Display for UnusableFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnusableFile { name, error, .. } = self;
        match &self.quarantine {
            Quarantine::NotAttempted => write!(formatter, "{name}: {error}"),
            Quarantine::RenamedTo(new_name) => {
                write!(
                    formatter,
                    "{name} cannot be read: {error}; renamed to {new_name}"
                )
            }
            Quarantine::Failed(rename_error) => write!(
                formatter,
                "{name} cannot be read: {error}; renaming it failed: {rename_error}"
            ),
        }
    }
}

/// What was read from a directory: its newest snapshot and its unusable files.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// The newest complete snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Files that cannot be used.
    pub unusable_files: Vec<UnusableFile>,
}

impl StoreContents {
    /// Keeps the snapshot if it is newer than the one held so far.
    pub(super) fn keep_if_newer(&mut self, snapshot: Snapshot) {
        let is_newer = self
            .snapshot
            .as_ref()
            .is_none_or(|newest| snapshot.sequence > newest.sequence);
        if is_newer {
            self.snapshot = Some(snapshot);
        }
    }
}

/// Finds the newest complete snapshot in a directory and the files that cannot be used, without
/// changing the directory.
pub fn read_newest<D: Disk>(disk: &mut D) -> StoreContents {
    let mut contents = StoreContents::default();
    for slot in Slot::BOTH {
        match read_slot(disk, slot, format::decode) {
            None => {}
            Some(Ok(snapshot)) => contents.keep_if_newer(snapshot),
            Some(Err(error)) => contents.unusable_files.push(UnusableFile {
                name: slot.file_name().into(),
                error,
                quarantine: Quarantine::NotAttempted,
            }),
        }
    }
    contents
}

/// Reads one generation; `None` if its file does not exist.
pub(super) fn read_slot<D: Disk>(
    disk: &mut D,
    slot: Slot,
    decode: Decoder,
) -> Option<Result<Snapshot, ReadError>> {
    match disk.read(slot.file_name(), format::READ_LIMIT) {
        Ok(bytes) => Some(decode(&bytes).map_err(ReadError::from)),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => Some(Err(error.into())),
    }
}
