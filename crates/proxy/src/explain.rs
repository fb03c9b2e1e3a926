//! Verdicts out of a front's log, as a table that a release engineer can follow.

use std::collections::BTreeMap;

use comfy_table::{ContentArrangement, Table, presets};
use tidescale_policy::types::EvidenceTest;

/// Name of a test in the log.
pub fn test_name(test: EvidenceTest) -> &'static str {
    match test {
        EvidenceTest::Failures => "failures",
        EvidenceTest::Slowness => "slowness",
        EvidenceTest::Errors => "errors",
        EvidenceTest::FleetSlowdown => "whole-fleet",
    }
}

const MARK: &str = "verdict: to go back, ";

/// The names and values of a verdict's line; none of any other line.
fn values(line: &str) -> Option<BTreeMap<&str, &str>> {
    let told = line.split_once(MARK)?.1;
    Some(
        told.split(", ")
            .filter_map(|pair| pair.split_once(": "))
            .collect(),
    )
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

fn share(hits: &str, outcomes: &str) -> Option<String> {
    let (k, n): (f64, f64) = (hits.parse().ok()?, outcomes.parse().ok()?);
    Some(format!(
        "{hits} of {outcomes} ({:.1}%)",
        100.0 * k / n.max(1e-9)
    ))
}

/// A table of all verdicts in the log; none where there are none.
pub fn table(log: &str) -> Option<String> {
    let mut table = Table::new();
    table
        .load_style(presets::ASCII_MARKDOWN)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header([
        "when",
        "build",
        "stage",
        "test",
        "new build",
        "compared with",
        "score of bound",
        "what was compared",
    ]);
    let mut rows = 0;
    for line in log.lines() {
        let Some(v) = values(line) else { continue };
        let of = |name: &str| v.get(name).copied().unwrap_or("?");
        let sides = ["new", "old"].map(|side| {
            share(of(&format!("{side}_hits")), of(&format!("{side}_outcomes")))
                .unwrap_or_else(|| "?".into())
        });
        let [new, old] = sides;
        let mut what = compared(of("test")).to_string();
        if of("recalled") != "0.00" && of("recalled") != "?" {
            what += &format!("; {} outcomes from before a restart", of("recalled"));
        }
        if of("aside") != "0" && of("aside") != "?" {
            what += &format!("; {} of its machines were set aside meanwhile", of("aside"));
        }
        let when = line.split(" INFO").next().unwrap_or_default().trim();
        let score = format!("{} of {}", of("score"), of("bound"));
        table.add_row([
            when,
            of("build"),
            of("stage"),
            of("test"),
            &new,
            &old,
            &score,
            &what,
        ]);
        rows += 1;
    }
    (rows > 0).then(|| table.to_string())
}
