//! Decodes a snapshot from the bytes of its file.

use std::ops::Range;

use serde::de::DeserializeOwned;
use tidescale_policy::types::Timestamp;

use crate::records::Record;

use super::{
    FormatError, HEADER_BYTES, InvalidRecord, MAGIC, MAX_FILE_BYTES, RECORD_HEADER_BYTES, Snapshot,
    VERSION, header, kind,
};

/// Decodes a whole file.
///
/// # Errors
///
/// The first error that is found. A file is decoded as a whole or not at all.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    if bytes.is_empty() {
        return Err(FormatError::Empty);
    }
    if bytes.len() > MAX_FILE_BYTES + RECORD_HEADER_BYTES {
        return Err(FormatError::TooLong);
    }
    check_magic(bytes)?;
    let version = u32::from_be_bytes(header_field(bytes, header::VERSION)?);
    // In a newer version, all fields that follow may have another meaning, even the checksum, so
    // none of them is read.
    if version > VERSION {
        return Err(FormatError::NewerVersion(version));
    }
    let body_bytes = u64::from_be_bytes(header_field(bytes, header::BODY_BYTES)?);
    if bytes.len() < HEADER_BYTES || body_bytes != (bytes.len() - HEADER_BYTES) as u64 {
        return Err(FormatError::Torn);
    }
    let checksum = u32::from_be_bytes(header_field(bytes, header::CHECKSUM)?);
    if crc32fast::hash(&bytes[header::CHECKSUM.end..]) != checksum {
        return Err(FormatError::ChecksumMismatch);
    }
    migrate(version, decode_records(bytes)?)
}

fn check_magic(bytes: &[u8]) -> Result<(), FormatError> {
    if bytes.starts_with(MAGIC) {
        Ok(())
    } else if MAGIC.starts_with(bytes) {
        Err(FormatError::Torn)
    } else {
        Err(FormatError::NotASnapshot)
    }
}

/// Decodes the header and the records without verifying the checksum.
pub(crate) fn decode_records(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    let written_at = u64::from_be_bytes(header_field(bytes, header::WRITTEN_AT)?);
    let mut snapshot = Snapshot {
        sequence: u64::from_be_bytes(header_field(bytes, header::SEQUENCE)?),
        written_at: Timestamp::from_micros(written_at),
        ..Snapshot::default()
    };
    let record_count = u32::from_be_bytes(header_field(bytes, header::RECORD_COUNT)?);
    let mut offset = HEADER_BYTES;
    for _ in 0..record_count {
        let raw = raw_record(bytes, offset)?;
        match decode_body(&raw) {
            Ok(Some(record)) => snapshot.records.push(record),
            Ok(None) => snapshot.unknown_records += 1,
            Err(cause) => {
                let reason = InvalidRecord::InvalidBody(cause.to_string());
                return Err(FormatError::InvalidRecord { offset, reason });
            }
        }
        offset = raw.end;
    }
    if offset == bytes.len() {
        Ok(snapshot)
    } else {
        Err(FormatError::InvalidRecord {
            offset,
            reason: InvalidRecord::TrailingBytes,
        })
    }
}

/// A record whose body is not decoded yet.
struct RawRecord<'a> {
    kind: u16,
    body: &'a [u8],
    /// Position of the next record in the file.
    end: usize,
}

fn raw_record(bytes: &[u8], offset: usize) -> Result<RawRecord<'_>, FormatError> {
    let truncated = || FormatError::InvalidRecord {
        offset,
        reason: InvalidRecord::Truncated,
    };
    let length_start = offset + size_of::<u16>();
    let body_start = offset + RECORD_HEADER_BYTES;
    let kind = field(bytes, offset..length_start).ok_or_else(truncated)?;
    let length = field(bytes, length_start..body_start).ok_or_else(truncated)?;
    let end = body_start
        .checked_add(u32::from_be_bytes(length) as usize)
        .ok_or_else(truncated)?;
    Ok(RawRecord {
        kind: u16::from_be_bytes(kind),
        body: bytes.get(body_start..end).ok_or_else(truncated)?,
        end,
    })
}

type BodyError = ciborium::de::Error<std::io::Error>;

/// Decodes the record's body; `None` if this version does not know its kind.
fn decode_body(raw: &RawRecord<'_>) -> Result<Option<Record>, BodyError> {
    let body = raw.body;
    Ok(Some(match raw.kind {
        kind::ENDPOINT => Record::Endpoint(read_cbor(body)?),
        kind::HARDWARE_CLASS => Record::HardwareClass(read_cbor(body)?),
        kind::ROUTE => Record::Route(read_cbor(body)?),
        kind::OUTCOMES => Record::Outcomes(read_cbor(body)?),
        kind::REJECTED_BUILD => Record::RejectedBuild(read_cbor(body)?),
        kind::FLEET_BASELINE => Record::FleetBaseline(read_cbor(body)?),
        kind::ZONES => Record::Zones(read_cbor(body)?),
        kind::KEY_BUILD => Record::KeyBuild(read_cbor(body)?),
        kind::LISTED_ENDPOINT => Record::ListedEndpoint(read_cbor(body)?),
        kind::ROLLOUT => Record::Rollout(read_cbor(body)?),
        _ => return Ok(None),
    }))
}

fn read_cbor<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    ciborium::from_reader(body)
}

/// Converts a snapshot of an older format version, one version at a time.
fn migrate(version: u32, snapshot: Snapshot) -> Result<Snapshot, FormatError> {
    match version {
        VERSION => Ok(snapshot),
        // Version 1 is the first.
        _ => Err(FormatError::NotASnapshot),
    }
}

fn field<const N: usize>(bytes: &[u8], range: Range<usize>) -> Option<[u8; N]> {
    bytes.get(range)?.try_into().ok()
}

/// Reads a field of the header; [`FormatError::Torn`] if the file ends before it.
fn header_field<const N: usize>(bytes: &[u8], range: Range<usize>) -> Result<[u8; N], FormatError> {
    field(bytes, range).ok_or(FormatError::Torn)
}
