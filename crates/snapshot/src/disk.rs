//! The trait behind which files are stored: in a [directory](crate::directory) of the host, or on a
//! [simulated disk](crate::simulated_disk).

use std::io;

/// One directory. Names are plain file names.
pub trait Disk {
    /// Reads a whole file, or its first `max_bytes + 1` bytes if it is longer.
    ///
    /// # Errors
    ///
    /// `NotFound` where there is no such file; any other error of reading it.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Creates an empty file of this name, open for writing.
    ///
    /// # Errors
    ///
    /// Any error of creating the file.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends some of the bytes, at least one. Returns how many.
    ///
    /// # Errors
    ///
    /// `NotFound` where the file is not open; `Interrupted`, after which the call may be repeated;
    /// any other error of writing.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Makes all bytes written so far survive a power loss.
    ///
    /// # Errors
    ///
    /// After a failure, any bytes written since the last success may be missing after a power loss,
    /// even if they can be read now.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Closes a file that was opened for writing.
    fn close(&mut self, name: &str);

    /// Gives a file another name, and replaces the file that had that name.
    ///
    /// # Errors
    ///
    /// Any error of renaming the file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Any error of removing the file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes names that were created, changed or removed survive a power loss.
    ///
    /// # Errors
    ///
    /// After a failure, a power loss may undo any of the changes since the last success.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// The names in the directory, in order.
    ///
    /// # Errors
    ///
    /// Any error of listing the directory.
    fn names(&mut self) -> io::Result<Vec<String>>;
}
