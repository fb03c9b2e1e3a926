//! The policy as a proxy on real sockets.
//!
//! [`event_loop`] runs the iterations. `proxy` owns all connections and passes events on to the
//! component that they belong to: [`clients`], [`upstream`], [`discovery`], [`rollout_status`] and
//! [`votes`]. The codecs ([`postgres`], [`http`]) and the tables ([`slots`], [`deadlines`],
//! [`buffers`]) do no I/O. [`log_lines`] has all lines of the log.

pub mod buffers;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection;
pub mod context;
pub mod deadlines;
pub mod discovery;
pub mod endpoint_list;
pub mod event_loop;
pub mod explain;
pub mod http;
pub mod ids;
pub mod load_report;
pub mod log_lines;
pub mod logging;
pub mod operators;
pub mod postgres;
mod proxy;
pub mod reload;
pub mod resource_budget;
pub mod rollout_status;
pub mod shutdown;
pub mod slots;
pub mod snapshot_writer;
pub mod start;
pub mod stream;
pub mod upstream;
pub mod votes;
