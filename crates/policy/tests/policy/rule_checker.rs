//! Checks the five routing rules and the limits from the settings over seeded random histories,
//! under every combination of the limits.
//!
//! An observer outside the policy sees only what a host sees. It keeps its own records ([`model`]),
//! generates the events of a history ([`history`]), and checks each decision ([`observer`]) against
//! the rules ([`rules`]) and limits ([`limits`]). The rules are:
//!
//! 1. Each request is answered exactly once and in time.
//! 2. A request that may have executed is repeated only as its idempotency allows.
//! 3. No attempt is sent to an endpoint that accepts no new requests.
//! 4. A warming endpoint is not overloaded.
//! 5. A build under evaluation receives only the requests that its stage allows.

mod cases;
mod history;
mod limits;
mod model;
mod observer;
mod rules;
mod runner;
mod violation;
