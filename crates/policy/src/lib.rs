//! The policy of a tidescale instance: it routes requests while the software behind it is being replaced, judges the
//! build under evaluation from its own attempts, and votes to hold it or to roll it back. It does no I/O.
//!
//! A host implements the two traits in [`host`] and drives a [`Balancer`]; [`settings`] and [`types`] are the values
//! that cross this border. [`snapshot`] is what survives a restart.

pub mod decide;
pub mod host;
pub mod settings;
pub mod snapshot;
mod state;
pub mod types;

pub use state::{Balancer, EndpointStatus, Rollout};
