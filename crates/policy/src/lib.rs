//! The policy of a tidescale instance: it routes requests while the software behind it is being
//! replaced, evaluates the new build by its own attempts, and votes to hold the rollout or to roll
//! the build back. It does no I/O.
//!
//! A host implements [`EventSource`] and [`host::DecisionSink`] and drives a [`Balancer`];
//! [`settings`] and [`types`] are the values that cross this border, and [`snapshot`] has the
//! records that survive a restart.
//!
//! Inside, there is a folder for each concern, with its state, its decisions and its tuned values
//! behind one type. Each imports only modules above it in this list:
//!
//! - `endpoints`: the table of endpoints and their load
//! - `requests`: open requests and their attempts
//! - `health`: ejection, health checks, panic mode
//! - `latency`: baseline latencies and slowdowns
//! - `warm_up`: slow start
//! - `retries`: idempotency, time-outs, hedged requests
//! - `admission`: concurrency limits, priorities, load shedding
//! - `rollout`: evidence, evaluation, exposure, votes
//! - `routing`: choice of an endpoint
//! - `balancer`: puts the parts together

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
