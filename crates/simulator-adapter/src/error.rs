//! Why the adapter gives up.

use std::io;

use thiserror::Error;
use tidescale_settings::{SettingsError, ValueError};

/// Input that the adapter cannot understand, or a stream that broke. The bench shows the message,
/// so its texts stay as they are.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Stdin cannot be read, or holds bytes that are no UTF-8.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// Stdout cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A value of a line is not of the wanted type.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// A starting instance has unusable settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),

    /// A batch does not start with `MARK`.
    #[error("a batch must start with its clock: {line}")]
    BatchWithoutClock {
        /// The line in its place.
        line: String,
    },
    /// Input ended before `OVER_TO_YOU`.
    #[error("input ended inside a batch")]
    EndInsideBatch,
    /// An event before the batch's first `AT`.
    #[error("an event before any instance was named: {line}")]
    EventWithoutInstance {
        /// The event's line.
        line: String,
    },
    /// Fewer `ROW` lines than `INVENTORY` announced.
    #[error("a list is shorter than told: {line}")]
    ListTooShort {
        /// The line in place of the missing row; empty at the end of input.
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
    /// A line starts with none of the known names.
    #[error("unknown message: {line}")]
    UnknownMessage {
        /// The line.
        line: String,
    },

    /// `SPAWN` without a seed.
    #[error("a start without a seed")]
    SpawnWithoutSeed,
    /// `SPAWN` without settings.
    #[error("a start without settings")]
    SpawnWithoutSettings,
    /// A setting of `SPAWN` is no `PATH=TEXT`.
    #[error("not a setting: {text}")]
    NotASetting {
        /// What was read.
        text: String,
    },
    /// The policy could not answer in time, even if it were asked at each tick.
    #[error("rules.answer_slack: {slack_micros} us are less than a tick")]
    AnswerSlackBelowTick {
        /// The setting, in microseconds.
        slack_micros: u64,
    },

    /// A route that the instance's settings do not name.
    #[error("unknown class: {name}")]
    UnknownRoute {
        /// The name.
        name: String,
    },
    /// None of the known ends of an attempt or health check.
    #[error("unknown outcome: {text}")]
    UnknownOutcome {
        /// What was read.
        text: String,
    },
    /// A load report is no list of `NAME:VALUE`.
    #[error("not a load report: {text}")]
    NotALoadReport {
        /// What was read.
        text: String,
    },
    /// None of the known answers to a vote.
    #[error("unknown answer to a vote: {text}")]
    UnknownVoteResult {
        /// What was read.
        text: String,
    },
    /// None of the known phases of a rollout.
    #[error("unknown course: {text}")]
    UnknownRolloutPhase {
        /// What was read.
        text: String,
    },
    /// None of the known kinds of an endpoint list.
    #[error("unknown kind of list: {text}")]
    UnknownListKind {
        /// What was read.
        text: String,
    },
    /// A list was announced that no `INVENTORY` has given.
    #[error("a list that was never given")]
    ListNeverGiven,
    /// None of the known states of an endpoint.
    #[error("unknown readiness: {row}")]
    UnknownEndpointState {
        /// The endpoint's row.
        row: String,
    },
}
