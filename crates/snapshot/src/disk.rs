//! The one edge to what keeps files: a folder of the machine, or a model of one (`model`).

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// One folder. Names are plain file names.
pub trait Disk {
    /// All of a file, but no more than `most` bytes and one.
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// An empty file of this name, open for writing.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes some bytes to the end, at least one; says how many.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;
    /// What was written is safe from a loss of power. After a failure nothing written since is to be believed.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn close(&mut self, name: &str);
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Names made, changed and removed are safe from a loss of power.
    fn sync_names(&mut self) -> io::Result<()>;
    fn names(&mut self) -> io::Result<Vec<String>>;
}

/// Why a folder is not used.
#[derive(Debug)]
pub enum NoFolder {
    /// Another front holds it.
    Held,
    Io(io::Error),
}

impl std::fmt::Display for NoFolder {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            NoFolder::Held => f.write_str("another front holds it"),
            NoFolder::Io(e) => write!(f, "{e}"),
        }
    }
}

const LOCK: &str = "lock";

/// A folder of this machine, held by one process at a time as long as it is open.
pub struct Folder {
    path: PathBuf,
    open: BTreeMap<String, File>,
    _lock: Option<File>,
}

impl Folder {
    /// The lock goes with the process, however it ends.
    pub fn hold(path: &Path) -> Result<Folder, NoFolder> {
        if !path.is_dir() {
            fs::create_dir_all(path).map_err(NoFolder::Io)?;
            // Its own name must outlive a loss of power, or all that is kept in it goes too.
            let parent = path
                .parent()
                .filter(|p| !p.as_os_str().is_empty())
                .unwrap_or(Path::new("."));
            File::open(parent)
                .and_then(|p| p.sync_all())
                .map_err(NoFolder::Io)?;
        }
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join(LOCK))
            .map_err(NoFolder::Io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => return Err(NoFolder::Held),
            Err(fs::TryLockError::Error(e)) => return Err(NoFolder::Io(e)),
        }
        Ok(Folder {
            path: path.into(),
            open: BTreeMap::new(),
            _lock: Some(lock),
        })
    }

    /// For a look only, whoever holds it.
    pub fn look(path: &Path) -> Folder {
        Folder {
            path: path.into(),
            open: BTreeMap::new(),
            _lock: None,
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open
            .get_mut(name)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?
            .take(most as u64 + 1)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        self.open.insert(name.into(), file);
        Ok(())
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        match self.file(name)?.write(bytes)? {
            0 => Err(ErrorKind::WriteZero.into()),
            n => Ok(n),
        }
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }
    fn close(&mut self, name: &str) {
        self.open.remove(name);
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        // A folder in a file's place is somebody else's: it may be moved aside, never emptied.
        fs::remove_file(self.path.join(name))
    }
    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok().filter(|n| n != LOCK));
        }
        names.sort_unstable();
        Ok(names)
    }
}
