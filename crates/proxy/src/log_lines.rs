//! All log lines from level info up, with one function for each line. The message is a short, fixed
//! phrase that names the event; values are logged under keys. `docs/on-call.md` documents the lines
//! for operators.
//!
//! The rate limit of the log applies to each function separately.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use slog::{Logger, error, info, warn};
use tidescale_policy::types::{Ballot, EvidenceTest, RollbackVerdict, VoteResult};

use crate::context::Component;
use crate::postgres::ErrorResponse;

/// Length to which the error message of an endpoint is truncated in the log.
const MAX_MESSAGE_CHARS: usize = 200;

/// Logs that the proxy has started and accepts clients.
pub fn serving(log: &Logger, listen: SocketAddr) {
    info!(log, "serving"; "listen" => %listen);
}

/// Logs that SIGTERM was received and shutdown begins.
pub fn stopping(log: &Logger, open_requests: usize) {
    info!(log, "stopping"; "open_requests" => open_requests);
}

/// Logs that shutdown is complete and the process exits. The experiments read the key
/// `longest_turn_us`.
pub fn stopped(log: &Logger, longest_iteration: Duration) {
    info!(log, "stopped"; "longest_turn_us" => longest_iteration.as_micros() as u64);
}

/// Logs that an iteration of the event loop started `delay` after its deadline.
pub fn event_loop_delayed(log: &Logger, delay: Duration) {
    warn!(log, "event loop delayed"; "delay_ms" => delay.as_millis());
}

/// Logs that the handler of a connection panicked. The connection is closed.
pub fn handler_panicked(log: &Logger, component: Component) {
    error!(log, "handler panicked"; "component" => ?component);
}

/// Logs that closing a connection after a panic of its handler panicked too.
pub fn cleanup_panicked(log: &Logger, component: Component) {
    error!(log, "cleanup panicked"; "component" => ?component);
}

/// The addresses that differ between the previous and the new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressChanges {
    /// Whether the address of discovery has changed.
    pub discovery: bool,
    /// Whether the address of the platform has changed.
    pub platform: bool,
}

/// Logs that SIGHUP was received and the new configuration is in use.
pub fn configuration_reloaded(log: &Logger, changes: AddressChanges) {
    info!(log, "configuration reloaded";
        "discovery_changed" => changes.discovery, "platform_changed" => changes.platform);
}

/// Logs that SIGHUP was received and the new configuration is invalid. The previous one stays in
/// use.
pub fn configuration_rejected(log: &Logger, error: &dyn Display) {
    warn!(log, "configuration rejected"; "error" => error.to_string().replace('\n', " "));
}

/// Logs that this instance has decided that a build must be rolled back. `tidescale explain` parses
/// this line.
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

/// Returns the name of a test in the log.
pub fn test_name(test: EvidenceTest) -> &'static str {
    match test {
        EvidenceTest::Failures => "failures",
        EvidenceTest::Slowness => "slowness",
        EvidenceTest::Errors => "errors",
        EvidenceTest::FleetSlowdown => "fleet_slowdown",
    }
}

/// Logs that a vote is sent to the platform.
pub fn vote_cast(log: &Logger, ballot: Ballot) {
    info!(log, "vote cast";
        "build" => ballot.build.get(), "stage" => ballot.stage.get(), "vote" => ?ballot.vote);
}

/// Logs that the platform has neither accepted nor superseded a vote.
pub fn vote_not_counted(log: &Logger, result: VoteResult) {
    info!(log, "vote not counted"; "result" => ?result);
}

/// Logs that the platform's response to a vote cannot be parsed.
pub fn invalid_vote_response(log: &Logger, status: u16) {
    info!(log, "invalid vote response"; "status" => status);
}

/// Logs that no connection to the platform could be opened, so that a vote could not be sent.
pub fn platform_connection_failed(log: &Logger, error: &dyn Display) {
    info!(log, "platform connection failed"; "error" => %error);
}

/// Logs that the stream from discovery or the platform ended. The proxy reconnects after `backoff`.
pub fn stream_ended(log: &Logger, component: Component, error: &dyn Display, backoff: Duration) {
    info!(log, "stream ended"; "component" => ?component,
        "error" => %error, "reconnect_ms" => backoff.as_millis());
}

/// Logs that discovery sent an endpoint list that is older than the current one.
pub fn stale_endpoint_list_ignored(log: &Logger, version: u64, current_version: u64) {
    info!(log, "stale endpoint list ignored";
        "version" => version, "current_version" => current_version);
}

/// Logs that a connection attempt to an endpoint failed immediately.
pub fn endpoint_connection_failed(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "endpoint connection failed"; "endpoint" => endpoint, "error" => %error);
}

/// Logs that all file descriptors for connections to endpoints are in use. The attempt or health
/// check is not sent.
pub fn endpoint_connection_limit_reached(log: &Logger, endpoint: &str) {
    info!(log, "endpoint connection limit reached"; "endpoint" => endpoint);
}

/// Logs that an attempt or a health check ended without a response.
pub fn exchange_failed(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "exchange failed"; "endpoint" => endpoint, "error" => %error);
}

/// Logs that an endpoint violated the protocol. The connection is closed.
pub fn invalid_endpoint_message(log: &Logger, endpoint: &str, error: &dyn Display) {
    info!(log, "invalid endpoint message"; "endpoint" => endpoint, "error" => %error);
}

/// Logs that an endpoint responded with an SQLSTATE that the proxy does not know.
pub fn unknown_endpoint_error(log: &Logger, endpoint: &str, error: &ErrorResponse) {
    let message: String = error.message.chars().take(MAX_MESSAGE_CHARS).collect();
    info!(log, "unknown endpoint error";
        "endpoint" => endpoint, "sqlstate" => &error.code, "error" => message);
}

/// Logs that the load report of an endpoint cannot be parsed.
pub fn invalid_load_report(log: &Logger, endpoint: &str) {
    info!(log, "invalid load report"; "endpoint" => endpoint);
}

/// Logs that the operating system failed to accept a connection of a client.
pub fn accept_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "accept failed"; "error" => %error);
}

/// Logs that an accepted connection of a client could not be registered for events.
pub fn client_registration_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "client registration failed"; "error" => %error);
}

/// Logs that a client violated the protocol. It is sent an error and its connection is closed.
pub fn invalid_client_message(log: &Logger, error: &dyn Display) {
    info!(log, "invalid client message"; "error" => %error);
}

/// Logs that a client did not complete a message in time. It is sent an error and its connection is
/// closed.
pub fn client_message_timed_out(log: &Logger) {
    info!(log, "client message timed out");
}

/// Logs that the buffers for clients are exhausted. The oldest incomplete message is rejected and
/// its connection is closed.
pub fn client_buffers_exhausted(log: &Logger) {
    info!(log, "client buffers exhausted");
}

/// Logs that the buffers for clients are exhausted and no connection can be closed yet to free
/// some. Clients are not read until buffers are free.
pub fn no_client_buffers_to_free(log: &Logger) {
    info!(log, "no client buffers to free");
}

/// Logs that there is no memory for the statement of a request, which is `statement_bytes` long. The
/// request is rejected; the client may retry it.
pub fn statement_buffers_exhausted(log: &Logger, statement_bytes: usize) {
    info!(log, "statement buffers exhausted"; "statement_bytes" => statement_bytes);
}

/// Logs that clients do not read their responses and the buffers for them are exhausted. A request
/// whose response is `response_bytes` long has failed.
pub fn output_buffers_exhausted(log: &Logger, response_bytes: usize) {
    info!(log, "output buffers exhausted"; "response_bytes" => response_bytes);
}

/// Logs that a client sent a statement that the proxy does not support. It is sent an error.
pub fn statement_rejected(log: &Logger, error: &dyn Display) {
    info!(log, "statement rejected"; "error" => %error);
}

/// Logs that snapshots cannot be read or written. The instance runs without them.
pub fn snapshots_disabled(log: &Logger, folder: &Path, error: &dyn Display) {
    warn!(log, "snapshots disabled"; "folder" => %folder.display(), "error" => %error);
}

/// Logs that a snapshot file cannot be used and was renamed for inspection.
pub fn snapshot_file_quarantined(log: &Logger, file: &dyn Display) {
    warn!(log, "snapshot file quarantined"; "file" => %file);
}

/// How many records of a snapshot were restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoredSnapshot {
    /// The number of records in the file.
    pub records: usize,
    /// The number of restored records; the others have expired or no longer apply.
    pub restored: usize,
    /// The time between the write and the restoration of the snapshot.
    pub age: Duration,
}

/// Logs that a snapshot was restored on startup.
pub fn snapshot_restored(log: &Logger, snapshot: RestoredSnapshot) {
    info!(log, "snapshot restored"; "records" => snapshot.records,
        "restored" => snapshot.restored, "age_s" => snapshot.age.as_secs());
}

/// Logs that a snapshot was not written. The previous one is kept.
pub fn snapshot_write_failed(log: &Logger, error: &dyn Display) {
    warn!(log, "snapshot write failed"; "error" => %error);
}

/// Logs that the final snapshot at shutdown is on disk. The experiments read the key
/// `longest_slice_us`.
pub fn final_snapshot_written(log: &Logger, longest_slice: Duration) {
    info!(log, "final snapshot written"; "longest_slice_us" => longest_slice.as_micros() as u64);
}

/// Logs that the final snapshot at shutdown was not written within the configured time.
pub fn final_snapshot_timed_out(log: &Logger) {
    warn!(log, "final snapshot timed out");
}
