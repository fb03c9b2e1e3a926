//! Encoding and decoding of the current version, version 1, newer versions and damaged files.

mod common;

use std::ops::Range;

use common::{at, encoded_snapshot, snapshot_of_all_kinds, with_valid_checksum};
use oorandom::Rand64;
use tidescale_policy::types::BuildNumber;
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::format::{
    FormatError, HEADER_BYTES, InvalidRecord, MAX_FILE_BYTES, Snapshot, decode, encode,
};
use tidescale_snapshot::records::{KeyBuildRecord, Record};

/// Position of the length of the body in the header.
const BODY_LENGTH_FIELD: Range<usize> = 32..40;
/// Position of the number of records in the header.
const RECORD_COUNT_FIELD: Range<usize> = 40..44;

/// A file of format version 1. It is never regenerated, since every later version has to read it.
const VERSION_1_FILE: &[u8] = include_bytes!("version-1.memory");

#[test]
fn encoded_snapshot_is_decoded_unchanged() {
    let snapshot = snapshot_of_all_kinds();

    let decoded = decode(&encode(&snapshot));

    assert_eq!(decoded, Ok(snapshot));
}

#[test]
fn version_1_file_is_decoded_to_the_values_that_were_written() {
    let decoded = decode(VERSION_1_FILE);

    assert_eq!(decoded, Ok(snapshot_of_all_kinds()));
}

#[test]
fn snapshot_is_encoded_to_the_bytes_that_version_1_wrote() {
    let encoded = encode(&snapshot_of_all_kinds());

    assert_eq!(encoded, VERSION_1_FILE);
}

#[test]
fn unknown_state_or_phase_is_written_back_unchanged() {
    for (known, unknown) in [("leaving", "resting"), ("trial", "pause")] {
        let bytes = with_word_replaced(VERSION_1_FILE, known, unknown);

        let written_back = encode(&decode(&bytes).unwrap());

        assert_eq!(written_back, bytes, "{unknown}");
    }
}

/// The file with the first occurrence of a word replaced by another word of the same length.
fn with_word_replaced(file: &[u8], word: &str, replacement: &str) -> Vec<u8> {
    let start = file
        .windows(word.len())
        .position(|window| window == word.as_bytes())
        .unwrap();
    let mut bytes = file.to_vec();
    bytes[start..start + word.len()].copy_from_slice(replacement.as_bytes());
    with_valid_checksum(bytes)
}

#[test]
fn records_of_unknown_kinds_are_skipped_and_counted() {
    let file = encoded_snapshot(3, 4);
    let record_count = records_of(4).len() as u32 + 1;
    let record_of_unknown_kind = [0x7f, 0xff, 0, 0, 0, 3, 1, 2, 3];

    let decoded = decode(&with_raw_record(
        file,
        &record_of_unknown_kind,
        record_count,
    ))
    .unwrap();

    assert_eq!(decoded.records, records_of(4));
    assert_eq!(decoded.unknown_records, 1);
}

/// A key build record of a newer program version, with a field that this version does not know.
#[derive(serde::Serialize)]
struct LaterKeyBuildRecord {
    seen: u64,
    key: &'static str,
    build: u32,
    later: Vec<u8>,
}

#[test]
fn unknown_fields_of_known_records_are_ignored() {
    let mut body = Vec::new();
    let later_record = LaterKeyBuildRecord {
        seen: 4,
        key: "k",
        build: 2,
        later: vec![1, 2],
    };
    ciborium::into_writer(&later_record, &mut body).unwrap();
    let raw_record = [&[0, 8][..], &(body.len() as u32).to_be_bytes(), &body].concat();
    let empty_file = encode(&Snapshot::default());

    let decoded = decode(&with_raw_record(empty_file, &raw_record, 1)).unwrap();

    let expected = Record::KeyBuild(KeyBuildRecord {
        observed_at: at(4),
        key: "k".into(),
        build: BuildNumber::new(2),
    });
    assert_eq!(decoded.records, [expected]);
}

/// The file with a raw record appended and the header's length, record count and checksum updated.
fn with_raw_record(mut file: Vec<u8>, raw_record: &[u8], record_count: u32) -> Vec<u8> {
    file.extend(raw_record);
    let body_bytes = (file.len() - HEADER_BYTES) as u64;
    file[BODY_LENGTH_FIELD].copy_from_slice(&body_bytes.to_be_bytes());
    file[RECORD_COUNT_FIELD].copy_from_slice(&record_count.to_be_bytes());
    with_valid_checksum(file)
}

#[test]
fn record_that_does_not_match_the_header_is_named_by_its_position() {
    let file = encode(&Snapshot::default());
    let key_build_without_body = [0, 8, 0, 0, 0, 3];
    let cases = [
        (
            with_raw_record(file.clone(), &[0, 8], 1),
            InvalidRecord::Truncated,
        ),
        (
            with_raw_record(file.clone(), &key_build_without_body, 1),
            InvalidRecord::Truncated,
        ),
        (
            with_raw_record(file, &key_build_without_body, 0),
            InvalidRecord::TrailingBytes,
        ),
    ];
    for (bytes, reason) in cases {
        let expected = FormatError::InvalidRecord {
            offset: HEADER_BYTES,
            reason,
        };

        assert_eq!(decode(&bytes), Err(expected));
    }
}

#[test]
fn empty_file_is_rejected() {
    assert_eq!(decode(&[]), Err(FormatError::Empty));
}

#[test]
fn truncated_file_is_rejected() {
    let whole = encoded_snapshot(3, 11);

    for length in 0..whole.len() {
        assert!(decode(&whole[..length]).is_err(), "cut at {length}");
    }
}

#[test]
fn file_with_a_flipped_bit_is_rejected() {
    let whole = encoded_snapshot(3, 11);
    let mut rng = Rand64::new(7);
    let header_bits = HEADER_BYTES * 8;
    let body_bits = (whole.len() - HEADER_BYTES) * 8;
    let drawn_bits = (0..3000).map(|_| header_bits + (rng.rand_u64() as usize) % body_bits);

    for bit in (0..header_bits).chain(drawn_bits) {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&bytes).is_err(), "bit {bit}");
    }
}

#[test]
fn file_with_bytes_appended_is_rejected() {
    let whole = encoded_snapshot(3, 11);

    for appended in [vec![0], vec![0; 512], whole.clone()] {
        let bytes = [whole.clone(), appended].concat();
        assert!(decode(&bytes).is_err());
    }
}

#[test]
fn oversized_snapshot_is_truncated_to_whole_records() {
    let records: Vec<_> = (0..40_000)
        .flat_map(|number| records_of(number % 7))
        .collect();
    let oversized = Snapshot {
        sequence: 1,
        written_at: at(1),
        records: records.clone(),
        unknown_records: 0,
    };

    let bytes = encode(&oversized);

    assert!(bytes.len() <= MAX_FILE_BYTES);
    let decoded = decode(&bytes).unwrap();
    assert!(decoded.records.len() < records.len());
    assert!(records.starts_with(&decoded.records));
}
