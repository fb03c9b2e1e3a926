//! Reading the two generations: the newest whole snapshot, and why a file is not used.

use std::fmt;
use std::io::{self, ErrorKind};

use thiserror::Error;

use crate::disk::Disk;
use crate::format::{self, FormatError, Snapshot};

use super::{Decoder, SLOTS};

/// Why a file is not used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The disk does not give its bytes.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// Its bytes are no snapshot.
    #[error(transparent)]
    Format(#[from] FormatError),
}

impl ReadError {
    /// One word for the reason, used in the name of the file that is set aside.
    pub fn label(&self) -> &'static str {
        match self {
            ReadError::Unreadable(_) => "unreadable",
            ReadError::Format(error) => error.label(),
        }
    }
}

/// What became of a file that is not used.
#[derive(Debug)]
pub enum Quarantine {
    /// The directory was only inspected.
    NotAttempted,
    /// It was renamed to this.
    SetAside(String),
    /// It could not be renamed.
    Failed(io::Error),
}

/// A file that is not used; displayed as a line for operators.
#[derive(Debug)]
pub struct UnusableFile {
    /// The name that it had.
    pub name: String,
    /// Why it is not used.
    pub error: ReadError,
    /// What became of it.
    pub quarantine: Quarantine,
}

impl fmt::Display for UnusableFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnusableFile { name, error, .. } = self;
        match &self.quarantine {
            Quarantine::NotAttempted => write!(f, "{name}: {error}"),
            Quarantine::SetAside(new_name) => {
                write!(f, "{name} is not read: {error}; now {new_name}")
            }
            Quarantine::Failed(why) => {
                write!(f, "{name} is not read: {error}; left where it is, {why}")
            }
        }
    }
}

/// What was found in a directory.
#[derive(Debug, Default)]
pub struct Opened {
    /// The newest whole snapshot, if there is any.
    pub snapshot: Option<Snapshot>,
    /// Files that are not used.
    pub unusable_files: Vec<UnusableFile>,
}

impl Opened {
    /// Keeps the snapshot if it is newer than the one so far.
    pub(super) fn offer(&mut self, snapshot: Snapshot) {
        let is_newer = self
            .snapshot
            .as_ref()
            .is_none_or(|newest| snapshot.sequence > newest.sequence);
        if is_newer {
            self.snapshot = Some(snapshot);
        }
    }
}

/// Finds the newest whole snapshot in a directory, and the files that are not whole. Changes nothing.
pub fn newest<D: Disk>(disk: &mut D) -> Opened {
    let mut opened = Opened::default();
    for name in SLOTS {
        match read_slot(disk, name, format::decode) {
            None => {}
            Some(Ok(snapshot)) => opened.offer(snapshot),
            Some(Err(error)) => opened.unusable_files.push(UnusableFile {
                name: name.into(),
                error,
                quarantine: Quarantine::NotAttempted,
            }),
        }
    }
    opened
}

/// Reads one generation; none if there is no such file.
pub(super) fn read_slot<D: Disk>(
    disk: &mut D,
    name: &str,
    decode: Decoder,
) -> Option<Result<Snapshot, ReadError>> {
    match disk.read(name, format::READ_LIMIT) {
        Ok(bytes) => Some(decode(&bytes).map_err(ReadError::from)),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => Some(Err(error.into())),
    }
}
