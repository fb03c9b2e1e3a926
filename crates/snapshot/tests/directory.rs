//! Locking a directory twice, and saving after it was removed or replaced by a file.

mod common;

use common::{TestDirectory, at, open_store};
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::{Directory, LockError};

#[test]
fn locked_directory_is_refused_until_its_lock_is_released() {
    let directory = TestDirectory::new("locked");
    let locked = Directory::lock(&directory.path).unwrap();

    let while_locked = Directory::lock(&directory.path);
    drop(locked);
    let after_release = Directory::lock(&directory.path);

    assert!(matches!(while_locked, Err(LockError::Locked)));
    assert!(after_release.is_ok());
}

#[test]
fn save_to_a_removed_directory_fails() {
    let directory = TestDirectory::new("removed");
    let (mut store, _) = open_store(&directory.path);
    store.save(at(1), records_of(1)).unwrap();
    std::fs::remove_dir_all(&directory.path).unwrap();

    let saved = store.save(at(2), records_of(2));

    assert!(saved.is_err());
}

#[test]
fn file_in_place_of_the_directory_makes_lock_and_save_fail() {
    let directory = TestDirectory::new("replaced");
    let (mut store, _) = open_store(&directory.path);
    store.save(at(1), records_of(1)).unwrap();
    std::fs::remove_dir_all(&directory.path).unwrap();
    std::fs::write(&directory.path, "a file").unwrap();

    let locked = Directory::lock(&directory.path);
    let saved = store.save(at(3), records_of(3));

    assert!(matches!(locked, Err(LockError::Io(_))));
    assert!(saved.is_err());
}
