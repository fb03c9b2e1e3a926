//! Retries and hedging: whether a request may be sent again (rule 2: a request is executed twice
//! only if its idempotency allows it), when an attempt times out, and when a hedged attempt is due.
//!
//! A request is sent to a second endpoint in these cases:
//!
//! - An attempt was certainly not executed: it was refused, rejected under load, or not sent.
//! - An attempt ended in any other way, and `idempotency` allows a retry. After a connection reset,
//!   a health check must first show that the request has not crashed the endpoint. If the endpoint
//!   is down, the request is treated as a query of death and not sent again.
//! - A hedged attempt, sent while the first one is still in flight, is due because the response to
//!   the first may be lost, and the rules above allow it. The first attempt must be older than half
//!   its latency objective and older than `HEDGE_FACTOR` = 4 times its baseline latency, the
//!   settings `hedging` and `cancel_attempts` must be on, `MIN_HEDGE_RESPONSES` = 100 responses
//!   must be known, and there must be no congestion at that time (`timeouts`).
//!
//! A request is not sent again in these cases:
//!
//! - An attempt is in flight for which no hedged attempt is due.
//! - It has already had `max_attempts` attempts.
//! - It is not idempotent and an attempt may have executed it, or its idempotency key has expired
//!   or is not known to the other endpoint (`idempotency`).
//! - The setting `monotonic_key_builds` is on, and the endpoint runs an earlier build than the
//!   latest one that has answered the idempotency key or has an attempt with it in flight. This
//!   does not apply while the newest build is being rolled back (`key_builds`).
//!
//! A retry by the client is a new request. The only state about idempotency keys that outlives a
//! request is the latest build that answered each key.

mod idempotency;
mod key_builds;
mod timeouts;

pub(crate) use idempotency::{may_attempt, may_write};
pub(crate) use key_builds::{KeyBuilds, PossibleAnswer};
pub(crate) use timeouts::{AttemptTimeouts, exceeds_time_limit};
