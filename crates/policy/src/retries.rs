//! Retries: which request may be sent again (rule 2: no request is executed twice unless that is
//! harmless), when an attempt has timed out, and when a hedged request may be sent beside it.

mod idempotency;
mod key_builds;
mod timeouts;

pub(crate) use idempotency::{may_attempt, may_write};
pub(crate) use key_builds::{KeyBuilds, PossibleAnswer};
pub(crate) use timeouts::{AttemptTimeouts, is_late};
