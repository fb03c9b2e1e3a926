//! Splits a line into its fields and parses the types of fields that several messages share.
//!
//! Fields are separated by exactly one space. The first is the message's name. `-` stands for a
//! missing value.

use tidescale_policy::types::{AttemptOutcome, LoadReport};
use tidescale_settings::parse_number;

use crate::error::AdapterError;

/// Returns the first field of a line, which may be empty.
pub fn message_name(line: &str) -> &str {
    line.split(' ').next().unwrap_or_default()
}

/// Returns the fields after the message's name, of which there must be exactly `COUNT`.
pub fn fields<const COUNT: usize>(line: &str) -> Result<[&str; COUNT], AdapterError> {
    let mut remaining = line.split(' ').skip(1);
    let mut fields = [""; COUNT];
    for field in &mut fields {
        *field = remaining.next().ok_or_else(|| AdapterError::TooFewValues {
            line: line.to_string(),
        })?;
    }
    if remaining.next().is_some() {
        return Err(AdapterError::TooManyValues {
            line: line.to_string(),
        });
    }
    Ok(fields)
}

/// Returns the field's text; `None` for `-`, which stands for a missing value.
pub fn optional_field(text: &str) -> Option<&str> {
    (text != "-").then_some(text)
}

/// Parses the outcome of an attempt or a health check.
pub fn parse_outcome(text: &str) -> Result<AttemptOutcome, AdapterError> {
    match text {
        "done" => Ok(AttemptOutcome::Succeeded),
        "err" => Ok(AttemptOutcome::Failed),
        "busy" => Ok(AttemptOutcome::Overloaded),
        "etimedout" => Ok(AttemptOutcome::TimedOut),
        "econnrefused" => Ok(AttemptOutcome::Refused),
        "econnreset" => Ok(AttemptOutcome::ConnectionReset),
        "ecanceled" => Ok(AttemptOutcome::Cancelled),
        "skipped" => Ok(AttemptOutcome::NotSent),
        unknown => Err(AdapterError::UnknownOutcome {
            text: unknown.to_string(),
        }),
    }
}

/// Parses an endpoint's load report, `NAME:VALUE,NAME:VALUE…`; `None` for `-`. Values that the
/// policy does not use are checked to be numbers and ignored.
pub fn parse_load_report(text: &str) -> Result<Option<LoadReport>, AdapterError> {
    let Some(text) = optional_field(text) else {
        return Ok(None);
    };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(AdapterError::MalformedLoadReport {
                text: text.to_string(),
            });
        };
        let value: f64 = parse_number(value)?;
        match name {
            "inflight" => report.in_flight = Some(value),
            "queue" => report.queued = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}
