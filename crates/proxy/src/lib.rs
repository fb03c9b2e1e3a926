//! A PostgreSQL proxy that balances requests over endpoints with the policy of `tidescale_policy`.
//!
//! [`event_loop`] waits for events and handles them. `proxy` owns all connections and dispatches
//! each event to its component: [`clients`], [`upstream`], [`discovery`], [`rollout_status`] or
//! [`votes`]. The codecs ([`postgres`], [`http`]) and the data structures ([`slots`],
//! [`deadlines`], [`buffers`]) do no I/O. [`log_lines`] defines all log lines from level info up.

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
pub mod statement_buffers;
pub mod stream;
pub mod upstream;
pub mod votes;
