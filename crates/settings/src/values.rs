//! Parses the text of a single value, for any setting.

use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Durations in milliseconds must be shorter than this: 317 years, which is longer than any
/// sensible setting or clock, and whose microseconds are far below the limit of a `u64`.
const DURATION_LIMIT_MS: f64 = 1e13;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// Why a text is not a value of the expected type. Each message ends with the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// Not a number of the expected type.
    #[error("not a number: {text}")]
    NotANumber {
        /// The text.
        text: String,
        /// Why it is not a number.
        source: ParseNumberError,
    },
    /// Not a number of milliseconds.
    #[error("not a time: {text}")]
    NotADuration {
        /// The text.
        text: String,
        /// Why it is not a number.
        source: ParseFloatError,
    },
    /// Negative, not finite, or longer than any sensible duration.
    #[error("time out of range: {text}")]
    DurationOutOfRange {
        /// The text.
        text: String,
    },
    /// None of the words for true and false.
    #[error("not a yes or no: {text}")]
    NotAFlag {
        /// The text.
        text: String,
    },
}

/// The standard library's reason why a text is not a number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseNumberError {
    /// Not an integer of the expected type.
    #[error(transparent)]
    Integer(#[from] ParseIntError),
    /// Not a floating-point number.
    #[error(transparent)]
    Float(#[from] ParseFloatError),
}

/// Parses a number of milliseconds, which may have decimals, and rounds it to whole microseconds.
///
/// # Errors
///
/// [`ValueError::NotADuration`] or [`ValueError::DurationOutOfRange`].
pub fn parse_duration(text: &str) -> Result<Duration, ValueError> {
    let milliseconds: f64 = text.parse().map_err(|source| ValueError::NotADuration {
        text: text.to_string(),
        source,
    })?;
    if !(0.0..DURATION_LIMIT_MS).contains(&milliseconds) {
        return Err(ValueError::DurationOutOfRange {
            text: text.to_string(),
        });
    }
    let micros = (milliseconds * MICROS_PER_MS).round() as u64;
    Ok(Duration::from_micros(micros))
}

/// Parses an integer or a floating-point number, limited only by the range of its type.
///
/// # Errors
///
/// [`ValueError::NotANumber`].
pub fn parse_number<T: FromStr>(text: &str) -> Result<T, ValueError>
where
    ParseNumberError: From<T::Err>,
{
    text.parse().map_err(|error| ValueError::NotANumber {
        text: text.to_string(),
        source: ParseNumberError::from(error),
    })
}

/// Parses a boolean: `1` or `true`; `0`, `false`, or `-` for a field without a value.
///
/// # Errors
///
/// [`ValueError::NotAFlag`].
pub fn parse_flag(text: &str) -> Result<bool, ValueError> {
    match text {
        "1" | "true" => Ok(true),
        "0" | "false" | "-" => Ok(false),
        _ => Err(ValueError::NotAFlag {
            text: text.to_string(),
        }),
    }
}
