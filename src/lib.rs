//! tidescale: routes reqs while the servers' software is replaced, and votes on the build on trial.
//!
//! [`decide`] holds every decision, [`front`] the interface to whatever carries the protocol.

pub mod decide;
pub mod front;
mod state;
