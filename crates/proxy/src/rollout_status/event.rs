//! Parses the platform's server-sent events, and the rollout status in all of its formats: the data
//! of an event, the response to a vote and the configuration. No I/O.

use std::time::Duration;

use serde::de::IntoDeserializer;
use serde::de::value::Error as NameError;
use serde::{Deserialize, Deserializer};
use tidescale_policy::Balancer;
use tidescale_policy::types::{BuildNumber, RolloutPhase, RolloutStatus, StageIndex};

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Why an event was rejected.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// A line in an unknown format, or an unknown kind of event.
    #[error("unknown line or kind of event: {0}")]
    UnknownFormat(String),
    /// The data of a rollout status is invalid.
    #[error("invalid rollout status: {0}")]
    Status(String),
    /// The data of a flagged response is invalid.
    #[error("invalid flagged response: {0}")]
    Flag(String),
    /// The event is longer than the limit.
    #[error("event is too long")]
    TooLong,
}

/// The rollout status of the newest build, in the platform's format.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct StatusMessage {
    #[serde(rename = "version", deserialize_with = "deserialize_number")]
    build: BuildNumber,
    #[serde(rename = "step", deserialize_with = "deserialize_number")]
    stage: StageIndex,
    #[serde(rename = "status")]
    phase: Phase,
    /// Largest share of the requests that may be attempted at the build, from 0 to 1.
    #[serde(rename = "maxWeight")]
    traffic_cap: f64,
    /// Time since the platform observed the status, in milliseconds.
    #[serde(rename = "observedAgoMs")]
    age_ms: f64,
}

/// The phase of a rollout, under the platform's names.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
enum Phase {
    #[serde(rename = "trial")]
    Canary,
    #[serde(rename = "rolling_back")]
    RollingBack,
    #[serde(rename = "released")]
    Released,
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

impl Phase {
    fn from_name(name: &str) -> Option<Phase> {
        let name: serde::de::value::StrDeserializer<'_, NameError> = name.into_deserializer();
        Phase::deserialize(name).ok()
    }
}

impl From<Phase> for RolloutPhase {
    fn from(phase: Phase) -> RolloutPhase {
        match phase {
            Phase::Canary => RolloutPhase::Canary,
            Phase::RollingBack => RolloutPhase::RollingBack,
            Phase::Released => RolloutPhase::Released,
            Phase::Withdrawn => RolloutPhase::Withdrawn,
        }
    }
}

impl StatusMessage {
    /// Notifies the policy of the status.
    pub fn apply(&self, policy: &mut Balancer) {
        policy.on_rollout_status(RolloutStatus {
            build: self.build,
            stage: self.stage,
            phase: self.phase.into(),
            traffic_cap: self.traffic_cap,
            age: age_from_millis(self.age_ms),
        });
    }

    /// Parses a status from the texts of its fields; `None` if one is missing or invalid.
    pub(crate) fn from_fields<'a>(
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<StatusMessage> {
        let phase = Phase::from_name(field("status")?)?;
        let build: u32 = field("version")?.trim().parse().ok()?;
        let stage: u32 = field("step")?.trim().parse().ok()?;
        let traffic_cap: f64 = field("maxWeight")?.trim().parse().ok()?;
        let age_ms: f64 = field("observedAgoMs")?.trim().parse().ok()?;
        let is_valid = (0.0..=1.0).contains(&traffic_cap) && age_ms.is_finite();
        is_valid.then_some(StatusMessage {
            build: build.into(),
            stage: stage.into(),
            phase,
            traffic_cap,
            age_ms,
        })
    }
}

/// Deserializes a `u32` into a type that wraps it.
fn deserialize_number<'de, D: Deserializer<'de>, Number: From<u32>>(
    deserializer: D,
) -> Result<Number, D::Error> {
    u32::deserialize(deserializer).map(Number::from)
}

/// Converts an age to whole microseconds; a negative one becomes zero.
fn age_from_millis(age_ms: f64) -> Duration {
    Duration::from_micros((age_ms.max(0.0) * 1000.0) as u64)
}

/// An event of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The rollout status has changed.
    Status(StatusMessage),
    /// A client has reported a response of an endpoint as wrong.
    ResponseFlagged {
        /// The name of the endpoint that sent the response.
        endpoint: String,
        /// How long ago the endpoint responded.
        age: Duration,
    },
    /// Sampled counts, which the policy does not use, or an empty event, used as a keep-alive.
    Other,
}

impl Event {
    /// Parses the lines of an event.
    ///
    /// # Errors
    ///
    /// A line or the kind of the event is unknown, or its data is invalid.
    pub fn parse(lines: &str) -> Result<Event, EventError> {
        let mut kind = "";
        let mut data = "";
        for line in lines.lines() {
            match line.split_once(':') {
                Some(("event", value)) => kind = value.trim(),
                Some(("data", value)) => data = value.trim(),
                Some(("id" | "retry" | "", _)) => {}
                _ => return Err(EventError::UnknownFormat(line.into())),
            }
        }
        let fields: Vec<_> = form_urlencoded::parse(data.as_bytes()).collect();
        let field = |name: &str| {
            fields
                .iter()
                .find(|(field_name, _)| field_name == name)
                .map(|(_, value)| value.as_ref())
        };
        match kind {
            "stage" => StatusMessage::from_fields(field)
                .map(Event::Status)
                .ok_or_else(|| EventError::Status(data.into())),
            "flag" => parse_flagged_response(field).ok_or_else(|| EventError::Flag(data.into())),
            "tally" => Ok(Event::Other),
            "" if data.is_empty() => Ok(Event::Other),
            _ => Err(EventError::UnknownFormat(kind.into())),
        }
    }
}

fn parse_flagged_response<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<Event> {
    let age_ms: f64 = field("observedAgoMs")?.parse().ok()?;
    let endpoint = field("pod")?.to_string();
    age_ms.is_finite().then(|| Event::ResponseFlagged {
        endpoint,
        age: age_from_millis(age_ms),
    })
}

/// Appends a line to `partial`, the lines of an event received so far. Returns whether the event is
/// complete.
pub(super) fn add_line(partial: &mut String, line: &str) -> Result<bool, EventError> {
    // A comment line is a keep-alive and not part of an event.
    if line.starts_with(':') {
        return Ok(false);
    }
    if line.is_empty() {
        return Ok(true);
    }
    partial.push_str(line);
    partial.push('\n');
    if partial.len() > MAX_EVENT_BYTES {
        return Err(EventError::TooLong);
    }
    Ok(false)
}
