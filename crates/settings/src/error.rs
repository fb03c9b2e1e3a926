//! Errors in the decoding of settings.

use thiserror::Error;

use crate::values::ValueError;

/// A setting that is missing or invalid. The messages are shown to operators. Each names the
/// setting's path, except that of [`InvalidStageCap`](SettingsError::InvalidStageCap).
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is no setting under this path.
    #[error("a setting is missing: {path}")]
    Missing {
        /// Path of the setting.
        path: String,
    },
    /// The text cannot be parsed as the setting's type.
    #[error("{path}: {source}")]
    InvalidValue {
        /// Path of the setting.
        path: String,
        /// Why the text cannot be parsed.
        source: ValueError,
    },
    /// The value is of the right type, but outside the setting's range.
    #[error("{path}: out of range: {value}")]
    OutOfRange {
        /// Path of the setting.
        path: String,
        /// The value, or all items of a list.
        value: String,
    },
    /// The setting accepts a fixed set of words, and its text is not one of them.
    #[error("{path}: unknown word: {word}")]
    UnknownWord {
        /// Path of the setting.
        path: String,
        /// The unknown word.
        word: String,
    },
    /// A route has an unknown kind of idempotency.
    #[error("{path}: unknown kind {kind}")]
    UnknownIdempotency {
        /// Path of the setting.
        path: String,
        /// The unknown kind.
        kind: String,
    },
    /// A route's idempotency keys have an unknown scope.
    #[error("{path}: unknown scope {scope}")]
    UnknownKeyScope {
        /// Path of the setting.
        path: String,
        /// The unknown scope.
        scope: String,
    },
    /// One of the comma-separated items of `family_info.stage_cap` is not a number. The message
    /// shows only this item, not the path.
    #[error(transparent)]
    InvalidStageCap(ValueError),
    /// The connect timeout is zero, so every connection attempt would time out immediately.
    #[error("policy_limits.connect_timeout: zero: no connection could come up in time")]
    ZeroConnectTimeout,
}
