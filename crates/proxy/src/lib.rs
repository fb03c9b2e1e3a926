//! The decision module as a front on real sockets. `front` holds the loop; each other file has one job, and
//! the codecs (`pg`, `http`) and tables (`slots`, `deadlines`, `buffers`) do no I/O.

pub mod buffers;
pub mod cli;
pub mod clients;
pub mod config;
pub mod connection;
pub mod deadlines;
pub mod discovery;
pub mod event_loop;
pub mod explain;
pub mod http;
pub mod load_report;
pub mod logging;
pub mod operators;
pub mod postgres;
pub mod rollout_status;
pub mod slots;
pub mod snapshot_writer;
pub mod stream;
pub mod upstream;
