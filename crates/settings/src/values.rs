//! Parsers for the text of a single value.

use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Exclusive upper bound of a duration, in milliseconds. It is 317 years: longer than any plausible
/// setting or clock reading, and in microseconds still far below the maximum of a `u64`.
const DURATION_LIMIT_MS: f64 = 1e13;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// A text that cannot be parsed as a value of the expected type. Each message ends with the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// Not a number of the expected type.
    #[error("not a number: {text}")]
    NotANumber {
        /// The rejected text.
        text: String,
        /// Error of the standard library's parser.
        source: ParseNumberError,
    },
    /// Not a number of milliseconds.
    #[error("not a time: {text}")]
    NotADuration {
        /// The rejected text.
        text: String,
        /// Error of the standard library's parser.
        source: ParseFloatError,
    },
    /// Negative, not finite, or at least 10^13 ms (317 years).
    #[error("time out of range: {text}")]
    DurationOutOfRange {
        /// The rejected text.
        text: String,
    },
    /// None of the texts for true and false; see [`parse_flag`].
    #[error("not a yes or no: {text}")]
    NotAFlag {
        /// The rejected text.
        text: String,
    },
}

/// Error of the standard library's parser for numbers.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseNumberError {
    /// The text is not an integer of the expected type.
    #[error(transparent)]
    Integer(#[from] ParseIntError),
    /// The text is not a floating-point number.
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

/// Parses a boolean. `1` and `true` are true; `0`, `false` and `-`, which stands for a field
/// without a value, are false.
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
