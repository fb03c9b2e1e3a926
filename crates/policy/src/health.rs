//! Health of endpoints: ejection, health checks, recovery, and panic mode, in which all endpoints
//! are ejected and each is tried by one request at a time.
//!
//! What ejects an endpoint, where health checks are allowed:
//!
//! - two refused connections in a row, or
//! - an attempt that passed its latency objective without any response from the endpoint since it
//!   was sent (noticed in `retries::timeouts`), while fewer than a third of the ready endpoints are
//!   ejected.
//!
//! A hedged request can hide an unresponsive endpoint: the attempt there is cancelled before it
//! passes its objective.
//!
//! What brings it back:
//!
//! - health checks passed in a row: two at first, twice as many after each return by health checks
//!   up to 16, and two in panic mode; they are at least 400 ms apart, and sent by the evaluation,
//!   which runs every 250 ms,
//! - in panic mode, a trial request that succeeds: each endpoint gets one a second at most, or
//! - the start of another process.

mod checker;
mod endpoint_health;

pub(crate) use checker::{EndpointOutcome, HealthChange, HealthChecker, InService};
