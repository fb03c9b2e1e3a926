//! The operators' file, a TOML file with settings for features that the platform does not
//! configure. All of these features are disabled by default.

use std::fmt;
use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use serde::{Deserialize, Deserializer, de};
use tidescale_policy::types::whole_micros;

/// Why an operators' file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum OperatorSettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is not TOML, or a field is unknown, missing or invalid.
    #[error("line {line}, `{text}`: {message}")]
    Parse {
        /// The line number, from 1.
        line: usize,
        /// The text of the line.
        text: String,
        /// The parser's message.
        message: String,
    },
    /// A value is outside its allowed range.
    #[error(
        "{field}: out of its bounds: {value} is not within {least} and {most}, see docs/operators-snapshot.md"
    )]
    OutOfBounds {
        /// The path of the field.
        field: &'static str,
        /// The value in the file.
        value: String,
        /// The smallest allowed value.
        least: String,
        /// The largest allowed value.
        most: String,
    },
    /// The path of the snapshot directory is empty.
    #[error("memory.folder: empty")]
    EmptyFolder,
}

/// The settings in the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Settings for snapshots of the state of the policy; `None` disables snapshots.
    #[serde(rename = "memory")]
    pub snapshot: Option<SnapshotSettings>,
}

/// Settings for snapshots, in the table `memory` of the file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotSettings {
    /// The directory in which snapshots are stored.
    pub folder: PathBuf,
    /// Interval between two snapshots.
    #[serde(
        rename = "every",
        default = "default_write_interval",
        deserialize_with = "duration_with_unit"
    )]
    pub write_interval: Duration,
    /// Time limit for writing the final snapshot after SIGTERM, once all responses have been sent.
    #[serde(
        rename = "stop_within",
        default = "default_final_write_timeout",
        deserialize_with = "duration_with_unit"
    )]
    pub final_write_timeout: Duration,
    /// Time per second for which collecting records may block the event loop.
    #[serde(
        rename = "time_a_second",
        default = "default_loop_time_per_second",
        deserialize_with = "duration_with_unit"
    )]
    pub loop_time_per_second: Duration,
    /// Maximum number of bytes written to disk per second.
    #[serde(
        rename = "bytes_a_second",
        default = "default_bytes_per_second",
        deserialize_with = "size_with_unit"
    )]
    pub bytes_per_second: ByteSize,
}

fn default_write_interval() -> Duration {
    Duration::from_secs(5)
}

fn default_final_write_timeout() -> Duration {
    Duration::from_millis(100)
}

fn default_loop_time_per_second() -> Duration {
    Duration::from_millis(20)
}

fn default_bytes_per_second() -> ByteSize {
    ByteSize::mib(4)
}

/// Deserializes a duration with a unit, in whole microseconds.
fn duration_with_unit<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    let duration = humantime::parse_duration(&text).map_err(|error| {
        de::Error::custom(format!(
            "`{text}` is no time with a unit, as in \"30 s\": {error}"
        ))
    })?;
    Ok(Duration::from_micros(whole_micros(duration)))
}

/// Deserializes a size with a unit.
fn size_with_unit<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ByteSize, D::Error> {
    let text = String::deserialize(deserializer)?;
    let invalid = |why: &str| {
        de::Error::custom(format!(
            "`{text}` is no size with a unit, as in \"4 MiB\": {why}"
        ))
    };
    if !text.ends_with(|last: char| last.is_ascii_alphabetic()) {
        return Err(invalid("unit missing"));
    }
    ByteSize::from_str(&text).map_err(|why| invalid(&why))
}

/// Reads and parses an operators' file.
///
/// # Errors
///
/// The file cannot be read, or [`parse`] fails.
pub fn read_file(path: &Path) -> Result<OperatorSettings, OperatorSettingsError> {
    parse(&std::fs::read_to_string(path)?)
}

/// Parses and validates the text of an operators' file.
///
/// # Errors
///
/// The text is invalid; the error names the line or the field.
pub fn parse(text: &str) -> Result<OperatorSettings, OperatorSettingsError> {
    let operators: OperatorSettings =
        toml::from_str(text).map_err(|error| parse_error(text, &error))?;
    if let Some(snapshot) = &operators.snapshot {
        check_bounds(snapshot)?;
        if snapshot.folder.as_os_str().is_empty() {
            return Err(OperatorSettingsError::EmptyFolder);
        }
    }
    Ok(operators)
}

fn parse_error(text: &str, error: &toml::de::Error) -> OperatorSettingsError {
    let before = error.span().and_then(|span| text.get(..span.start));
    let line_index = before.map_or(0, |before| before.matches('\n').count());
    OperatorSettingsError::Parse {
        line: line_index + 1,
        text: text
            .lines()
            .nth(line_index)
            .unwrap_or_default()
            .trim()
            .into(),
        message: error.message().replace('\n', " "),
    }
}

fn check_bounds(settings: &SnapshotSettings) -> Result<(), OperatorSettingsError> {
    let millis = Duration::from_millis;
    let duration = |value| humantime::format_duration(value);
    check_field(
        "memory.every",
        settings.write_interval,
        millis(100)..=Duration::from_secs(3600),
        duration,
    )?;
    check_field(
        "memory.stop_within",
        settings.final_write_timeout,
        Duration::ZERO..=Duration::from_secs(5),
        duration,
    )?;
    check_field(
        "memory.time_a_second",
        settings.loop_time_per_second,
        millis(1)..=millis(500),
        duration,
    )?;
    check_field(
        "memory.bytes_a_second",
        settings.bytes_per_second,
        ByteSize::kib(1)..=ByteSize::gib(1),
        |size| size,
    )
}

fn check_field<T: Copy + PartialOrd, D: fmt::Display>(
    field: &'static str,
    value: T,
    bounds: RangeInclusive<T>,
    display: impl Fn(T) -> D,
) -> Result<(), OperatorSettingsError> {
    if bounds.contains(&value) {
        return Ok(());
    }
    Err(OperatorSettingsError::OutOfBounds {
        field,
        value: display(value).to_string(),
        least: display(*bounds.start()).to_string(),
        most: display(*bounds.end()).to_string(),
    })
}
