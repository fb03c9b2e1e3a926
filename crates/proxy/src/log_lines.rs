//! All lines of the log from level info up: one function for each, with a short event phrase as
//! message and standard keys. `docs/on-call.md` explains them to operators.
//!
//! The rate limit of the log counts the lines of each function apart.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use slog::{Logger, error, info, warn};
use tidescale_policy::types::{Ballot, EvidenceTest, RollbackVerdict, VoteResult};

use crate::context::Component;
use crate::postgres::ErrorResponse;

/// Characters of an endpoint's error message that are logged.
const MAX_MESSAGE_LENGTH: usize = 200;

/// The proxy accepts clients.
pub fn serving(log: &Logger, listen: SocketAddr) {
    info!(log, "serving"; "listen" => %listen);
}

/// SIGTERM was received.
pub fn stopping(log: &Logger, open_requests: usize) {
    info!(log, "stopping"; "open_requests" => open_requests);
}

/// The proxy has drained and exits. The experiments read this key.
pub fn stopped(log: &Logger, longest_iteration: Duration) {
    info!(log, "stopped"; "longest_turn_us" => longest_iteration.as_micros() as u64);
}

/// An iteration of the event loop started late.
pub fn event_loop_delayed(log: &Logger, delay: Duration) {
    warn!(log, "event loop delayed"; "delay_ms" => delay.as_millis());
}

/// The handler of a connection panicked; the connection is closed.
pub fn handler_panicked(log: &Logger, component: Component) {
    error!(log, "handler panicked"; "component" => ?component);
}

/// Closing a connection after a panic panicked too.
pub fn cleanup_panicked(log: &Logger, component: Component) {
    error!(log, "cleanup panicked"; "component" => ?component);
}

/// Which addresses a new configuration has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressChanges {
    /// That of discovery.
    pub discovery: bool,
    /// That of the platform.
    pub platform: bool,
}

/// SIGHUP was received and the new configuration is in use.
pub fn configuration_reloaded(log: &Logger, changes: AddressChanges) {
    info!(log, "configuration reloaded";
        "discovery_changed" => changes.discovery, "platform_changed" => changes.platform);
}

/// SIGHUP was received; the new configuration is invalid and the previous one stays in use.
pub fn configuration_rejected(log: &Logger, error: &dyn Display) {
    warn!(log, "configuration rejected"; "error" => error.to_string().replace('\n', " "));
}

/// This instance has found that a build must be rolled back. `tidescale explain` reads this line.
pub fn rollback_verdict(log: &Logger, verdict: &RollbackVerdict) {
    let round = |value: f64| format!("{value:.2}");
    info!(log, "rollback verdict";
        "build" => verdict.build.get(),
        "stage" => verdict.stage.get(),
        "test" => test_name(verdict.test),
        "candidate_failures" => round(verdict.candidate.failures),
        "candidate_outcomes" => round(verdict.candidate.outcomes),
        "baseline_failures" => round(verdict.baseline.failures),
        "baseline_outcomes" => round(verdict.baseline.outcomes),
        "restored_outcomes" => round(verdict.restored_outcomes),
        "score" => round(verdict.score),
        "bound" => round(verdict.bound),
        "alpha" => verdict.alpha,
        "beta" => verdict.beta,
        "ejected_endpoints" => verdict.ejected_endpoints);
}

/// The name of a test in the log.
pub fn test_name(test: EvidenceTest) -> &'static str {
    match test {
        EvidenceTest::Failures => "failures",
        EvidenceTest::Slowness => "slowness",
        EvidenceTest::Errors => "errors",
        EvidenceTest::FleetSlowdown => "fleet_slowdown",
    }
}

/// A vote is sent to the platform.
pub fn vote_cast(log: &Logger, ballot: Ballot) {
    info!(log, "vote cast";
        "build" => ballot.build.get(), "stage" => ballot.stage.get(), "vote" => ?ballot.vote);
}

/// A vote was neither accepted nor superseded.
pub fn vote_not_counted(log: &Logger, result: VoteResult) {
    info!(log, "vote not counted"; "result" => ?result);
}

/// The platform's response to a vote cannot be parsed.
pub fn invalid_vote_response(log: &Logger, status: u16) {
    info!(log, "invalid vote response"; "status" => status);
}

/// A vote could not be sent.
pub fn platform_connection_failed(log: &Logger, error: &dyn Display) {
    info!(log, "platform connection failed"; "error" => %error);
}

/// A control stream ended; it is opened again after a backoff.
pub fn stream_ended(log: &Logger, component: Component, error: &dyn Display, backoff: Duration) {
    info!(log, "stream ended"; "component" => ?component,
        "error" => %error, "reconnect_ms" => backoff.as_millis());
}

/// A stream delivered an endpoint list that is older than the current one.
pub fn stale_endpoint_list_ignored(log: &Logger, version: u64, current_version: u64) {
    info!(log, "stale endpoint list ignored";
        "version" => version, "current_version" => current_version);
}

/// A connection to an endpoint could not even be started.
pub fn endpoint_connection_failed(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "endpoint connection failed"; "endpoint" => endpoint, "error" => %error);
}

/// All descriptors for connections to endpoints are in use; the attempt or health check is not
/// sent.
pub fn endpoint_connection_limit_reached(log: &Logger, endpoint: &str) {
    info!(log, "endpoint connection limit reached"; "endpoint" => endpoint);
}

/// An attempt or a health check ended without a response.
pub fn exchange_failed(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "exchange failed"; "endpoint" => endpoint, "error" => %error);
}

/// An endpoint violated the protocol; the connection is closed.
pub fn invalid_endpoint_message(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "invalid endpoint message"; "endpoint" => endpoint, "error" => %error);
}

/// An endpoint answered with an SQLSTATE that endpoints are not known to use.
pub fn unknown_endpoint_error(log: &Logger, endpoint: &str, error: &ErrorResponse) {
    let message: String = error.message.chars().take(MAX_MESSAGE_LENGTH).collect();
    info!(log, "unknown endpoint error";
        "endpoint" => endpoint, "sqlstate" => &error.code, "error" => message);
}

/// The load report of an endpoint cannot be parsed.
pub fn invalid_load_report(log: &Logger, endpoint: &str) {
    info!(log, "invalid load report"; "endpoint" => endpoint);
}

/// The system did not accept a connection of a client.
pub fn accept_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "accept failed"; "error" => %error);
}

/// An accepted connection of a client could not be registered.
pub fn client_registration_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "client registration failed"; "error" => %error);
}

/// A client violated the protocol; it is sent an error and its connection is closed.
pub fn invalid_client_message(log: &Logger, error: &dyn Display) {
    info!(log, "invalid client message"; "error" => %error);
}

/// A client did not complete a message in time; it is sent an error and its connection is closed.
pub fn client_message_timed_out(log: &Logger) {
    info!(log, "client message timed out");
}

/// The buffers for clients are used up; the oldest incomplete message is refused and its connection
/// closed.
pub fn client_buffers_exhausted(log: &Logger) {
    info!(log, "client buffers exhausted");
}

/// A client sent a statement that cannot be served; it is sent an error.
pub fn statement_rejected(log: &Logger, error: &dyn Display) {
    info!(log, "statement rejected"; "error" => %error);
}

/// The instance serves without snapshots.
pub fn snapshots_disabled(log: &Logger, folder: &Path, error: &dyn Display) {
    warn!(log, "snapshots disabled"; "folder" => %folder.display(), "error" => %error);
}

/// A snapshot file cannot be used and was renamed for inspection.
pub fn snapshot_file_quarantined(log: &Logger, file: &dyn Display) {
    warn!(log, "snapshot file quarantined"; "file" => %file);
}

/// How much of a snapshot was restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoredSnapshot {
    /// Records in the file.
    pub records: usize,
    /// Records that still counted.
    pub restored: usize,
    /// Age of the file.
    pub age: Duration,
}

/// A snapshot was read at the start.
pub fn snapshot_restored(log: &Logger, snapshot: RestoredSnapshot) {
    info!(log, "snapshot restored"; "records" => snapshot.records,
        "restored" => snapshot.restored, "age_s" => snapshot.age.as_secs());
}

/// A snapshot was not written; the previous one stays.
pub fn snapshot_write_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "snapshot write failed"; "error" => %error);
}

/// The snapshot at shutdown is on disk. The experiments read this key.
pub fn final_snapshot_written(log: &Logger, longest_slice: Duration) {
    info!(log, "final snapshot written"; "longest_slice_us" => longest_slice.as_micros() as u64);
}

/// The snapshot at shutdown was not written within the configured time.
pub fn final_snapshot_timed_out(log: &Logger) {
    warn!(log, "final snapshot timed out");
}
