//! Endpoints, builds, the rollout platform, discovery and clients in virtual time, around the real
//! policy.
//!
//! [`trial::run_trial`] runs one [`case::TrialCase`] and returns its [`outcome::TrialOutcome`]. It
//! drives [`tidescale_policy::Balancer`] through the same two traits as the proxy does, and does no
//! I/O.
//!
//! Invariants:
//! - The same case gives the same outcome, to the bit, on every run and on every computer.
//! - Each part of the model draws from its own [`random_stream`]. Cases that differ only in the
//!   behavior of the build are therefore equal until that build is offered, and can be compared as
//!   a pair.
//! - All ranges belong to this model; none is measured at a deployment.
//!
//! Modules, lowest first; each imports only from those above it:
//!
//! | module | its one job |
//! | --- | --- |
//! | [`digest`], `ids`, `parameters` | a digest over numbers; typed indexes; constants with their units |
//! | [`random_stream`], [`build_behavior`] | random draws; what a build does to requests |
//! | `endpoint`, `fleet` | how an endpoint serves; which endpoint serves in which slot |
//! | [`confounder`], [`case`], [`outcome`] | trouble besides the build; what a trial runs; its result |
//! | `events`, `network` | future events, in order; messages and how long they take |
//! | `rollout`, `clients`, `attempts` | the platform's stages and votes; requests; the end of an attempt |
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
mod ids;
mod network;
pub mod outcome;
mod parameters;
pub mod random_stream;
mod rollout;
mod settings;
pub mod trial;
