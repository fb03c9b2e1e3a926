//! Conversion of durations to the numbers in tables, charts and rows.

use std::time::Duration;

/// Seconds of a duration, in whole microseconds.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1e6
}

/// Milliseconds of a duration.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
