//! Balancing and rollout policy of a tidescale instance. It routes requests while a new build
//! replaces the previous one, evaluates the new build by the outcomes of its own attempts, and
//! votes to hold the rollout or to roll the build back. The crate does no I/O.
//!
//! A host implements [`EventSource`] and [`host::DecisionSink`] and drives a [`Balancer`];
//! [`settings`] and [`types`] define the values that the two exchange, and [`snapshot`] the records
//! that are kept across a restart.
//!
//! Each concern has a module with its state, decisions and constants behind one type. A module
//! imports only modules above it in this list:
//!
//! - `endpoints`: table of endpoints and their load
//! - `requests`: open requests and their attempts
//! - `health`: ejection, health checks, panic mode
//! - `latency`: baseline latencies and slowdowns
//! - `warm_up`: slow start
//! - `retries`: idempotency, timeouts, hedged attempts
//! - `admission`: concurrency limits, priorities, load shedding
//! - `rollout`: evidence, evaluation, exposure of new builds, votes
//! - `routing`: choice of an endpoint
//! - `balancer`: combines the modules above

mod admission;
mod balancer;
mod endpoints;
mod health;
pub mod host;
mod indexed_table;
mod latency;
mod requests;
mod retries;
mod rollout;
mod routing;
mod schedule;
pub mod settings;
pub mod snapshot;
pub mod statistics;
mod step_context;
pub mod types;
mod warm_up;

pub use balancer::{Balancer, EndpointStatus, EventSource, TableSizes};
pub use rollout::Rollout;
pub use schedule::SWEEP_INTERVAL;
