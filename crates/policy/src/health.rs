//! Health of endpoints: ejection, health checks, recovery, and panic mode, in which all endpoints
//! are ejected and each is tried by one request at a time.
//!
//! What ejects an endpoint: several refused connections in a row, or an attempt that passed its
//! latency objective without any response from the endpoint since it was sent. What brings it back: health checks passed in a row, a trial request that succeeds while
//! all endpoints are ejected, or the start of another process.

mod checker;
mod endpoint_health;

pub(crate) use checker::{EndpointOutcome, HealthChange, HealthChecker, InService};
