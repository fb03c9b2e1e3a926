//! The policy of a tidescale instance: it routes requests while the software behind it is being
//! replaced, judges the build under evaluation from its own attempts, and votes to hold it or to
//! roll it back. It does no I/O.
//!
//! A host implements the two traits in [`host`] and drives a [`Balancer`]; [`settings`] and
//! [`types`] are the values that cross this border, and [`snapshot`] is what survives a restart.
//! Inside, `decisions` holds every choice and every tuned value; the other modules are the tables,
//! statistics and look-ups that it works with.

mod attempts;
mod balancer;
mod candidates;
pub mod concurrency;
pub mod decisions;
pub mod endpoints;
mod events;
pub mod evidence;
pub mod exposure;
pub mod health;
pub mod host;
pub mod latency;
pub mod requests;
mod schedule;
pub mod settings;
pub mod snapshot;
pub mod statistics;
pub mod traffic;
pub mod types;
mod verdict;
pub mod votes;

pub use balancer::{Balancer, Clock, EndpointStatus, Rollout, ZoneSlowdowns};
pub use schedule::Schedule;
