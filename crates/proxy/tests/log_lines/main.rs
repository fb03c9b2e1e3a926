//! The messages and keys of all log lines, which operators filter by, and how `tidescale explain`
//! reads verdicts.

mod capture;
mod explain;

use std::fmt;
use std::path::Path;
use std::time::Duration;

use slog::{Level, Logger};
use tidescale_policy::types::{
    Ballot, BuildNumber, EvidenceTest, FailureShare, RollbackVerdict, StageIndex, Vote, VoteResult,
};
use tidescale_proxy::context::Component;
use tidescale_proxy::log_lines::{self, AddressChanges, RestoredSnapshot};
use tidescale_proxy::postgres::ErrorResponse;

use capture::{Line, capture};

/// The page that explains the log lines to operators.
const ON_CALL_PAGE: &str = include_str!("../../../../docs/on-call.md");
/// The sources, of which only `log_lines.rs` may log from level info up.
const SOURCE_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

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
