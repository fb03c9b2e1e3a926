//! Snapshots of what a proxy instance has learned, kept over a restart: the records, their file,
//! how they expire, and the directory that holds the files.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`records`] | the stored records, one type for each kind |
//! | [`mod@format`] | format of a snapshot file: encoding, decoding, versions |
//! | [`expiry`] | how much a record still counts at a later time |
//! | [`store`] | two generations of snapshots in one directory, safe against crashes |
//! | [`disk`] | the trait behind which files are stored |
//! | [`directory`] | its implementation in a directory of the host |
//! | [`rate_limit`], [`scheduler`] | budgets for background work, and which job runs next |
//! | [`simulated_disk`] | its simulated implementation, with faults |
//! | [`crash_history`] | power losses at every step on a simulated disk |
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
