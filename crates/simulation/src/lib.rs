//! Discrete-event simulation of a deployment: the production policy runs in virtual time against
//! simulated endpoints, builds, clients, service discovery and a rollout platform.
//!
//! [`trial::run_trial`] runs one [`case::TrialCase`] and returns its [`outcome::TrialOutcome`]. It
//! drives [`tidescale_policy::Balancer`] through the same two traits as the proxy does, and does no
//! I/O.
//!
//! Invariants:
//! - The same case gives a bit-identical outcome on every run and on every host.
//! - Each part of the model draws from its own [`random_stream`]. Two cases that differ only in the
//!   behavior of the build therefore run identically until the rollout of that build starts, and
//!   can be compared as a pair.
//! - All parameter ranges are assumptions of this model; none was measured in a deployment.
//!
//! Modules, lowest layer first; each imports only from those above it:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`digest`], `ids`, `parameters` | digest over numbers; typed indexes; model constants |
//! | [`random_stream`], [`build_behavior`] | random draws; effect of a build on requests |
//! | `endpoint`, `fleet` | request service at an endpoint; assignment of endpoints to slots |
//! | [`confounder`], [`case`], [`outcome`] | disturbances; trial configuration; trial result |
//! | `events`, `network` | event queue; message delays |
//! | `rollout`, `clients`, `attempts` | stages and votes; requests and retries; attempts |
//! | `environment` | state of a trial, composed of the parts above |
//! | `settings`, `delivery`, `decisions`, `decision_digest` | host side of the policy's interface |
//! | [`trial`] | run loop |

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
