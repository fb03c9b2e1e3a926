//! Errors that end the adapter.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tidescale_policy::types::whole_micros;
use tidescale_settings::{SettingsError, ValueError};

/// Input that cannot be parsed, or a stream that failed. The message is part of the reply to the
/// bench, so the texts must not change.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Stdin cannot be read, or is not valid UTF-8.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// Stdout cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A value of a line is not of the expected type.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// An instance was started with unusable settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),

    /// A batch does not start with `MARK`.
    #[error("a batch must start with its clock: {line}")]
    MissingBatchHeader {
        /// The line that was read instead.
        line: String,
    },
    /// The input ended before `OVER_TO_YOU`.
    #[error("input ended inside a batch")]
    UnexpectedEndOfInput,
    /// An event before the batch's first `AT`.
    #[error("an event before any instance was named: {line}")]
    EventWithoutInstance {
        /// The event's line.
        line: String,
    },
    /// Fewer `ROW` lines than `INVENTORY` announced.
    #[error("a list is shorter than told: {line}")]
    MissingEndpointRow {
        /// The line that was read instead of the missing row; empty at the end of input.
        line: String,
    },

    /// A line has fewer values than its message needs.
    #[error("too few values: {line}")]
    TooFewValues {
        /// The line.
        line: String,
    },
    /// A line has more values than its message needs.
    #[error("too many values: {line}")]
    TooManyValues {
        /// The line.
        line: String,
    },
    /// A line with an unknown message name.
    #[error("unknown message: {line}")]
    UnknownMessage {
        /// The line.
        line: String,
    },

    /// `SPAWN` without a seed.
    #[error("a start without a seed")]
    MissingSeed,
    /// `SPAWN` without settings.
    #[error("a start without settings")]
    MissingSettings,
    /// A setting of `SPAWN` does not have the form `PATH=TEXT`.
    #[error("not a setting: {text}")]
    MalformedSetting {
        /// The text.
        text: String,
    },
    /// The policy could not answer in time, even if it were stepped at each tick.
    #[error("rules.answer_slack: {} us are less than a tick", whole_micros(*slack))]
    AnswerSlackBelowTick {
        /// The setting.
        slack: Duration,
    },

    /// A route that is not in the instance's settings.
    #[error("unknown class: {name}")]
    UnknownRoute {
        /// The name.
        name: String,
    },
    /// An unknown outcome of an attempt or a health check.
    #[error("unknown outcome: {text}")]
    UnknownOutcome {
        /// The text.
        text: String,
    },
    /// A load report is not a list of `NAME:VALUE`.
    #[error("not a load report: {text}")]
    MalformedLoadReport {
        /// The text.
        text: String,
    },
    /// An unknown result of a vote.
    #[error("unknown answer to a vote: {text}")]
    UnknownVoteResult {
        /// The text.
        text: String,
    },
    /// An unknown phase of a rollout.
    #[error("unknown course: {text}")]
    UnknownRolloutPhase {
        /// The text.
        text: String,
    },
    /// An unknown kind of an endpoint list.
    #[error("unknown kind of list: {text}")]
    UnknownListKind {
        /// The text.
        text: String,
    },
    /// A list was announced without an earlier `INVENTORY`.
    #[error("a list that was never given")]
    UnknownEndpointList,
    /// An unknown state of an endpoint.
    #[error("unknown readiness: {row}")]
    UnknownEndpointState {
        /// The endpoint's row.
        row: String,
    },
}
