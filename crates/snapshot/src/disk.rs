//! The one narrow edge to what stores files: a [directory](crate::directory) of the host, or a
//! [simulated disk](crate::simulated_disk).

use std::io;

/// One directory. Names are plain file names.
pub trait Disk {
    /// Reads a whole file, or its first `max_bytes + 1` bytes if it is longer.
    ///
    /// # Errors
    ///
    /// `NotFound` where there is no such file; whatever else reading meets.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Makes an empty file of this name, open for writing.
    ///
    /// # Errors
    ///
    /// Whatever creating meets.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends some of the bytes, at least one. Returns how many.
    ///
    /// # Errors
    ///
    /// `NotFound` where the file is not open; `Interrupted`, after which the call may be repeated; whatever else
    /// writing meets.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Makes what was written safe from a power loss.
    ///
    /// # Errors
    ///
    /// After a failure nothing that was written since the last success may be relied on, even if it reads well.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Closes a file that was opened for writing.
    fn close(&mut self, name: &str);

    /// Gives a file another name, in place of what had that name.
    ///
    /// # Errors
    ///
    /// Whatever renaming meets.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Whatever removing meets.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes names that were created, changed and removed safe from a power loss.
    ///
    /// # Errors
    ///
    /// After a failure any of the changes since the last success may be undone.
    fn sync_names(&mut self) -> io::Result<()>;

    /// The names in the directory, in order.
    ///
    /// # Errors
    ///
    /// Whatever listing meets.
    fn names(&mut self) -> io::Result<Vec<String>>;
}
