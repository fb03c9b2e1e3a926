//! Abstracts file storage: a [directory](crate::directory) of the host or a
//! [simulated disk](crate::simulated_disk).

use std::io;

/// File operations in one directory. File names have no path.
pub trait Disk {
    /// Reads a whole file, or its first `max_bytes + 1` bytes if it is longer.
    ///
    /// # Errors
    ///
    /// `NotFound` if there is no such file; otherwise the error of reading it.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Creates an empty file with this name and opens it for writing.
    ///
    /// # Errors
    ///
    /// The error of creating the file.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends at least one of the bytes, possibly not all. Returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// `NotFound` if the file is not open; `Interrupted` if the call may be repeated; otherwise the
    /// error of writing.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Syncs a file: all bytes written so far survive a power loss.
    ///
    /// # Errors
    ///
    /// After a failed sync, any bytes written since the last successful one may be missing after a
    /// power loss, even if they can be read now.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Closes a file that was opened for writing.
    fn close(&mut self, name: &str);

    /// Renames a file, and replaces the file that had the new name.
    ///
    /// # Errors
    ///
    /// The error of renaming the file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The error of removing the file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the directory: names that were created, changed or removed survive a power loss.
    ///
    /// # Errors
    ///
    /// After a failed sync, a power loss may undo any of the changes since the last successful one.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Returns the names in the directory, sorted.
    ///
    /// # Errors
    ///
    /// The error of listing the directory.
    fn names(&mut self) -> io::Result<Vec<String>>;
}
