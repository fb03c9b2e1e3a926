//! The table that `tidescale explain` prints for the verdicts in a log.

use tidescale_policy::types::{EvidenceTest, RollbackVerdict};
use tidescale_proxy::{explain, log_lines};

use crate::capture::{capture, printed_line};
use crate::cases::verdict;

/// A verdict in the log format of an earlier release.
const EARLIER_LINE: &str = "Dec 01 18:01:02.003 INFO verdict: to go back, aside: 2, beta: 0.2, \
    alpha: 0.05, bound: 2.77, score: 2.90, recalled: 0.00, old_outcomes: 60.00, old_hits: 1.50, \
    new_outcomes: 20.00, new_hits: 5.00, test: whole-fleet, stage: 0, build: 41";

/// The non-empty cells of a row of the table.
fn cells(row: &str) -> Vec<String> {
    row.split('|')
        .map(|cell| cell.trim().to_string())
        .filter(|cell| !cell.is_empty())
        .collect()
}

/// The rows below the header that `explain` prints for a log.
fn explained_rows(log: &str) -> Vec<Vec<String>> {
    let table = explain::table(log).unwrap();
    table.lines().skip(2).map(cells).collect()
}

/// The explanation of the test `fleet_slowdown`, which earlier releases called `whole-fleet`.
const FLEET_SLOWDOWN_EXPLANATION: &str =
    "slow responses of the whole fleet, against the fleet before the rollout";

#[test]
fn explain_reads_verdicts_of_this_release_and_of_earlier_ones() {
    let current_line = printed_line(&capture(|log| {
        log_lines::rollback_verdict(log, &verdict());
    }));
    let other_line = printed_line(&capture(|log| log_lines::invalid_load_report(log, "s-0")));

    let log = [EARLIER_LINE, &other_line, &current_line].join("\n");
    let rows = explained_rows(&log);

    let earlier = [
        "Dec 01 18:01:02.003",
        "41",
        "0",
        "whole-fleet",
        "5.00 of 20.00 (25.0%)",
        "1.50 of 60.00 (2.5%)",
        "2.90 / 2.77",
        &format!("{FLEET_SLOWDOWN_EXPLANATION}; ejected endpoints of the candidate: 2"),
    ];
    let current = [
        "Dec 01 19:12:52.618",
        "42",
        "1",
        "fleet_slowdown",
        "3.00 of 27.90 (10.8%)",
        "0.00 of 71.80 (0.0%)",
        "3.10 / 2.77",
        &format!(
            "{FLEET_SLOWDOWN_EXPLANATION}; 4.00 outcomes restored from before a restart; \
             ejected endpoints of the candidate: 1"
        ),
    ];
    assert_eq!(rows, [earlier, current]);
}

#[test]
fn explain_describes_each_test_by_its_name_in_the_log() {
    for test in EvidenceTest::ALL {
        let verdict = RollbackVerdict { test, ..verdict() };
        let line = printed_line(&capture(|log| log_lines::rollback_verdict(log, &verdict)));
        let table = explain::table(&line).unwrap();
        assert!(!table.contains("unknown test"), "{table}");
    }
}

#[test]
fn explain_shows_a_placeholder_for_values_missing_from_a_truncated_line() {
    for line in [
        "x INFO rollback verdict, build: 42",
        "x INFO verdict: to go back, build: 42",
    ] {
        let table = explain::table(line).unwrap();
        assert!(table.contains("42") && table.contains('?'), "{table}");
    }
}

#[test]
fn explain_shows_a_verdict_of_an_earlier_release_and_skips_other_lines() {
    let verdict_line = "Dec 01 19:12:52.618 INFO verdict: to go back, aside: 1, beta: 0.2, \
        alpha: 0.05, bound: 2.77, score: 3.10, recalled: 4.00, old_outcomes: 71.80, \
        old_hits: 0.00, new_outcomes: 27.90, new_hits: 3.00, test: errors, stage: 1, build: 42";
    let other_line = "Dec 01 19:12:52.317 INFO serving, listen: 127.0.0.1:1";

    let table = explain::table(&format!("{other_line}\n{verdict_line}\n")).unwrap();

    for part in [
        "| 42 ",
        "3.00 of 27.90 (10.8%)",
        "3.10 / 2.77",
        "errors alone",
        "4.00 outcomes restored from before a restart",
        "ejected endpoints of the candidate: 1",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
    assert_eq!(table.lines().count(), 3, "{table}");
}

#[test]
fn explain_prints_no_table_for_a_log_without_verdicts() {
    let vote_line = "Dec 01 19:12:52.317 INFO vote, verdict: Back, stage: 1, build: 42";

    assert_eq!(explain::table(vote_line), None);
}
