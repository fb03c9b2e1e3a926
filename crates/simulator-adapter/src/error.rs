//! Errors that terminate the adapter.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tidescale_policy::types::whole_micros;
use tidescale_settings::{SettingsError, ValueError};

/// Input that cannot be parsed, or an I/O error on stdin or stdout. The message is sent to the
/// simulator after `INTERNAL_ERROR`, so the texts must not change.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Stdin cannot be read, or is not valid UTF-8.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// Stdout cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A field of a line, or a value of a load report, is not of the expected type.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// An instance was started with a setting that is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),

    /// A batch does not start with a well-formed `MARK` line.
    #[error("a batch must start with its clock: {line}")]
    MissingBatchHeader {
        /// The line that was read instead.
        line: String,
    },
    /// The input ended inside a batch, before `OVER_TO_YOU`.
    #[error("input ended inside a batch")]
    UnexpectedEndOfInput,
    /// An event precedes the first `AT` of its batch.
    #[error("an event before any instance was named: {line}")]
    EventWithoutInstance {
        /// The event's line.
        line: String,
    },
    /// There are fewer `ROW` lines than the `INVENTORY` line announced.
    #[error("a list is shorter than told: {line}")]
    MissingEndpointRow {
        /// The line that was read instead of the missing row; empty at the end of the input.
        line: String,
    },

    /// A line has fewer fields than its message requires.
    #[error("too few values: {line}")]
    TooFewValues {
        /// The rejected line.
        line: String,
    },
    /// A line has more fields than its message allows.
    #[error("too many values: {line}")]
    TooManyValues {
        /// The rejected line.
        line: String,
    },
    /// A line starts with an unknown message name.
    #[error("unknown message: {line}")]
    UnknownMessage {
        /// The rejected line.
        line: String,
    },

    /// `SPAWN` has no seed.
    #[error("a start without a seed")]
    MissingSeed,
    /// `SPAWN` has no settings.
    #[error("a start without settings")]
    MissingSettings,
    /// A setting of `SPAWN` does not have the form `PATH=TEXT`.
    #[error("not a setting: {text}")]
    MalformedSetting {
        /// The rejected text.
        text: String,
    },
    /// The answer slack, the time by which a response may miss its deadline, is shorter than a
    /// tick: the policy could not respond in time even if it were stepped at each tick.
    #[error("rules.answer_slack: {} us are less than a tick", whole_micros(*slack))]
    AnswerSlackBelowTick {
        /// Value of `rules.answer_slack`.
        slack: Duration,
    },

    /// A route is not in the instance's settings.
    #[error("unknown class: {name}")]
    UnknownRoute {
        /// Name of the route.
        name: String,
    },
    /// The text is not a known outcome of an attempt or a health check.
    #[error("unknown outcome: {text}")]
    UnknownOutcome {
        /// The rejected text.
        text: String,
    },
    /// A load report is not a list of `NAME:VALUE`.
    #[error("not a load report: {text}")]
    MalformedLoadReport {
        /// The rejected text.
        text: String,
    },
    /// The text is not a known result of a vote.
    #[error("unknown answer to a vote: {text}")]
    UnknownVoteResult {
        /// The rejected text.
        text: String,
    },
    /// The text is not a known phase of a rollout.
    #[error("unknown course: {text}")]
    UnknownRolloutPhase {
        /// The rejected text.
        text: String,
    },
    /// The text is not a known kind of endpoint list.
    #[error("unknown kind of list: {text}")]
    UnknownListKind {
        /// The rejected text.
        text: String,
    },
    /// A `ROSTER_CHANGE` refers to a list for which no `INVENTORY` was read.
    #[error("a list that was never given")]
    UnknownEndpointList,
    /// The state in a `ROW` line is not a known state of an endpoint.
    #[error("unknown readiness: {row}")]
    UnknownEndpointState {
        /// The endpoint's `ROW` line.
        row: String,
    },
}
