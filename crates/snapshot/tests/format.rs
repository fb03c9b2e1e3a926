//! Files of this version, of version 1 and of later ones, and files that are not what they should be.

mod common;

use common::{at, snapshot_of_all_kinds, with_right_checksum};
use oorandom::Rand64;
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::format::{
    FormatError, HEADER_BYTES, MAX_FILE_BYTES, Snapshot, decode, encode,
};

/// What version 1 wrote. Never written anew: it has to be read for good.
const VERSION_1_FILE: &[u8] = include_bytes!("version-1.memory");

#[test]
fn what_is_written_is_read_back_and_a_later_reader_reads_version_1() {
    let snapshot = snapshot_of_all_kinds();
    assert_eq!(decode(&encode(&snapshot)).as_ref(), Ok(&snapshot));
    assert_eq!(decode(VERSION_1_FILE).as_ref(), Ok(&snapshot));
}

#[test]
fn what_is_written_is_byte_for_byte_what_version_1_wrote() {
    assert_eq!(encode(&snapshot_of_all_kinds()), VERSION_1_FILE);
}

#[test]
fn words_that_this_version_does_not_know_are_read_and_written_as_they_stand() {
    for (known, unknown) in [("leaving", "resting"), ("trial", "pause")] {
        let known = known.as_bytes();
        let start = VERSION_1_FILE
            .windows(known.len())
            .position(|window| window == known)
            .unwrap();
        let mut bytes = VERSION_1_FILE.to_vec();
        bytes[start..start + known.len()].copy_from_slice(unknown.as_bytes());
        let bytes = with_right_checksum(bytes);
        assert_eq!(encode(&decode(&bytes).unwrap()), bytes, "{unknown}");
    }
}

/// A file with one more raw record at its end, and a header that says so.
fn with_raw_record(mut bytes: Vec<u8>, raw_record: &[u8], record_count: u32) -> Vec<u8> {
    bytes.extend(raw_record);
    let body_bytes = (bytes.len() - HEADER_BYTES) as u64;
    bytes[32..40].copy_from_slice(&body_bytes.to_be_bytes());
    bytes[40..44].copy_from_slice(&record_count.to_be_bytes());
    with_right_checksum(bytes)
}

/// A key build's record of a later version.
#[derive(serde::Serialize)]
struct LaterKeyBuildRecord {
    seen: u64,
    key: &'static str,
    build: u32,
    later: Vec<u8>,
}

#[test]
fn records_and_fields_of_later_versions_are_stepped_over() {
    let bytes = encode(&Snapshot {
        sequence: 3,
        written_at: at(9),
        records: records_of(4),
        unknown_records: 0,
    });
    let record_count = records_of(4).len() as u32 + 1;
    let bytes = with_raw_record(bytes, &[0x7f, 0xff, 0, 0, 0, 3, 1, 2, 3], record_count);
    let snapshot = decode(&bytes).unwrap();
    assert_eq!(
        (snapshot.records, snapshot.unknown_records),
        (records_of(4), 1)
    );
    // A record of a known kind with a field that came later.
    let mut body = Vec::new();
    let record = LaterKeyBuildRecord {
        seen: 4,
        key: "k",
        build: 2,
        later: vec![1, 2],
    };
    ciborium::into_writer(&record, &mut body).unwrap();
    let raw_record = [&[0, 8][..], &(body.len() as u32).to_be_bytes(), &body].concat();
    let bytes = encode(&Snapshot {
        sequence: 1,
        ..Snapshot::default()
    });
    let bytes = with_raw_record(bytes, &raw_record, 1);
    assert_eq!(decode(&bytes).unwrap().records.len(), 1);
}

#[test]
fn a_file_cut_anywhere_or_with_a_bit_changed_is_never_read_as_whole() {
    let whole = encode(&Snapshot {
        sequence: 3,
        written_at: at(9),
        records: records_of(11),
        unknown_records: 0,
    });
    for length in 0..whole.len() {
        assert!(decode(&whole[..length]).is_err(), "cut at {length}");
    }
    let mut rng = Rand64::new(7);
    let header_bits = HEADER_BYTES * 8;
    let body_bits = (whole.len() - HEADER_BYTES) * 8;
    let drawn_bits = (0..3000).map(|_| header_bits + (rng.rand_u64() as usize) % body_bits);
    for bit in (0..header_bits).chain(drawn_bits) {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&bytes).is_err(), "bit {bit}");
    }
    for end in [vec![0], vec![0; 512], whole.clone()] {
        assert!(decode(&[whole.clone(), end].concat()).is_err());
    }
}

#[test]
fn a_snapshot_beyond_the_bound_is_cut_and_still_whole() {
    let records: Vec<_> = (0..40_000)
        .flat_map(|number| records_of(number % 7))
        .collect();
    let bytes = encode(&Snapshot {
        sequence: 1,
        written_at: at(1),
        records: records.clone(),
        unknown_records: 0,
    });
    assert!(bytes.len() <= MAX_FILE_BYTES);
    let snapshot = decode(&bytes).unwrap();
    assert!(snapshot.records.len() < records.len() && records.starts_with(&snapshot.records));
    assert_eq!(decode(&[]), Err(FormatError::Empty));
}
