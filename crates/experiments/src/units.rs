//! Conversion of durations to numbers for tables, charts and Parquet files.

use std::time::Duration;

/// Converts a duration to seconds, truncated to whole microseconds.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1e6
}

/// Converts a duration to milliseconds.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
