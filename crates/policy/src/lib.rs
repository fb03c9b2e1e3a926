//! tidescale: routes reqs while the servers' software is replaced, and votes on the build on trial.
//!
//! [`decide`] holds every decision, [`front`] the interface to whatever carries the protocol, [`recall`] what is
//! told of and to a memory that outlives the process.

pub mod decide;
pub mod front;
pub mod recall;
mod state;
