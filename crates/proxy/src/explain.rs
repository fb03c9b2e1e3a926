//! Formats the rollback verdicts in the log of a proxy as a table for release engineers.
//!
//! Parses the log lines of this release and of earlier releases, which use a different message and
//! different keys.

use std::collections::BTreeMap;

use comfy_table::{ContentArrangement, Table, presets};

/// Printed in place of a value that the line lacks, for example because the line was truncated.
const UNKNOWN: &str = "?";
/// Lower bound of the divisor of the failure percentage; avoids a division by zero if there are no
/// outcomes.
const MIN_OUTCOMES: f64 = 1e-9;
const COLUMN_NAMES: [&str; 8] = [
    "time",
    "build",
    "stage",
    "test",
    "candidate failures",
    "baseline failures",
    "score / bound",
    "explanation",
];

/// The message and the keys with which a release logs a verdict. All releases use the same keys for
/// build, stage, test, score and bound, so these are not listed here.
struct LineFormat {
    /// The message and the separator before the first key.
    message: &'static str,
    candidate_failures: &'static str,
    candidate_outcomes: &'static str,
    baseline_failures: &'static str,
    baseline_outcomes: &'static str,
    restored_outcomes: &'static str,
    ejected_endpoints: &'static str,
}

/// The format of [`rollback_verdict`](crate::log_lines::rollback_verdict).
const CURRENT_FORMAT: LineFormat = LineFormat {
    message: "rollback verdict, ",
    candidate_failures: "candidate_failures",
    candidate_outcomes: "candidate_outcomes",
    baseline_failures: "baseline_failures",
    baseline_outcomes: "baseline_outcomes",
    restored_outcomes: "restored_outcomes",
    ejected_endpoints: "ejected_endpoints",
};

/// The format of earlier releases.
const EARLIER_FORMAT: LineFormat = LineFormat {
    message: "verdict: to go back, ",
    candidate_failures: "new_hits",
    candidate_outcomes: "new_outcomes",
    baseline_failures: "old_hits",
    baseline_outcomes: "old_outcomes",
    restored_outcomes: "recalled",
    ejected_endpoints: "aside",
};

/// Formats all verdicts in the log as a table; `None` if there are none.
pub fn table(log: &str) -> Option<String> {
    let mut table = Table::new();
    table
        .load_style(presets::ASCII_MARKDOWN)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(COLUMN_NAMES);
    let verdicts: Vec<VerdictLine> = log.lines().filter_map(VerdictLine::parse).collect();
    for verdict in &verdicts {
        table.add_row(verdict.row());
    }
    (!verdicts.is_empty()).then(|| table.to_string())
}

/// A parsed log line that reports a verdict.
struct VerdictLine<'a> {
    format: &'static LineFormat,
    logged_at: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> VerdictLine<'a> {
    /// Parses a log line; `None` if it does not report a verdict.
    fn parse(line: &'a str) -> Option<VerdictLine<'a>> {
        [&CURRENT_FORMAT, &EARLIER_FORMAT]
            .into_iter()
            .find_map(|format| VerdictLine::parse_as(line, format))
    }

    fn parse_as(line: &'a str, format: &'static LineFormat) -> Option<VerdictLine<'a>> {
        let (_, pairs) = line.split_once(format.message)?;
        let logged_at = line.split(" INFO").next().unwrap_or_default();
        Some(VerdictLine {
            format,
            logged_at: logged_at.trim(),
            values: pairs
                .split(", ")
                .filter_map(|pair| pair.split_once(": "))
                .collect(),
        })
    }

    fn value(&self, key: &str) -> &'a str {
        self.values.get(key).copied().unwrap_or(UNKNOWN)
    }

    fn row(&self) -> [String; COLUMN_NAMES.len()] {
        let format = self.format;
        [
            self.logged_at.into(),
            self.value("build").into(),
            self.value("stage").into(),
            self.value("test").into(),
            self.failure_share(format.candidate_failures, format.candidate_outcomes),
            self.failure_share(format.baseline_failures, format.baseline_outcomes),
            format!("{} / {}", self.value("score"), self.value("bound")),
            self.explanation(),
        ]
    }

    fn failure_share(&self, failures_key: &str, outcomes_key: &str) -> String {
        let failures = self.value(failures_key);
        let outcomes = self.value(outcomes_key);
        let (Ok(failure_count), Ok(outcome_count)) =
            (failures.parse::<f64>(), outcomes.parse::<f64>())
        else {
            return UNKNOWN.into();
        };
        let percentage = 100.0 * failure_count / outcome_count.max(MIN_OUTCOMES);
        format!("{failures} of {outcomes} ({percentage:.1}%)")
    }

    fn explanation(&self) -> String {
        let mut text = describe_test(self.value("test")).to_string();
        let restored = self.value(self.format.restored_outcomes);
        if restored != "0.00" && restored != UNKNOWN {
            text += &format!("; {restored} outcomes restored from before a restart");
        }
        let ejected = self.value(self.format.ejected_endpoints);
        if ejected != "0" && ejected != UNKNOWN {
            text += &format!("; ejected endpoints of the candidate: {ejected}");
        }
        text
    }
}

/// Describes what a test compares. `test` is its name in the log.
fn describe_test(test: &str) -> &'static str {
    match test {
        "failures" => {
            "errors, timeouts, resets, malformed and very late responses, against the baseline build at the same time"
        }
        "slowness" => {
            "responses slower than twice the baseline latency for that hardware class and load, against the baseline build"
        }
        "errors" => "errors alone, also against the time before the rollout",
        // Earlier releases log this test as `whole-fleet`.
        "fleet_slowdown" | "whole-fleet" => {
            "slow responses of the whole fleet, against the fleet before the rollout"
        }
        _ => "unknown test",
    }
}
