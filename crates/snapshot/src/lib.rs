//! What a proxy instance has learned, durable over a restart: the records, their file, how they expire, and the
//! directory that holds the file.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`records`] | what is stored, one type for each kind of record |
//! | [`mod@format`] | bytes of a snapshot file: encoding, decoding, versions |
//! | [`expiry`] | how much a record still counts at a later time |
//! | [`store`] | two generations of snapshots in one directory, crash-safe |
//! | [`disk`], [`directory`] | the narrow trait to what stores files, and its real side |
//! | [`rate_limit`], [`scheduler`] | budgets for background work, and which job runs next |
//! | [`simulated_disk`], [`crash_history`] | the trait's simulated side, and power losses played on it |
//!
//! `records`, `format`, `expiry`, `rate_limit` and `scheduler` decide and do no I/O.

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
