//! Rollback verdicts out of a proxy's log, as a table that a release engineer can follow.
//!
//! The line's text, its keys and its names of tests are those of every release so far: older logs stay readable.

use std::collections::BTreeMap;

use comfy_table::{ContentArrangement, Table, presets};
use tidescale_policy::types::EvidenceTest;

/// What a verdict's line says before its values.
const VERDICT_MARK: &str = "verdict: to go back, ";
/// Stands for what a line does not say, as one that was cut off.
const UNKNOWN: &str = "?";
const HEADER: [&str; 8] = [
    "when",
    "build",
    "stage",
    "test",
    "new build",
    "compared with",
    "score of bound",
    "what was compared",
];

/// Name of a test in the log.
pub fn test_name(test: EvidenceTest) -> &'static str {
    match test {
        EvidenceTest::Failures => "failures",
        EvidenceTest::Slowness => "slowness",
        EvidenceTest::Errors => "errors",
        EvidenceTest::FleetSlowdown => "whole-fleet",
    }
}

/// A table of all verdicts in the log; none where there are none.
pub fn table(log: &str) -> Option<String> {
    let mut table = Table::new();
    table
        .load_style(presets::ASCII_MARKDOWN)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(HEADER);
    let verdicts: Vec<VerdictLine> = log.lines().filter_map(VerdictLine::parse).collect();
    for verdict in &verdicts {
        table.add_row(verdict.row());
    }
    (!verdicts.is_empty()).then(|| table.to_string())
}

/// A verdict's line of the log.
struct VerdictLine<'a> {
    logged_at: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> VerdictLine<'a> {
    /// None of any other line.
    fn parse(line: &'a str) -> Option<VerdictLine<'a>> {
        let (_, pairs) = line.split_once(VERDICT_MARK)?;
        let logged_at = line.split(" INFO").next().unwrap_or_default();
        Some(VerdictLine {
            logged_at: logged_at.trim(),
            values: pairs
                .split(", ")
                .filter_map(|pair| pair.split_once(": "))
                .collect(),
        })
    }

    fn value(&self, name: &str) -> &'a str {
        self.values.get(name).copied().unwrap_or(UNKNOWN)
    }

    fn row(&self) -> [String; HEADER.len()] {
        [
            self.logged_at.into(),
            self.value("build").into(),
            self.value("stage").into(),
            self.value("test").into(),
            self.failure_share("new_hits", "new_outcomes"),
            self.failure_share("old_hits", "old_outcomes"),
            format!("{} of {}", self.value("score"), self.value("bound")),
            self.comparison(),
        ]
    }

    fn failure_share(&self, failures: &str, outcomes: &str) -> String {
        let failures = self.value(failures);
        let outcomes = self.value(outcomes);
        let (Ok(failure_count), Ok(outcome_count)) =
            (failures.parse::<f64>(), outcomes.parse::<f64>())
        else {
            return UNKNOWN.into();
        };
        let percentage = 100.0 * failure_count / outcome_count.max(1e-9);
        format!("{failures} of {outcomes} ({percentage:.1}%)")
    }

    fn comparison(&self) -> String {
        let mut text = compared(self.value("test")).to_string();
        let restored = self.value("recalled");
        if restored != "0.00" && restored != UNKNOWN {
            text += &format!("; {restored} outcomes from before a restart");
        }
        let ejected = self.value("aside");
        if ejected != "0" && ejected != UNKNOWN {
            text += &format!("; {ejected} of its machines were set aside meanwhile");
        }
        text
    }
}

/// What the test compares, in words.
fn compared(test: &str) -> &'static str {
    match test {
        "failures" => {
            "errors, time-outs, resets, wrong and very late answers, against the earlier build at the same time"
        }
        "slowness" => {
            "answers over twice the usual time for such a machine and load, against the earlier build"
        }
        "errors" => "errors alone, also against the time before",
        "whole-fleet" => "slow answers of all machines, against the fleet before the trial",
        _ => "a test that this program does not know",
    }
}
