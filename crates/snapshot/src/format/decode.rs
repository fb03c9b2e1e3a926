//! From the bytes of a file to its snapshot.

use std::ops::Range;

use serde::de::DeserializeOwned;
use tidescale_policy::types::Timestamp;

use crate::records::Record;

use super::{
    FormatError, HEADER_BYTES, MAGIC, MAX_FILE_BYTES, RECORD_HEADER_BYTES, Snapshot, VERSION,
    header, kind,
};

/// The snapshot of a whole file.
///
/// # Errors
///
/// Whatever makes the file unusable; nothing of it is read then.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    if bytes.is_empty() {
        return Err(FormatError::Empty);
    }
    if bytes.len() > MAX_FILE_BYTES + RECORD_HEADER_BYTES {
        return Err(FormatError::TooLong);
    }
    check_magic(bytes)?;
    let version = u32::from_be_bytes(header_field(bytes, header::VERSION)?);
    // A newer version may mean anything by what follows, its checksum too.
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

/// What the records say, whatever the checksum.
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
            Err(cause) => return Err(invalid_record(offset, &cause.to_string())),
        }
        offset = raw.end;
    }
    if offset == bytes.len() {
        Ok(snapshot)
    } else {
        Err(invalid_record(offset, "more records than were announced"))
    }
}

/// A record that is not decoded yet.
struct RawRecord<'a> {
    kind: u16,
    body: &'a [u8],
    /// Where the next record begins.
    end: usize,
}

fn raw_record(bytes: &[u8], offset: usize) -> Result<RawRecord<'_>, FormatError> {
    let cut_off = || invalid_record(offset, "it is cut off");
    let length_start = offset + size_of::<u16>();
    let body_start = offset + RECORD_HEADER_BYTES;
    let kind = field(bytes, offset..length_start).ok_or_else(cut_off)?;
    let length = field(bytes, length_start..body_start).ok_or_else(cut_off)?;
    let end = body_start
        .checked_add(u32::from_be_bytes(length) as usize)
        .ok_or_else(cut_off)?;
    Ok(RawRecord {
        kind: u16::from_be_bytes(kind),
        body: bytes.get(body_start..end).ok_or_else(cut_off)?,
        end,
    })
}

type BodyError = ciborium::de::Error<std::io::Error>;

/// The record; none of a kind that this version does not know.
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

/// Brings an older version's snapshot to this one's meaning, a step for each version.
fn migrate(version: u32, snapshot: Snapshot) -> Result<Snapshot, FormatError> {
    match version {
        VERSION => Ok(snapshot),
        // There was none before the first.
        _ => Err(FormatError::NotASnapshot),
    }
}

fn field<const N: usize>(bytes: &[u8], at: Range<usize>) -> Option<[u8; N]> {
    bytes.get(at)?.try_into().ok()
}

/// A field of the header, which may be cut off.
fn header_field<const N: usize>(bytes: &[u8], at: Range<usize>) -> Result<[u8; N], FormatError> {
    field(bytes, at).ok_or(FormatError::Torn)
}

fn invalid_record(offset: usize, reason: &str) -> FormatError {
    FormatError::InvalidRecord {
        offset,
        reason: reason.to_owned(),
    }
}
