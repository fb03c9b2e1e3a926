//! The decision module as a front on real sockets. `front` holds the loop; each other file has one job, and
//! the codecs (`pg`, `http`) and tables (`slots`, `deadlines`, `buffers`) do no I/O.

pub mod buffers;
pub mod clients;
pub mod commands;
pub mod config;
pub mod deadlines;
pub mod discovery;
pub mod explain;
pub mod front;
pub mod http;
pub mod keep;
pub mod link;
pub mod logging;
pub mod operators;
pub mod pg;
pub mod platform;
pub mod slots;
pub mod stream;
pub mod upstream;
