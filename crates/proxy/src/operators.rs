//! The operators' file: what an installation has beyond what the platform tells. What it does not name is off.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use serde::{Deserialize, Deserializer, de};

/// A time with its unit, in whole microseconds.
fn span<'d, D: Deserializer<'d>>(d: D) -> Result<u64, D::Error> {
    let text = String::deserialize(d)?;
    let time: Duration = humantime::parse_duration(&text).map_err(|e| {
        de::Error::custom(format!(
            "`{text}` is no time with a unit, as in \"30 s\": {e}"
        ))
    })?;
    Ok(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}

/// A size with its unit, in bytes.
fn size<'d, D: Deserializer<'d>>(d: D) -> Result<u64, D::Error> {
    let text = String::deserialize(d)?;
    let fault = |e: &str| {
        de::Error::custom(format!(
            "`{text}` is no size with a unit, as in \"4 MiB\": {e}"
        ))
    };
    if !text.ends_with(|c: char| c.is_ascii_alphabetic()) {
        return Err(fault("unit missing"));
    }
    ByteSize::from_str(&text)
        .map(|s| s.as_u64())
        .map_err(|e| fault(&e))
}

const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;

/// What a front has learned is kept in a folder.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    pub folder: PathBuf,
    /// How much may be lost.
    #[serde(default = "every", deserialize_with = "span")]
    pub every: u64,
    /// At SIGTERM, once all is answered.
    #[serde(default = "stop_within", deserialize_with = "span")]
    pub stop_within: u64,
    /// Of the loop's time in a second.
    #[serde(default = "time_a_second", deserialize_with = "span")]
    pub time_a_second: u64,
    #[serde(default = "bytes_a_second", deserialize_with = "size")]
    pub bytes_a_second: u64,
}

fn every() -> u64 {
    5 * SECOND
}
fn stop_within() -> u64 {
    100 * MS
}
fn time_a_second() -> u64 {
    20 * MS
}
fn bytes_a_second() -> u64 {
    4 << 20
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    pub memory: Option<Memory>,
}

/// Of a fault the first line says where it is and what; fields are named.
pub fn read(text: &str) -> Result<Operators, String> {
    let operators: Operators = toml::from_str(text).map_err(|e| {
        let line = e
            .span()
            .map_or(0, |s| text[..s.start].matches('\n').count());
        let told = text.lines().nth(line).unwrap_or_default().trim();
        format!(
            "line {}, `{told}`: {}",
            line + 1,
            e.message().replace('\n', " ")
        )
    })?;
    if let Some(m) = &operators.memory {
        let bounds = [
            ("every", m.every, 100 * MS, 3600 * SECOND),
            ("stop_within", m.stop_within, 0, 5 * SECOND),
            ("time_a_second", m.time_a_second, MS, 500 * MS),
            ("bytes_a_second", m.bytes_a_second, 1 << 10, 1 << 30),
        ];
        for (name, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return Err(format!(
                    "memory.{name}: out of its bounds, see docs/operators-memory.md"
                ));
            }
        }
        if m.folder.as_os_str().is_empty() {
            return Err("memory.folder: empty".into());
        }
    }
    Ok(operators)
}
