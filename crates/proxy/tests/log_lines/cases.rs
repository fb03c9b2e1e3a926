//! The expected log line of each function in `log_lines`.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use slog::{Level, Logger};
use tidescale_policy::types::{
    Ballot, BuildNumber, EvidenceTest, FailureCounts, RollbackVerdict, StageIndex, Vote, VoteResult,
};
use tidescale_proxy::context::Component;
use tidescale_proxy::log_lines::{self, AddressChanges, RestoredSnapshot};
use tidescale_proxy::postgres::ErrorResponse;

/// A function that logs one line, and the line expected of it.
pub struct Case {
    /// Calls the function under test.
    pub log_line: fn(&Logger),
    /// The expected severity.
    pub level: Level,
    /// The expected message and key-value pairs, in source order.
    pub text: &'static str,
}

const fn info(log_line: fn(&Logger), text: &'static str) -> Case {
    Case {
        log_line,
        level: Level::Info,
        text,
    }
}

const fn warning(log_line: fn(&Logger), text: &'static str) -> Case {
    Case {
        log_line,
        level: Level::Warning,
        text,
    }
}

const fn error(log_line: fn(&Logger), text: &'static str) -> Case {
    Case {
        log_line,
        level: Level::Error,
        text,
    }
}

/// An error with the text `reason`, for the lines that print any error.
struct AnyError;

impl fmt::Display for AnyError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("reason")
    }
}

/// A verdict that rolls back build 42.
pub fn verdict() -> RollbackVerdict {
    RollbackVerdict {
        build: BuildNumber::new(42),
        stage: StageIndex::new(1),
        test: EvidenceTest::FleetSlowdown,
        candidate: FailureCounts {
            failures: 3.0,
            outcomes: 27.9,
        },
        baseline: FailureCounts {
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

const PROCESS_CASES: [Case; 8] = [
    info(
        |log| log_lines::serving(log, "127.0.0.1:6432".parse().unwrap()),
        "serving, listen: 127.0.0.1:6432",
    ),
    info(
        |log| log_lines::stopping(log, 7),
        "stopping, open_requests: 7",
    ),
    info(
        |log| log_lines::stopped(log, Duration::from_millis(3)),
        "stopped, longest_turn_us: 3000",
    ),
    warning(
        |log| log_lines::event_loop_delayed(log, Duration::from_millis(60)),
        "event loop delayed, delay_ms: 60",
    ),
    error(
        |log| log_lines::handler_panicked(log, Component::Client),
        "handler panicked, component: Client",
    ),
    error(
        |log| log_lines::cleanup_panicked(log, Component::Endpoint),
        "cleanup panicked, component: Endpoint",
    ),
    info(
        |log| {
            let changes = AddressChanges {
                discovery: true,
                platform: false,
            };
            log_lines::configuration_reloaded(log, changes);
        },
        "configuration reloaded, discovery_changed: true, platform_changed: false",
    ),
    warning(
        |log| log_lines::configuration_rejected(log, &"first\nsecond"),
        "configuration rejected, error: first second",
    ),
];

const CONTROL_CASES: [Case; 7] = [
    info(
        |log| log_lines::rollback_verdict(log, &verdict()),
        "rollback verdict, build: 42, stage: 1, test: fleet_slowdown, candidate_failures: 3.00, \
         candidate_outcomes: 27.90, baseline_failures: 0.00, baseline_outcomes: 71.80, \
         restored_outcomes: 4.00, score: 3.10, bound: 2.77, alpha: 0.05, beta: 0.2, \
         ejected_endpoints: 1",
    ),
    info(
        |log| {
            let ballot = Ballot {
                build: BuildNumber::new(42),
                stage: StageIndex::new(1),
                vote: Vote::RollBack,
            };
            log_lines::vote_cast(log, ballot);
        },
        "vote cast, build: 42, stage: 1, vote: RollBack",
    ),
    info(
        |log| log_lines::vote_not_counted(log, VoteResult::Busy),
        "vote not counted, result: Busy",
    ),
    info(
        |log| log_lines::invalid_vote_response(log, 404),
        "invalid vote response, status: 404",
    ),
    info(
        |log| log_lines::platform_connection_failed(log, &AnyError),
        "platform connection failed, error: reason",
    ),
    info(
        |log| {
            let backoff = Duration::from_millis(100);
            log_lines::stream_ended(log, Component::EndpointList, &AnyError, backoff);
        },
        "stream ended, component: EndpointList, error: reason, reconnect_ms: 100",
    ),
    info(
        |log| log_lines::stale_endpoint_list_ignored(log, 40, 41),
        "stale endpoint list ignored, version: 40, current_version: 41",
    ),
];

const ENDPOINT_CASES: [Case; 6] = [
    info(
        |log| log_lines::endpoint_connection_failed(log, "s-0", &AnyError),
        "endpoint connection failed, endpoint: s-0, error: reason",
    ),
    info(
        |log| log_lines::endpoint_connection_limit_reached(log, "s-0"),
        "endpoint connection limit reached, endpoint: s-0",
    ),
    info(
        |log| log_lines::exchange_failed(log, "s-0", &AnyError),
        "exchange failed, endpoint: s-0, error: reason",
    ),
    info(
        |log| log_lines::invalid_endpoint_message(log, "s-0", &AnyError),
        "invalid endpoint message, endpoint: s-0, error: reason",
    ),
    info(
        |log| {
            let error = ErrorResponse {
                code: "40001".into(),
                message: "x".repeat(201),
            };
            log_lines::unknown_endpoint_error(log, "s-0", &error);
        },
        concat!(
            "unknown endpoint error, endpoint: s-0, sqlstate: 40001, error: ",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
        ),
    ),
    info(
        |log| log_lines::invalid_load_report(log, "s-0"),
        "invalid load report, endpoint: s-0",
    ),
];

const CLIENT_CASES: [Case; 9] = [
    warning(
        |log| log_lines::accept_failed(log, &AnyError),
        "accept failed, error: reason",
    ),
    warning(
        |log| log_lines::client_registration_failed(log, &AnyError),
        "client registration failed, error: reason",
    ),
    info(
        |log| log_lines::invalid_client_message(log, &AnyError),
        "invalid client message, error: reason",
    ),
    info(
        log_lines::client_message_timed_out,
        "client message timed out",
    ),
    info(
        log_lines::client_buffers_exhausted,
        "client buffers exhausted",
    ),
    info(
        log_lines::no_client_buffers_to_free,
        "no client buffers to free",
    ),
    info(
        |log| log_lines::statement_buffers_exhausted(log, 131_200),
        "statement buffers exhausted, statement_bytes: 131200",
    ),
    info(
        |log| log_lines::output_buffers_exhausted(log, 900_000),
        "output buffers exhausted, response_bytes: 900000",
    ),
    info(
        |log| log_lines::statement_rejected(log, &AnyError),
        "statement rejected, error: reason",
    ),
];

const SNAPSHOT_CASES: [Case; 6] = [
    warning(
        |log| log_lines::snapshots_disabled(log, Path::new("/snapshots"), &AnyError),
        "snapshots disabled, folder: /snapshots, error: reason",
    ),
    warning(
        |log| log_lines::snapshot_file_quarantined(log, &"memory.0: torn"),
        "snapshot file quarantined, file: memory.0: torn",
    ),
    info(
        |log| {
            let snapshot = RestoredSnapshot {
                records: 9,
                restored: 4,
                age: Duration::from_secs(12),
            };
            log_lines::snapshot_restored(log, snapshot);
        },
        "snapshot restored, records: 9, restored: 4, age_s: 12",
    ),
    warning(
        |log| log_lines::snapshot_write_failed(log, &AnyError),
        "snapshot write failed, error: reason",
    ),
    info(
        |log| log_lines::final_snapshot_written(log, Duration::from_micros(250)),
        "final snapshot written, longest_slice_us: 250",
    ),
    warning(
        log_lines::final_snapshot_timed_out,
        "final snapshot timed out",
    ),
];

/// The cases of all log lines.
pub fn all_cases() -> impl Iterator<Item = &'static Case> {
    PROCESS_CASES
        .iter()
        .chain(&CONTROL_CASES)
        .chain(&ENDPOINT_CASES)
        .chain(&CLIENT_CASES)
        .chain(&SNAPSHOT_CASES)
}
