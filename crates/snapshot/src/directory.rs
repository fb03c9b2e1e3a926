//! [`Disk`] on a directory of the host, with a lock file against use by two processes at a time.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::disk::Disk;

/// Name of the lock file; [`Disk::names`] omits it.
const LOCK_FILE: &str = "lock";

/// The reason why a directory cannot be locked.
#[derive(Debug, Error)]
pub enum LockError {
    /// Another process has locked it.
    #[error("another proxy instance has locked it")]
    Locked,
    /// The directory or its lock file cannot be created or opened.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// An advisory file lock. The operating system releases it when the process ends, even by a crash.
struct DirectoryLock {
    /// The lock is held until this file is closed.
    _file: File,
}

impl DirectoryLock {
    fn acquire(directory: &Path) -> Result<DirectoryLock, LockError> {
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(directory.join(LOCK_FILE))?;
        match file.try_lock() {
            Ok(()) => Ok(DirectoryLock { _file: file }),
            Err(fs::TryLockError::WouldBlock) => Err(LockError::Locked),
            Err(fs::TryLockError::Error(error)) => Err(LockError::Io(error)),
        }
    }
}

/// A directory of the host that holds snapshot files.
pub struct Directory {
    path: PathBuf,
    /// Files open for writing, by name.
    open_files: BTreeMap<String, File>,
    /// `None` if the directory is only read.
    _lock: Option<DirectoryLock>,
}

impl Directory {
    /// Creates the directory if it is missing, and locks it until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// [`LockError::Locked`] if another process has locked the directory, or [`LockError::Io`] if
    /// it cannot be created, opened or locked.
    pub fn lock(path: &Path) -> Result<Directory, LockError> {
        if !path.is_dir() {
            create_durably(path)?;
        }
        let lock = DirectoryLock::acquire(path)?;
        Ok(Directory {
            path: path.into(),
            open_files: BTreeMap::new(),
            _lock: Some(lock),
        })
    }

    /// Opens the directory without a lock, even if a process has locked it. For reading only.
    pub fn without_lock(path: &Path) -> Directory {
        Directory {
            path: path.into(),
            open_files: BTreeMap::new(),
            _lock: None,
        }
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open_files
            .get_mut(name)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

/// Creates the directory and syncs its parent. Without the sync, a power loss could remove the
/// directory's entry, and its content would be lost with it.
fn create_durably(path: &Path) -> io::Result<()> {
    fs::create_dir_all(path)?;
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(parent)?.sync_all()
}

impl Disk for Directory {
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?
            .take(max_bytes as u64 + 1)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        self.open_files.insert(name.into(), file);
        Ok(())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        match self.open_file(name)?.write(bytes)? {
            0 => Err(ErrorKind::WriteZero.into()),
            written => Ok(written),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_all()
    }

    fn close(&mut self, name: &str) {
        self.open_files.remove(name);
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        // `remove_file` fails on a directory. The proxy has not created it, so it may be renamed,
        // but its content is never removed.
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().into_string().ok();
            names.extend(name.filter(|name| name != LOCK_FILE));
        }
        names.sort_unstable();
        Ok(names)
    }
}
