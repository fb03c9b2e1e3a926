//! The messages and keys of all log lines, which operators filter by, and how `tidescale explain` reads verdicts.

use std::fmt::{self, Arguments};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use tidescale_policy::types::{
    Ballot, BuildNumber, EvidenceTest, FailureShare, RollbackVerdict, StageIndex, Vote, VoteResult,
};
use tidescale_proxy::context::Component;
use tidescale_proxy::explain;
use tidescale_proxy::log_lines::{self, AddressChanges, RestoredSnapshot};
use tidescale_proxy::postgres::ErrorResponse;

/// The page that explains the log lines to operators, and that of the snapshot.
const ON_CALL_PAGE: &str = include_str!("../../../docs/on-call.md");
/// Every file that may log; each line has to be in `log_lines.rs`.
const SOURCE_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

/// A captured line: its level, and its message and key-value pairs as the log prints them.
#[derive(Debug, PartialEq, Eq)]
struct Line {
    level: Level,
    text: String,
}

/// Captures lines in place of printing them.
#[derive(Clone, Default)]
struct CapturingDrain(Arc<Mutex<Vec<Line>>>);

impl Drain for CapturingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut pairs = Pairs::default();
        record.kv().serialize(record, &mut pairs).unwrap();
        let mut text = record.msg().to_string();
        // The pairs are visited from the last one to the first, as the log prints them.
        for (key, value) in pairs.0.iter().rev() {
            text += &format!(", {key}: {value}");
        }
        self.0.lock().unwrap().push(Line {
            level: record.level(),
            text,
        });
        Ok(())
    }
}

#[derive(Default)]
struct Pairs(Vec<(String, String)>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments) -> slog::Result {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// The one line that a function logs.
fn capture(log_line: impl FnOnce(&Logger)) -> Line {
    let drain = CapturingDrain::default();
    log_line(&Logger::root(drain.clone(), o!()));
    let mut lines = drain.0.lock().unwrap();
    assert_eq!(lines.len(), 1);
    lines.pop().unwrap()
}

/// Any error.
struct AnyError;

impl fmt::Display for AnyError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("reason")
    }
}

fn verdict() -> RollbackVerdict {
    RollbackVerdict {
        build: BuildNumber::new(42),
        stage: StageIndex::new(1),
        test: EvidenceTest::FleetSlowdown,
        candidate: FailureShare {
            failures: 3.0,
            outcomes: 27.9,
        },
        baseline: FailureShare {
            failures: 0.0,
            outcomes: 71.8,
        },
        restored_outcomes: 4.0,
        score: 3.1,
        bound: 2.7726,
        alpha: 0.05,
        beta: 0.2,
        ejected_endpoints: 1,
    }
}

/// A function that logs one line, and the line in the order of its keys in the source.
type Case = (fn(&Logger), Level, &'static str);

const PROCESS_CASES: [Case; 8] = [
    (
        |log| log_lines::serving(log, "127.0.0.1:6432".parse().unwrap()),
        Level::Info,
        "serving, listen: 127.0.0.1:6432",
    ),
    (
        |log| log_lines::stopping(log, 7),
        Level::Info,
        "stopping, open_requests: 7",
    ),
    (
        |log| log_lines::stopped(log, Duration::from_millis(3)),
        Level::Info,
        "stopped, longest_turn_us: 3000",
    ),
    (
        |log| log_lines::event_loop_delayed(log, Duration::from_millis(60)),
        Level::Warning,
        "event loop delayed, delay_ms: 60",
    ),
    (
        |log| log_lines::handler_panicked(log, Component::Client),
        Level::Error,
        "handler panicked, component: Client",
    ),
    (
        |log| log_lines::cleanup_panicked(log, Component::Endpoint),
        Level::Error,
        "cleanup panicked, component: Endpoint",
    ),
    (
        |log| {
            let changes = AddressChanges {
                discovery: true,
                platform: false,
            };
            log_lines::configuration_reloaded(log, changes);
        },
        Level::Info,
        "configuration reloaded, discovery_changed: true, platform_changed: false",
    ),
    (
        |log| log_lines::configuration_rejected(log, &"first\nsecond"),
        Level::Warning,
        "configuration rejected, error: first second",
    ),
];

const CONTROL_CASES: [Case; 7] = [
    (
        |log| log_lines::rollback_verdict(log, &verdict()),
        Level::Info,
        "rollback verdict, build: 42, stage: 1, test: fleet_slowdown, candidate_failures: 3.00, \
         candidate_outcomes: 27.90, baseline_failures: 0.00, baseline_outcomes: 71.80, \
         restored_outcomes: 4.00, score: 3.10, bound: 2.77, alpha: 0.05, beta: 0.2, \
         ejected_endpoints: 1",
    ),
    (
        |log| {
            let ballot = Ballot {
                build: BuildNumber::new(42),
                stage: StageIndex::new(1),
                vote: Vote::RollBack,
            };
            log_lines::vote_cast(log, ballot);
        },
        Level::Info,
        "vote cast, build: 42, stage: 1, vote: RollBack",
    ),
    (
        |log| log_lines::vote_not_counted(log, VoteResult::Busy),
        Level::Info,
        "vote not counted, result: Busy",
    ),
    (
        |log| log_lines::invalid_vote_response(log, 404),
        Level::Info,
        "invalid vote response, status: 404",
    ),
    (
        |log| log_lines::platform_connection_failed(log, &AnyError),
        Level::Info,
        "platform connection failed, error: reason",
    ),
    (
        |log| {
            let backoff = Duration::from_millis(100);
            log_lines::stream_ended(log, Component::EndpointList, &AnyError, backoff);
        },
        Level::Info,
        "stream ended, component: EndpointList, error: reason, reconnect_ms: 100",
    ),
    (
        |log| log_lines::stale_endpoint_list_ignored(log, 40, 41),
        Level::Info,
        "stale endpoint list ignored, version: 40, current_version: 41",
    ),
];

const ENDPOINT_CASES: [Case; 6] = [
    (
        |log| log_lines::endpoint_connection_failed(log, "s-0", &AnyError),
        Level::Info,
        "endpoint connection failed, endpoint: s-0, error: reason",
    ),
    (
        |log| log_lines::endpoint_connection_limit_reached(log, "s-0"),
        Level::Info,
        "endpoint connection limit reached, endpoint: s-0",
    ),
    (
        |log| log_lines::exchange_failed(log, "s-0", &AnyError),
        Level::Info,
        "exchange failed, endpoint: s-0, error: reason",
    ),
    (
        |log| log_lines::invalid_endpoint_message(log, "s-0", &AnyError),
        Level::Info,
        "invalid endpoint message, endpoint: s-0, error: reason",
    ),
    (
        |log| {
            let error = ErrorResponse {
                code: "40001".into(),
                message: "x".repeat(201),
            };
            log_lines::unknown_endpoint_error(log, "s-0", &error);
        },
        Level::Info,
        concat!(
            "unknown endpoint error, endpoint: s-0, sqlstate: 40001, error: ",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
        ),
    ),
    (
        |log| log_lines::invalid_load_report(log, "s-0"),
        Level::Info,
        "invalid load report, endpoint: s-0",
    ),
];

const CLIENT_CASES: [Case; 6] = [
    (
        |log| log_lines::accept_failed(log, &AnyError),
        Level::Warning,
        "accept failed, error: reason",
    ),
    (
        |log| log_lines::client_registration_failed(log, &AnyError),
        Level::Warning,
        "client registration failed, error: reason",
    ),
    (
        |log| log_lines::invalid_client_message(log, &AnyError),
        Level::Info,
        "invalid client message, error: reason",
    ),
    (
        log_lines::client_message_timed_out,
        Level::Info,
        "client message timed out",
    ),
    (
        log_lines::client_buffers_exhausted,
        Level::Info,
        "client buffers exhausted",
    ),
    (
        |log| log_lines::statement_rejected(log, &AnyError),
        Level::Info,
        "statement rejected, error: reason",
    ),
];

const SNAPSHOT_CASES: [Case; 6] = [
    (
        |log| log_lines::snapshots_disabled(log, Path::new("/snapshots"), &AnyError),
        Level::Warning,
        "snapshots disabled, folder: /snapshots, error: reason",
    ),
    (
        |log| log_lines::snapshot_file_quarantined(log, &"memory.0: torn"),
        Level::Warning,
        "snapshot file quarantined, file: memory.0: torn",
    ),
    (
        |log| {
            let snapshot = RestoredSnapshot {
                records: 9,
                restored: 4,
                age: Duration::from_secs(12),
            };
            log_lines::snapshot_restored(log, snapshot);
        },
        Level::Info,
        "snapshot restored, records: 9, restored: 4, age_s: 12",
    ),
    (
        |log| log_lines::snapshot_write_failed(log, &AnyError),
        Level::Warning,
        "snapshot write failed, error: reason",
    ),
    (
        |log| log_lines::final_snapshot_written(log, Duration::from_micros(250)),
        Level::Info,
        "final snapshot written, longest_slice_us: 250",
    ),
    (
        log_lines::final_snapshot_timed_out,
        Level::Warning,
        "final snapshot timed out",
    ),
];

fn all_cases() -> impl Iterator<Item = &'static Case> {
    PROCESS_CASES
        .iter()
        .chain(&CONTROL_CASES)
        .chain(&ENDPOINT_CASES)
        .chain(&CLIENT_CASES)
        .chain(&SNAPSHOT_CASES)
}

#[test]
fn each_log_line_has_its_level_message_and_keys() {
    for (log_line, level, text) in all_cases() {
        let expected = Line {
            level: *level,
            text: (*text).into(),
        };
        assert_eq!(capture(log_line), expected);
    }
}

#[test]
fn each_function_that_logs_has_a_case_here() {
    let source = std::fs::read_to_string(format!("{SOURCE_DIRECTORY}/log_lines.rs")).unwrap();
    let is_logging = |line: &&str| {
        let call = line.trim_start();
        ["info!(", "warn!(", "error!("]
            .iter()
            .any(|call_start| call.starts_with(call_start))
    };
    assert_eq!(
        source.lines().filter(is_logging).count(),
        all_cases().count()
    );
}

#[test]
fn no_other_file_logs_from_level_info_up() {
    let mut directories = vec![Path::new(SOURCE_DIRECTORY).to_path_buf()];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                directories.push(path);
            } else if !path.ends_with("log_lines.rs") {
                let source = std::fs::read_to_string(&path).unwrap();
                for call in ["info!(", "warn!(", "error!(", "crit!("] {
                    assert!(!source.contains(call), "{}: {call}", path.display());
                }
            }
        }
    }
}

#[test]
fn each_log_line_is_in_the_on_call_page_with_its_keys() {
    for (_, _, text) in all_cases() {
        let mut parts = text.split(", ");
        let message = parts.next().unwrap();
        let row = ON_CALL_PAGE
            .lines()
            .find(|line| line.starts_with(&format!("| `{message}` |")))
            .unwrap_or_else(|| panic!("{message}: not in the table of log lines"));
        for (key, _) in parts.filter_map(|pair| pair.split_once(": ")) {
            assert!(row.contains(&format!("`{key}`")), "{message}: {key}");
        }
    }
}

/// A line in the format of the log: keys in reverse order, after time and level.
fn printed(line: &Line) -> String {
    let mut parts: Vec<&str> = line.text.split(", ").collect();
    let message = parts.remove(0);
    parts.reverse();
    format!("Dec 01 19:12:52.618 INFO {message}, {}", parts.join(", "))
}

/// A line of the release before.
const EARLIER_LINE: &str = "Dec 01 18:01:02.003 INFO verdict: to go back, aside: 2, beta: 0.2, alpha: 0.05, \
    bound: 2.77, score: 2.90, recalled: 0.00, old_outcomes: 60.00, old_hits: 1.50, new_outcomes: 20.00, \
    new_hits: 5.00, test: whole-fleet, stage: 0, build: 41";

/// The cells of a row of the table.
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

const FLEET_SLOWDOWN: &str =
    "slow responses of the whole fleet, against the fleet before the rollout";

#[test]
fn explain_reads_verdicts_of_this_release_and_of_earlier_ones() {
    let current_line = printed(&capture(|log| {
        log_lines::rollback_verdict(log, &verdict());
    }));
    let other_line = printed(&capture(|log| log_lines::invalid_load_report(log, "s-0")));

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
        &format!("{FLEET_SLOWDOWN}; ejected endpoints of the candidate: 2"),
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
            "{FLEET_SLOWDOWN}; 4.00 outcomes restored from before a restart; \
             ejected endpoints of the candidate: 1"
        ),
    ];
    assert_eq!(rows, [earlier, current]);
}

#[test]
fn explain_describes_each_test_by_its_name_in_the_log() {
    for test in EvidenceTest::ALL {
        let verdict = RollbackVerdict { test, ..verdict() };
        let line = printed(&capture(|log| log_lines::rollback_verdict(log, &verdict)));
        let table = explain::table(&line).unwrap();
        assert!(!table.contains("unknown test"), "{table}");
    }
}

#[test]
fn explain_shows_unknown_values_of_a_line_that_was_cut_off() {
    for line in [
        "x INFO rollback verdict, build: 42",
        "x INFO verdict: to go back, build: 42",
    ] {
        let table = explain::table(line).unwrap();
        assert!(table.contains("42") && table.contains('?'), "{table}");
    }
}
