//! Health of endpoints: ejection, health checks, recovery, and panic mode, in which all endpoints
//! are ejected and each is tried by one request at a time.
//!
//! What ejects an endpoint, where the setting `health_checks` allows health checks:
//!
//! - `REFUSALS_TO_EJECT` = 2 refused connections without a response between them, or
//! - an attempt that passed its latency objective without any response from the endpoint since it
//!   was sent, while fewer than one in `READY_PER_EJECTED` = 3 ready endpoints is ejected. The
//!   sweep notices it (`retries::timeouts`, every 10 ms), the evaluation ejects (every 250 ms).
//!
//! A snapshot restores an ejection; the endpoint is then checked immediately. Errors eject no
//! endpoint, because the evaluation of its build needs them.
//!
//! What brings it back:
//!
//! - health checks passed in a row: `MIN_PASSES` = 2 at first and in panic mode, twice as many
//!   after each return by health checks, up to `MAX_PASSES` = 16. They are at least
//!   `HEALTH_CHECK_INTERVAL` = 400 ms apart, which is also how long one may take,
//! - in panic mode, a trial request that succeeds: one at a time for each endpoint, and at most one
//!   in `TRIAL_REQUEST_INTERVAL` = 1 s, or
//! - the start of another process, which also resets the number of passes to `MIN_PASSES`.
//!
//! After a return, the endpoint's slowdown is forgotten, and its concurrency limit starts at
//! `LIMIT_AFTER_EJECTION` = 2 (`admission`).
//!
//! A hedged request can hide an unresponsive endpoint: the attempt there is cancelled before it
//! passes its objective.

mod checker;
mod endpoint_health;

pub(crate) use checker::{EndpointOutcome, HealthChange, HealthChecker, InServiceCounts};
