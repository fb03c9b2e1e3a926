//! A directory that two processes want, and one that goes away.

mod common;

use common::{at, open_store, test_directory};
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::{Directory, LockError};

#[test]
fn a_directory_is_locked_by_one_instance_at_a_time() {
    let (path, _guard) = test_directory("locked");
    let locked = Directory::lock(&path).unwrap();
    assert!(matches!(Directory::lock(&path), Err(LockError::Locked)));
    drop(locked);
    assert!(Directory::lock(&path).is_ok());
}

#[test]
fn a_directory_that_vanishes_or_is_a_file_is_an_error_and_nothing_more() {
    let (path, _guard) = test_directory("gone");
    let (mut store, _) = open_store(&path);
    store.save(at(1), records_of(1)).unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    assert!(store.save(at(2), records_of(2)).is_err());
    std::fs::write(&path, "a file").unwrap();
    assert!(matches!(Directory::lock(&path), Err(LockError::Io(_))));
    assert!(store.save(at(3), records_of(3)).is_err());
}
