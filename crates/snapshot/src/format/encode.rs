//! Encodes a snapshot into the bytes of its file.

use crate::records::Record;

use super::{
    HEADER_BYTES, MAGIC, MAX_FILE_BYTES, RECORD_HEADER_BYTES, Snapshot, VERSION, header, kind,
};

/// Encodes the snapshot. Records that do not fit into [`MAX_FILE_BYTES`] are omitted from the end.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    let mut record_count = 0u32;
    for record in &snapshot.records {
        let record_start = bytes.len();
        append_record(record, &mut bytes);
        if bytes.len() > MAX_FILE_BYTES {
            bytes.truncate(record_start);
            break;
        }
        record_count += 1;
    }
    let body_bytes = (bytes.len() - HEADER_BYTES) as u64;
    bytes[header::MAGIC].copy_from_slice(MAGIC);
    bytes[header::VERSION].copy_from_slice(&VERSION.to_be_bytes());
    bytes[header::SEQUENCE].copy_from_slice(&snapshot.sequence.to_be_bytes());
    let written_at = snapshot.written_at.as_micros();
    bytes[header::WRITTEN_AT].copy_from_slice(&written_at.to_be_bytes());
    bytes[header::BODY_BYTES].copy_from_slice(&body_bytes.to_be_bytes());
    bytes[header::RECORD_COUNT].copy_from_slice(&record_count.to_be_bytes());
    let checksum = crc32fast::hash(&bytes[header::CHECKSUM.end..]);
    bytes[header::CHECKSUM].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Appends the record's kind, length and body.
fn append_record(record: &Record, bytes: &mut Vec<u8>) {
    let start = bytes.len();
    bytes.extend(kind_of(record).to_be_bytes());
    let length_start = bytes.len();
    let body_start = start + RECORD_HEADER_BYTES;
    bytes.resize(body_start, 0);
    append_body(record, bytes);
    let length = (bytes.len() - body_start) as u32;
    bytes[length_start..body_start].copy_from_slice(&length.to_be_bytes());
}

fn append_body(record: &Record, bytes: &mut Vec<u8>) {
    let written = match record {
        Record::Endpoint(record) => ciborium::into_writer(record, bytes),
        Record::HardwareClass(record) => ciborium::into_writer(record, bytes),
        Record::Route(record) => ciborium::into_writer(record, bytes),
        Record::Outcomes(record) => ciborium::into_writer(record, bytes),
        Record::RejectedBuild(record) => ciborium::into_writer(record, bytes),
        Record::FleetBaseline(record) => ciborium::into_writer(record, bytes),
        Record::Zones(record) => ciborium::into_writer(record, bytes),
        Record::KeyBuild(record) => ciborium::into_writer(record, bytes),
        Record::ListedEndpoint(record) => ciborium::into_writer(record, bytes),
        Record::Rollout(record) => ciborium::into_writer(record, bytes),
    };
    // Encoding cannot fail: a vector accepts all writes, and every record can be serialized.
    debug_assert!(written.is_ok());
}

fn kind_of(record: &Record) -> u16 {
    match record {
        Record::Endpoint(_) => kind::ENDPOINT,
        Record::HardwareClass(_) => kind::HARDWARE_CLASS,
        Record::Route(_) => kind::ROUTE,
        Record::Outcomes(_) => kind::OUTCOMES,
        Record::RejectedBuild(_) => kind::REJECTED_BUILD,
        Record::FleetBaseline(_) => kind::FLEET_BASELINE,
        Record::Zones(_) => kind::ZONES,
        Record::KeyBuild(_) => kind::KEY_BUILD,
        Record::ListedEndpoint(_) => kind::LISTED_ENDPOINT,
        Record::Rollout(_) => kind::ROLLOUT,
    }
}
