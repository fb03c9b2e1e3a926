//! Why settings cannot be decoded.

use thiserror::Error;

use crate::values::ValueError;

/// A setting that is missing or unusable. Operators see the message; each names the setting's path,
/// except [`InvalidStageCap`](SettingsError::InvalidStageCap).
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is no setting under this path.
    #[error("a setting is missing: {path}")]
    Missing {
        /// The path.
        path: String,
    },
    /// The text is not a value of the setting's type.
    #[error("{path}: {source}")]
    InvalidValue {
        /// The setting.
        path: String,
        /// Why its text is not a value.
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
    /// The setting takes one of a few words, and this is not one of them.
    #[error("{path}: unknown word: {word}")]
    UnknownWord {
        /// The setting.
        path: String,
        /// The unknown word.
        word: String,
    },
    /// A route's idempotency is of an unknown kind.
    #[error("{path}: unknown kind {kind}")]
    UnknownIdempotency {
        /// The setting.
        path: String,
        /// The unknown kind.
        kind: String,
    },
    /// A route's idempotency keys have an unknown scope.
    #[error("{path}: unknown scope {scope}")]
    UnknownKeyScope {
        /// The setting.
        path: String,
        /// The unknown scope.
        scope: String,
    },
    /// One of the comma-separated values in `family_info.stage_cap` is not a number. The message
    /// shows only this value.
    #[error(transparent)]
    InvalidStageCap(ValueError),
    /// With this setting, every connection attempt would time out immediately.
    #[error("policy_limits.connect_timeout: zero: no connection could come up in time")]
    ZeroConnectTimeout,
}
