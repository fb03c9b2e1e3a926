//! Retries: which request may be sent again (rule 2: no request is executed twice unless that is
//! harmless), when an attempt has timed out, and when a hedged request may be sent beside it.
//!
//! A request is sent to a second endpoint
//!
//! - after an attempt that was certainly not executed: refused, rejected under load, or not sent,
//! - after any other attempt that has ended, where `idempotency` allows it; after a reset
//!   connection only once a health check has shown that the request has not crashed its endpoint,
//!   or
//! - beside an attempt whose response may be lost (a hedged request), under the same rules.
//!
//! It is not while an attempt is in flight for which no hedged request is due, and never more often
//! than the settings allow. A client that sends its request again makes a new request: idempotency
//! keys are checked within one request only.

mod idempotency;
mod key_builds;
mod timeouts;

pub(crate) use idempotency::{may_attempt, may_write};
pub(crate) use key_builds::{KeyBuilds, PossibleAnswer};
pub(crate) use timeouts::{AttemptTimeouts, is_late};
