//! Parser for the load reports that endpoints send with their responses. No I/O.

use tidescale_policy::types::LoadReport;

/// Maximum number of requests in a load report. Larger counts are invalid: no endpoint can have
/// that many requests.
const MAX_REQUEST_COUNT: f64 = 1e6;

/// Parses a load report: comma-separated `name=value` pairs, of which unknown names are ignored.
/// Returns `None` if a pair has no `=` or a known value is invalid.
pub fn parse(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name.trim() {
            "inflight" => report.in_flight = Some(parse_count(value)?),
            "queue" => report.queued = Some(parse_count(value)?),
            _ => {}
        }
    }
    Some(report)
}

fn parse_count(text: &str) -> Option<f64> {
    let count = text.trim().parse().ok()?;
    (0.0..=MAX_REQUEST_COUNT).contains(&count).then_some(count)
}
