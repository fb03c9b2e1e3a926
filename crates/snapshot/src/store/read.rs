//! Reads the two generations: the newest complete snapshot, and why a file cannot be used.

use std::fmt;
use std::io::{self, ErrorKind};

use thiserror::Error;

use crate::disk::Disk;
use crate::format::{self, FormatError, Snapshot};

use super::{Decoder, Slot};

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Reading its bytes failed.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// Its bytes are not a snapshot.
    #[error(transparent)]
    Format(#[from] FormatError),
}

impl ReadError {
    /// One word for the reason, used in the name of the quarantined file.
    pub fn label(&self) -> &'static str {
        match self {
            ReadError::Unreadable(_) => "unreadable",
            ReadError::Format(error) => error.label(),
        }
    }
}

/// Whether an unusable file was moved out of the way.
#[derive(Debug)]
pub enum Quarantine {
    /// The directory was only inspected, so the file stays.
    NotAttempted,
    /// The file was renamed to this name.
    RenamedTo(String),
    /// The file could not be renamed.
    Failed(io::Error),
}

/// A file that cannot be used; displayed as a line for operators.
#[derive(Debug)]
pub struct UnusableFile {
    /// Its name before it was quarantined.
    pub name: String,
    /// Why it cannot be used.
    pub error: ReadError,
    /// Whether it was moved out of the way.
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

/// The usable and unusable files of a directory.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// The newest complete snapshot, if there is any.
    pub snapshot: Option<Snapshot>,
    /// Files that cannot be used.
    pub unusable_files: Vec<UnusableFile>,
}

impl StoreContents {
    /// Keeps the snapshot if it is newer than the newest one so far.
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

/// Finds the newest complete snapshot in a directory, and the files that cannot be used. Changes
/// nothing.
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
