//! Parses the text of a single value, without knowing which setting it belongs to.

use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// The first count of milliseconds that is out of range: 317 years, longer than any sensible
/// setting or clock, and in microseconds still far from the end of a `u64`.
const DURATION_LIMIT_MS: f64 = 1e13;

const MICROS_PER_MS: f64 = 1000.0;

/// Why a text is no value of the wanted type. Each message ends with the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// Not a number of the wanted type.
    #[error("not a number: {text}")]
    NotANumber {
        /// What was read.
        text: String,
        /// Why it is none.
        source: ParseNumberError,
    },
    /// Not a number of milliseconds.
    #[error("not a time: {text}")]
    NotADuration {
        /// What was read.
        text: String,
        /// Why it is none.
        source: ParseFloatError,
    },
    /// Negative, not finite, or longer than any sensible time.
    #[error("time out of range: {text}")]
    DurationOutOfRange {
        /// What was read.
        text: String,
    },
    /// None of the words for yes and no.
    #[error("not a yes or no: {text}")]
    NotAFlag {
        /// What was read.
        text: String,
    },
}

/// The standard library's reason why a text is no number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseNumberError {
    /// No integer of the wanted size.
    #[error(transparent)]
    Integer(#[from] ParseIntError),
    /// No floating-point number.
    #[error(transparent)]
    Float(#[from] ParseFloatError),
}

/// Parses milliseconds, with decimals if need be, and rounds them to whole microseconds.
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

/// Parses an integer or a floating-point number; what the type itself can hold is the only bound.
///
/// # Errors
///
/// [`ValueError::NotANumber`].
pub fn parse_number<T>(text: &str) -> Result<T, ValueError>
where
    T: FromStr,
    ParseNumberError: From<T::Err>,
{
    text.parse().map_err(|error| ValueError::NotANumber {
        text: text.to_string(),
        source: ParseNumberError::from(error),
    })
}

/// Parses a yes (`1`, `true`) or a no (`0`, `false`, or `-` for a value left out).
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
