//! The proxy's in-memory data structures, tested without sockets.

#[path = "../common/limited_writer.rs"]
mod limited_writer;

mod arrivals;
mod attempt_errors;
mod buffers;
mod connection_stages;
mod deadlines;
mod executed_requests;
mod log_rate_limit;
mod read_schedule;
mod slots;
mod statement_buffers;
