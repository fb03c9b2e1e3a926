//! The snapshot file's format: a header of fixed length, then records that each name their kind and length.
//!
//! | bytes | field |
//! | --- | --- |
//! | 8 | `tidemem` and a line feed |
//! | 4 | version, big-endian as all numbers here |
//! | 4 | CRC-32 of all that follows, to the end of the file |
//! | 8 | sequence: one more with each snapshot that was written |
//! | 8 | when it was written, Unix time in microseconds |
//! | 8 | bytes after the header |
//! | 4 | records |
//!
//! A record is its kind (2 bytes), its length (4 bytes) and a body in CBOR. A reader steps over records of kinds
//! that it does not know; fields that it does not know are passed over inside a body.

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
/// Most bytes of a file, so that a restart reads it within milliseconds. Records that do not fit are left out, from
/// the end.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// Bytes that a reader needs of a file to decode it or to see that it is too long.
pub const READ_LIMIT: usize = MAX_FILE_BYTES + HEADER_BYTES;
/// Length of the header.
pub const HEADER_BYTES: usize = 44;

/// A file begins with this.
const MAGIC: &[u8; 8] = b"tidemem\n";
/// Kind and length before each record's body.
const RECORD_HEADER_BYTES: usize = 6;

/// Where the header's fields are.
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
    /// Rises by one with each snapshot written; the higher of two is the newer.
    pub sequence: u64,
    /// When it was written.
    pub written_at: Timestamp,
    /// What was learned; the most important records come first.
    pub records: Vec<Record>,
    /// Records that were skipped because this version does not know their kind.
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

/// Why a file is not read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FormatError {
    /// It has no bytes.
    #[error("empty")]
    Empty,
    /// It is longer than any file that is written.
    #[error("too long, over {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// It does not begin with the magic bytes.
    #[error("not a snapshot file")]
    NotASnapshot,
    /// Its version is later than [`VERSION`].
    #[error("of the newer version {0}")]
    NewerVersion(u32),
    /// It ends before its header does, or is not as long as the header says.
    #[error("not as long as it says")]
    Torn,
    /// Its bytes are not those that were written.
    #[error("checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but a record cannot be decoded.
    #[error("the record at byte {offset} can't be read: {reason}")]
    InvalidRecord {
        /// Where the record begins.
        offset: usize,
        /// What is wrong with it.
        reason: String,
    },
}

impl FormatError {
    /// One word for the reason, used in the name of the file that is set aside.
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
