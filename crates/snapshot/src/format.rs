//! The format of a snapshot file: a header of fixed length, followed by records, each with its kind
//! and length.
//!
//! | bytes | field |
//! | --- | --- |
//! | 8 | `tidemem` and a line feed |
//! | 4 | format version; all numbers are big-endian |
//! | 4 | CRC-32 of everything after this field, to the end of the file |
//! | 8 | sequence number, one higher with each snapshot written |
//! | 8 | time of writing, in microseconds since the Unix epoch |
//! | 8 | number of bytes after the header |
//! | 4 | number of records |
//!
//! A record consists of its kind (2 bytes), the length of its body (4 bytes) and the body in CBOR.
//! A reader skips records of unknown kinds and unknown fields in a body.

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

/// The format version that is written. All versions up to it can be read.
pub const VERSION: u32 = 1;
/// Maximum length of a file, so that a restart reads it within milliseconds. Records that do not
/// fit are omitted from the end.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// Number of bytes to read of a file, enough to decode it or to detect that it is too long.
pub const READ_LIMIT: usize = MAX_FILE_BYTES + HEADER_BYTES;
/// Length of the file header, which the records follow.
pub const HEADER_BYTES: usize = 44;

/// Every file begins with these bytes.
const MAGIC: &[u8; 8] = b"tidemem\n";
/// Length of the kind and the length field before each record's body.
const RECORD_HEADER_BYTES: usize = 6;

/// Byte ranges of the header's fields.
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

/// Numbers that identify the kinds of records in a file. A number is never reused for another kind.
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

/// The state that an instance has learned, as of one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Sequence number, one higher with each snapshot written. Of two snapshots, the one with the
    /// higher number is newer.
    pub sequence: u64,
    /// Time on the host's clock at which the snapshot was written.
    pub written_at: Timestamp,
    /// The records, the most important first, since records that exceed the size limit are omitted
    /// from the end.
    pub records: Vec<Record>,
    /// Number of records that the decoder skipped because their kind is unknown to this version.
    pub unknown_records: usize,
}

impl Snapshot {
    /// Returns the processes of the stored endpoint list, by endpoint name.
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

/// The reason why a file cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FormatError {
    /// The file has no bytes.
    #[error("empty")]
    Empty,
    /// The file is longer than the maximum.
    #[error("too long, over {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The file does not begin with the magic bytes.
    #[error("not a snapshot file")]
    NotASnapshot,
    /// The file's format version is higher than [`VERSION`].
    #[error("written by a newer version: format {0}")]
    NewerVersion(u32),
    /// The file ends inside its header, or its length differs from the length in the header.
    #[error("torn: the length differs from the length in the header")]
    Torn,
    /// The checksum does not match the bytes, so they were changed after writing.
    #[error("checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but a record cannot be decoded.
    #[error("cannot decode the record at byte {offset}: {reason}")]
    InvalidRecord {
        /// Byte position of the record in the file.
        offset: usize,
        /// The reason why it cannot be decoded.
        reason: InvalidRecord,
    },
}

/// The reason why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRecord {
    /// The file ends inside the record.
    #[error("the record is truncated")]
    Truncated,
    /// Bytes follow the last record that the header counts.
    #[error("more records than the header counts")]
    TrailingBytes,
    /// The body is not valid CBOR of a record of this kind; contains the CBOR decoder's message.
    #[error("{0}")]
    InvalidBody(String),
}

impl FormatError {
    /// Returns the reason as one word, used in the name of the quarantined file.
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
