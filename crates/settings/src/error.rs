//! Why settings cannot be decoded.

use thiserror::Error;

use crate::values::ValueError;

/// A setting that is missing or unusable. Operators see the message; but for
/// [`InvalidStageCap`](SettingsError::InvalidStageCap), each one names the setting's path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Nothing is given under this path.
    #[error("a setting is missing: {path}")]
    Missing {
        /// Where it was looked for.
        path: String,
    },
    /// The text is no value of the setting's type.
    #[error("{path}: {source}")]
    InvalidValue {
        /// The setting.
        path: String,
        /// What is wrong with its text.
        source: ValueError,
    },
    /// The value is of the right type, but outside the setting's range.
    #[error("{path}: out of range: {value}")]
    OutOfRange {
        /// The setting.
        path: String,
        /// Its value.
        value: String,
    },
    /// The setting takes one of a few words, and this is none of them.
    #[error("{path}: unknown word: {word}")]
    UnknownWord {
        /// The setting.
        path: String,
        /// What it was given.
        word: String,
    },
    /// A route's idempotency is none of the known kinds.
    #[error("{path}: unknown kind {kind}")]
    UnknownIdempotency {
        /// The setting.
        path: String,
        /// What it was given.
        kind: String,
    },
    /// A route's idempotency keys have none of the known scopes.
    #[error("{path}: unknown scope {scope}")]
    UnknownKeyScope {
        /// The setting.
        path: String,
        /// What it was given.
        scope: String,
    },
    /// One of the comma-separated numbers in `family_info.stage_cap` is none. The message shows
    /// only the number.
    #[error(transparent)]
    InvalidStageCap(ValueError),
    /// With this setting, every connection attempt would time out at once.
    #[error("policy_limits.connect_timeout: zero: no connection could come up in time")]
    ZeroConnectTimeout,
}
