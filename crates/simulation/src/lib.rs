//! Endpoints, builds, the rollout platform, discovery and clients in virtual time, around the real policy.
//!
//! [`trial::run_trial`] runs one [`case::TrialCase`] and returns its [`outcome::TrialOutcome`]. It drives
//! [`tidescale_policy::Balancer`] through the same two traits as the proxy does, and does no I/O.
//!
//! Invariants:
//! - The same case gives the same outcome, to the bit, on every run and machine.
//! - Each part of the model draws from a [`random_stream`] of its own. Cases that differ only in the behavior of the
//!   build are therefore equal until that build is offered, and can be compared as a pair.
//! - All ranges are this model's own; nothing in them is read off any deployment.
//!
//! Modules, lowest first; each imports only from those above it:
//!
//! | module | its one job |
//! | --- | --- |
//! | [`digest`], [`random_stream`], `parameters` | a digest over numbers; random draws; constants with their units |
//! | [`build_behavior`], `endpoint`, `fleet` | what a build does; how an endpoint serves; which endpoint stands where |
//! | [`confounder`], [`case`], [`outcome`] | what else goes wrong; what is run; what came of it |
//! | `events`, `network` | what happens later, in order; messages and how long they take |
//! | `rollout`, `clients`, `attempts` | the platform's stages and votes; requests; how an attempt ends |
//! | `environment` | the state of a trial, made of the parts above |
//! | `settings`, `delivery`, `decisions`, `decision_digest` | the host side of the policy's interface |
//! | [`trial`] | the run loop |

mod attempts;
pub mod build_behavior;
pub mod case;
mod clients;
pub mod confounder;
mod decision_digest;
mod decisions;
mod delivery;
pub mod digest;
mod endpoint;
mod environment;
mod events;
mod fleet;
mod network;
pub mod outcome;
mod parameters;
pub mod random_stream;
mod rollout;
mod settings;
pub mod trial;
