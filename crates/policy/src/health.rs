//! Health of endpoints: ejection, health checks, recovery, and panic mode, in which all endpoints
//! are ejected and each is tried by one request at a time.
//!
//! What ejects an endpoint, where health checks are allowed:
//!
//! - two refused connections in a row, or
//! - an attempt that passed its latency objective without any response from the endpoint since it
//!   was sent, while fewer than a third of the ready endpoints are ejected.
//!
//! What brings it back:
//!
//! - health checks passed in a row: two at first, twice as many after each ejection up to 16, and
//!   two in panic mode; one is sent every 400 ms,
//! - in panic mode, a trial request that succeeds: each endpoint gets one a second at most, or
//! - the start of another process.

mod checker;
mod endpoint_health;

pub(crate) use checker::{EndpointOutcome, HealthChange, HealthChecker, InService};
