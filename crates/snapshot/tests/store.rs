//! Quarantine of unusable files, use of the other generation, and removal of a store's files.

mod common;

use common::{TestDirectory, at, encoded_snapshot, open_store, with_valid_checksum};
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::disk::Disk;
use tidescale_snapshot::format::{HEADER_BYTES, MAX_FILE_BYTES};
use tidescale_snapshot::store::{self, MAX_QUARANTINED_FILES};

/// Content of a file that cannot be decoded.
struct UndecodableFile {
    /// The expected reason in the name of the quarantined file.
    label: &'static str,
    bytes: Vec<u8>,
}

/// Files for each reason why decoding fails.
fn undecodable_files() -> Vec<UndecodableFile> {
    let whole = encoded_snapshot(9, 9);
    let changed = |start: usize, to: &[u8]| {
        let mut bytes = whole.clone();
        bytes[start..start + to.len()].copy_from_slice(to);
        bytes
    };
    let file = |label, bytes| UndecodableFile { label, bytes };
    vec![
        file("empty", Vec::new()),
        file("torn", whole[..whole.len() - 1].to_vec()),
        file("newer", changed(8, &[0, 0, 0, 2])),
        file("torn", changed(32, &3_000_000_000u64.to_be_bytes())),
        file("checksum", changed(HEADER_BYTES + 20, b"x")),
        file("foreign", b"something else altogether".to_vec()),
        file("long", vec![b't'; MAX_FILE_BYTES + 4096]),
        file("record", with_valid_checksum(changed(40, &[9, 9, 9, 9]))),
    ]
}

/// A directory with snapshot 1 in one generation and these bytes in the other.
fn directory_with_undecodable_generation(name: &str, bytes: &[u8]) -> TestDirectory {
    let directory = TestDirectory::new(name);
    let (mut store, _) = open_store(&directory.path);
    store.save(at(1), records_of(1)).unwrap();
    drop(store);
    std::fs::write(directory.path.join("memory.1"), bytes).unwrap();
    directory
}

#[test]
fn undecodable_file_is_quarantined_and_the_other_generation_is_used() {
    for UndecodableFile { label, bytes } in undecodable_files() {
        let directory = directory_with_undecodable_generation("unreadable", &bytes);

        let (store, contents) = open_store(&directory.path);

        assert_eq!(contents.snapshot.unwrap().records, records_of(1), "{label}");
        let [file] = contents.unusable_files.as_slice() else {
            panic!("{label}: {:?}", contents.unusable_files);
        };
        let line = file.to_string();
        let new_name = format!("set-aside.1.{label}");
        assert!(line.contains(&new_name), "{label}: {line}");
        assert!(directory.path.join(new_name).is_file(), "{label}");
        drop(store);
    }
}

#[test]
fn store_saves_again_after_an_undecodable_file() {
    for UndecodableFile { label, bytes } in undecodable_files() {
        let directory = directory_with_undecodable_generation("saves-again", &bytes);
        let (mut store, _) = open_store(&directory.path);

        store.save(at(2), records_of(2)).unwrap();
        drop(store);

        let (_, contents) = open_store(&directory.path);
        assert_eq!(contents.snapshot.unwrap().records, records_of(2), "{label}");
    }
}

#[test]
fn directory_in_place_of_a_file_is_quarantined_with_its_content() {
    let directory = TestDirectory::new("directory-in-place");
    std::fs::create_dir_all(directory.path.join("memory.0/inside")).unwrap();

    let (mut store, contents) = open_store(&directory.path);

    assert!(contents.snapshot.is_none());
    assert_eq!(contents.unusable_files.len(), 1);
    store.save(at(1), records_of(1)).unwrap();
    let quarantined = directory.path.join("set-aside.1.unreadable/inside");
    assert!(quarantined.is_dir());
}

/// Opens the directory's store `count` times, each time with a new unreadable file.
fn quarantine_files(directory: &TestDirectory, count: usize) {
    for _ in 0..count {
        std::fs::write(directory.path.join("memory.0"), "noise").unwrap();
        open_store(&directory.path);
    }
}

#[test]
fn number_of_quarantined_files_is_limited() {
    let directory = TestDirectory::new("limited");
    std::fs::create_dir_all(&directory.path).unwrap();

    quarantine_files(&directory, 3 * MAX_QUARANTINED_FILES);

    let mut locked_directory = Directory::lock(&directory.path).unwrap();
    let names = locked_directory.names().unwrap();
    let quarantined = names.iter().filter(|name| name.starts_with("set-aside."));
    assert_eq!(quarantined.count(), MAX_QUARANTINED_FILES);
}

#[test]
fn clear_removes_the_files_of_the_store_and_no_others() {
    let directory = TestDirectory::new("cleared");
    std::fs::create_dir_all(&directory.path).unwrap();
    std::fs::write(directory.path.join("notes.txt"), "mine").unwrap();
    quarantine_files(&directory, 3 * MAX_QUARANTINED_FILES);
    let mut locked_directory = Directory::lock(&directory.path).unwrap();

    let removed = store::clear(&mut locked_directory).unwrap();

    assert_eq!(removed, MAX_QUARANTINED_FILES);
    assert_eq!(locked_directory.names().unwrap(), ["notes.txt"]);
}
