//! What a front has learned, kept over a restart: the facts, their file, how they age, and the folder they live in.
//!
//! `ageing` and `schedule` decide and do no I/O; `disk` is the one edge to files, `model` its modelled side.

pub mod disk;
pub mod expiry;
pub mod format;
pub mod rate_limit;
pub mod records;
pub mod simulated_disk;
pub mod store;
