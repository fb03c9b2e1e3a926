//! Health of endpoints: ejection, health checks, recovery, and panic mode, which applies while all
//! ready endpoints are ejected and sends trial requests to them.
//!
//! An endpoint is ejected, if the setting `health_checks` allows health checks, after
//!
//! - `REFUSALS_TO_EJECT` = 2 refused connections without a response between them, or
//! - an attempt that missed its latency objective without any response from the endpoint since it
//!   was sent, while fewer than one in `READY_PER_EJECTED` = 3 ready endpoints is ejected. The
//!   sweep detects this (`retries::timeouts`, every 10 ms), and the next evaluation ejects the
//!   endpoint (every 250 ms).
//!
//! An ejection that is restored from a snapshot is followed by a health check immediately. Errors
//! do not eject an endpoint, because the evaluation of its build needs their outcomes.
//!
//! An ejected endpoint returns to service after
//!
//! - consecutive passed health checks: `MIN_PASSES` = 2 at first and in panic mode, and twice as
//!   many after each return by health checks, up to `MAX_PASSES` = 16. They are at least
//!   `HEALTH_CHECK_INTERVAL` = 400 ms apart, which is also their timeout,
//! - in panic mode, a successful trial request. Each endpoint has at most one in flight, and at
//!   most one in `TRIAL_REQUEST_INTERVAL` = 1 s, or
//! - the start of a new process, which also resets the number of required passes to `MIN_PASSES`.
//!
//! On its return the endpoint's slowdown is cleared, and its concurrency limit starts at
//! `LIMIT_AFTER_EJECTION` = 2 (`admission`).
//!
//! Hedging can hide an unresponsive endpoint, because the attempt there is cancelled before it
//! misses its objective.

mod checker;
mod endpoint_health;

pub(crate) use checker::{EndpointOutcome, HealthChange, HealthChecker, InServiceCounts};
