//! Retries: which request may be sent again (rule 2: no request is executed twice unless that is
//! harmless), when an attempt has timed out, and when a hedged request may be sent beside it.
//!
//! A request is sent to a second endpoint
//!
//! - after an attempt that was certainly not executed: refused, rejected under load, or not sent,
//! - after any other attempt that has ended, where `idempotency` allows it. After a reset
//!   connection a health check must first show that the request has not crashed its endpoint; if it
//!   has, the request is a query of death and is not sent again, or
//! - beside its only attempt, whose response may be lost (a hedged request, under the same rules):
//!   older than half its latency objective and than `HEDGE_FACTOR` = 4 times its baseline latency,
//!   where the settings `hedging` and `cancel_attempts` allow it, `MIN_HEDGE_RESPONSES` = 100
//!   responses are known, and there was no congestion (`timeouts`).
//!
//! It is not sent again
//!
//! - while an attempt is in flight for which no hedged request is due,
//! - after `max_attempts` attempts,
//! - if it is not idempotent and an attempt may have executed it, or its idempotency key has
//!   expired or is not known to the other endpoint (`idempotency`), or
//! - where the setting `monotonic_key_builds` is on, to an earlier build than the latest one that
//!   has answered its idempotency key or is being sent it, unless the newest build is being taken
//!   out (`key_builds`).
//!
//! A client that sends its request again makes a new request. Of idempotency keys, only the builds
//! that answered them are remembered beyond one request.

mod idempotency;
mod key_builds;
mod timeouts;

pub(crate) use idempotency::{may_attempt, may_write};
pub(crate) use key_builds::{KeyBuilds, PossibleAnswer};
pub(crate) use timeouts::{AttemptTimeouts, exceeds_time_limit};
