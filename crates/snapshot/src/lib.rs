//! Persistence of the state that a proxy instance has learned, so that it survives a restart: the
//! records, the file format, their expiry, and the directory that holds the snapshot files.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`records`] | the stored records, one type per kind |
//! | [`mod@format`] | the format of a snapshot file: encoding, decoding, versions |
//! | [`expiry`] | the weight of a record by its age, and what is restored of it |
//! | [`store`] | two generations of snapshots in one directory, written crash-safely |
//! | [`disk`] | the trait that abstracts file storage |
//! | [`directory`] | implements it with a directory of the host |
//! | [`simulated_disk`] | implements it in memory, with fault injection |
//! | [`crash_history`] | checks the store with a power loss at every step on a simulated disk |
//! | [`rate_limit`], [`scheduler`] | budgets for background work, and which job runs next |
//!
//! `records`, `format`, `expiry`, `rate_limit` and `scheduler` do no I/O.

pub mod crash_history;
pub mod directory;
pub mod disk;
pub mod expiry;
pub mod format;
pub mod rate_limit;
pub mod records;
pub mod scheduler;
pub mod simulated_disk;
pub mod store;
