//! Files that cannot be read are set aside, and the other generation serves.

mod common;

use common::{at, open_store, test_directory, with_right_checksum};
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::disk::Disk;
use tidescale_snapshot::format::{HEADER_BYTES, MAX_FILE_BYTES, Snapshot, encode};
use tidescale_snapshot::store::{self, MAX_QUARANTINED_FILES};

#[test]
fn what_cannot_be_read_is_set_aside_and_the_other_generation_serves() {
    let whole = encode(&Snapshot {
        sequence: 9,
        written_at: at(9),
        records: records_of(9),
        unknown_records: 0,
    });
    let changed = |start: usize, to: &[u8]| {
        let mut bytes = whole.clone();
        bytes[start..start + to.len()].copy_from_slice(to);
        bytes
    };
    let table = [
        (Vec::new(), "empty"),
        (whole[..whole.len() - 1].to_vec(), "torn"),
        (changed(8, &[0, 0, 0, 2]), "newer"),
        (changed(32, &3_000_000_000u64.to_be_bytes()), "torn"),
        (changed(HEADER_BYTES + 20, b"x"), "checksum"),
        (b"something else altogether".to_vec(), "foreign"),
        (vec![b't'; MAX_FILE_BYTES + 4096], "long"),
        (with_right_checksum(changed(40, &[9, 9, 9, 9])), "record"),
    ];
    for (bytes, label) in table {
        let (path, _guard) = test_directory("aside");
        let (mut store, _) = open_store(&path);
        store.save(at(1), records_of(1)).unwrap();
        drop(store);
        std::fs::write(path.join("memory.1"), bytes).unwrap();
        let (mut store, opened) = open_store(&path);
        assert_eq!(opened.snapshot.unwrap().records, records_of(1), "{label}");
        let notes: Vec<String> = opened
            .unusable_files
            .iter()
            .map(ToString::to_string)
            .collect();
        assert!(
            notes.len() == 1 && notes[0].contains(label),
            "{label}: {notes:?}"
        );
        store.save(at(2), records_of(2)).unwrap();
        drop(store);
        let (_, opened) = open_store(&path);
        assert_eq!(opened.snapshot.unwrap().records, records_of(2));
    }
}

#[test]
fn a_directory_in_a_files_place_is_set_aside_with_what_is_in_it() {
    let (path, _guard) = test_directory("place");
    std::fs::create_dir_all(path.join("memory.0/inside")).unwrap();
    let (mut store, opened) = open_store(&path);
    assert!(
        opened.snapshot.is_none() && opened.unusable_files.len() == 1,
        "{:?}",
        opened.unusable_files
    );
    store.save(at(1), records_of(1)).unwrap();
    assert!(path.join("set-aside.1.unreadable/inside").is_dir());
}

#[test]
fn only_so_many_are_kept_for_inspection_and_clearing_takes_only_what_is_ours() {
    let (path, _guard) = test_directory("many");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("notes.txt"), "mine").unwrap();
    for _ in 0..3 * MAX_QUARANTINED_FILES {
        std::fs::write(path.join("memory.0"), "noise").unwrap();
        open_store(&path);
    }
    let mut directory = Directory::lock(&path).unwrap();
    let names = directory.names().unwrap();
    let set_aside = names.iter().filter(|name| name.starts_with("set-aside."));
    assert_eq!(set_aside.count(), MAX_QUARANTINED_FILES);
    assert_eq!(store::clear(&mut directory).unwrap(), MAX_QUARANTINED_FILES);
    assert_eq!(directory.names().unwrap(), ["notes.txt"]);
}
