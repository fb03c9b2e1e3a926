//! The format of a snapshot file: a header of fixed length, then records, each with its kind and
//! length.
//!
//! | bytes | field |
//! | --- | --- |
//! | 8 | `tidemem` and a line feed |
//! | 4 | version, big-endian as all numbers here |
//! | 4 | CRC-32 of all that follows, to the end of the file |
//! | 8 | sequence number: one more with each snapshot that was written |
//! | 8 | when it was written, Unix time in microseconds |
//! | 8 | bytes after the header |
//! | 4 | records |
//!
//! A record is its kind (2 bytes), its length (4 bytes) and a body in CBOR. A reader skips records
//! of unknown kinds and, inside a body, unknown fields.

mod decode;
mod encode;

use std::collections::BTreeMap;
use std::ops::Range;

use thiserror::Error;
use tidescale_policy::types::Timestamp;

use crate::records::{Process, Record};

pub use decode::decode;
pub(crate) use decode::decode_records;
pub use encode::encode;

/// The version that is written; every version up to it is read.
pub const VERSION: u32 = 1;
/// Most bytes of a file, so that a restart reads it within milliseconds. Records that do not fit
/// are left out, starting with the last.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// Number of bytes that a reader needs of a file to decode it or to find that it is too long.
pub const READ_LIMIT: usize = MAX_FILE_BYTES + HEADER_BYTES;
/// Length of the header.
pub const HEADER_BYTES: usize = 44;

/// Every file begins with these bytes.
const MAGIC: &[u8; 8] = b"tidemem\n";
/// Kind and length before each record's body.
const RECORD_HEADER_BYTES: usize = 6;

/// Positions of the header's fields.
mod header {
    use super::Range;

    pub(super) const MAGIC: Range<usize> = 0..8;
    pub(super) const VERSION: Range<usize> = 8..12;
    pub(super) const CHECKSUM: Range<usize> = 12..16;
    pub(super) const SEQUENCE: Range<usize> = 16..24;
    pub(super) const WRITTEN_AT: Range<usize> = 24..32;
    pub(super) const BODY_BYTES: Range<usize> = 32..40;
    pub(super) const RECORD_COUNT: Range<usize> = 40..44;
}

/// Numbers of the kinds of records. A number is never reused for another kind.
mod kind {
    pub(super) const ENDPOINT: u16 = 1;
    pub(super) const HARDWARE_CLASS: u16 = 2;
    pub(super) const ROUTE: u16 = 3;
    pub(super) const OUTCOMES: u16 = 4;
    pub(super) const REJECTED_BUILD: u16 = 5;
    pub(super) const FLEET_BASELINE: u16 = 6;
    pub(super) const ZONES: u16 = 7;
    pub(super) const KEY_BUILD: u16 = 8;
    pub(super) const LISTED_ENDPOINT: u16 = 9;
    pub(super) const ROLLOUT: u16 = 10;
}

/// One complete snapshot of what an instance has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Higher by one with each snapshot written: of two snapshots, the one with the higher number
    /// is newer.
    pub sequence: u64,
    /// Time of writing.
    pub written_at: Timestamp,
    /// The records; the most important come first.
    pub records: Vec<Record>,
    /// Number of records that were skipped because this version does not know their kind.
    pub unknown_records: usize,
}

impl Snapshot {
    /// The processes of the endpoint list that the snapshot holds, by name of the endpoint.
    pub fn listed_processes(&self) -> BTreeMap<&str, &Process> {
        let mut processes = BTreeMap::new();
        for record in &self.records {
            if let Record::ListedEndpoint(listed) = record {
                processes.insert(listed.process.endpoint.as_str(), &listed.process);
            }
        }
        processes
    }
}

/// Why a file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FormatError {
    /// The file has no bytes.
    #[error("empty")]
    Empty,
    /// The file is longer than any file that is written.
    #[error("too long, over {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The file does not begin with the magic bytes.
    #[error("not a snapshot file")]
    NotASnapshot,
    /// The file's version is later than [`VERSION`].
    #[error("written by a newer version: format {0}")]
    NewerVersion(u32),
    /// The file ends inside its header, or its length differs from the length in the header.
    #[error("torn: the length differs from the length in the header")]
    Torn,
    /// The bytes are not those that were written.
    #[error("checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but a record cannot be decoded.
    #[error("cannot decode the record at byte {offset}: {reason}")]
    InvalidRecord {
        /// Position of the record in the file.
        offset: usize,
        /// Why it cannot be decoded.
        reason: InvalidRecord,
    },
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRecord {
    /// The file ends inside the record.
    #[error("the record is truncated")]
    Truncated,
    /// Bytes follow after the last record that the header counts.
    #[error("more records than the header counts")]
    TrailingBytes,
    /// The body is not the CBOR of a record of this kind; the message is the CBOR reader's.
    #[error("{0}")]
    InvalidBody(String),
}

impl FormatError {
    /// One word for the reason, used in the name of the quarantined file.
    pub fn label(&self) -> &'static str {
        match self {
            FormatError::Empty => "empty",
            FormatError::TooLong => "long",
            FormatError::NotASnapshot => "foreign",
            FormatError::NewerVersion(_) => "newer",
            FormatError::Torn => "torn",
            FormatError::ChecksumMismatch => "checksum",
            FormatError::InvalidRecord { .. } => "record",
        }
    }
}
