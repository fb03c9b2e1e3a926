//! The platform's events, in the form of server-sent events, and the rollout status in any of its forms: an event's
//! data, a vote's response, the configuration. No I/O.

use std::time::Duration;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::Error as WordError;
use tidescale_policy::Balancer;
use tidescale_policy::types::{RolloutPhase, RolloutStatus};

const MAX_EVENT: usize = 64 * 1024;

/// Why an event cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// A line of no known form, or an unknown kind of event.
    #[error("not an event: {0}")]
    Form(String),
    /// The data of a rollout status cannot be read.
    #[error("not a rollout status: {0}")]
    Status(String),
    /// The data of a flagged answer cannot be read.
    #[error("not a flagged answer: {0}")]
    Flag(String),
    /// An event that does not end.
    #[error("an event without end")]
    TooLong,
}

/// The status of the newest build's rollout, in the platform's form.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct StatusMessage {
    #[serde(rename = "version")]
    build: u32,
    #[serde(rename = "step")]
    stage: u32,
    #[serde(rename = "status")]
    phase: Phase,
    #[serde(rename = "maxWeight")]
    traffic_cap: f64,
    #[serde(rename = "observedAgoMs")]
    age_ms: f64,
}

/// The platform's words for phases.
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
    fn from_word(word: &str) -> Option<Phase> {
        let word: serde::de::value::StrDeserializer<'_, WordError> = word.into_deserializer();
        Phase::deserialize(word).ok()
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
    /// Notifies the policy.
    pub fn apply(&self, policy: &mut Balancer) {
        policy.on_rollout_status(RolloutStatus {
            build: self.build.into(),
            stage: self.stage.into(),
            phase: self.phase.into(),
            traffic_cap: self.traffic_cap,
            age: age(self.age_ms),
        });
    }

    /// From the texts of its fields; none where one is missing or makes no sense.
    pub(crate) fn from_fields<'a>(
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<StatusMessage> {
        let phase = Phase::from_word(field("status")?)?;
        let build = field("version")?.trim().parse().ok()?;
        let stage = field("step")?.trim().parse().ok()?;
        let traffic_cap: f64 = field("maxWeight")?.trim().parse().ok()?;
        let age_ms: f64 = field("observedAgoMs")?.trim().parse().ok()?;
        let is_sensible = (0.0..=1.0).contains(&traffic_cap) && age_ms.is_finite();
        is_sensible.then_some(StatusMessage {
            build,
            stage,
            phase,
            traffic_cap,
            age_ms,
        })
    }
}

/// A time that has passed, in whole microseconds; less than nothing counts as nothing.
fn age(age_ms: f64) -> Duration {
    Duration::from_micros((age_ms.max(0.0) * 1000.0) as u64)
}

/// An event of the platform's.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The rollout's status has changed.
    Status(StatusMessage),
    /// An endpoint's answer was found to be wrong.
    AnswerFlagged {
        /// The endpoint's name.
        endpoint: String,
        /// How long ago.
        age: Duration,
    },
    /// Sampled counts, which the policy does without, or nothing but a sign of life.
    Other,
}

impl Event {
    /// Reads an event's lines.
    ///
    /// # Errors
    ///
    /// Where one of them, or the data in them, is of no known form.
    pub fn parse(lines: &str) -> Result<Event, EventError> {
        let mut kind = "";
        let mut data = "";
        for line in lines.lines() {
            match line.split_once(':') {
                Some(("event", value)) => kind = value.trim(),
                Some(("data", value)) => data = value.trim(),
                Some(("id" | "retry" | "", _)) => {}
                _ => return Err(EventError::Form(line.into())),
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
            "flag" => flagged_answer(field).ok_or_else(|| EventError::Flag(data.into())),
            "tally" => Ok(Event::Other),
            "" if data.is_empty() => Ok(Event::Other),
            _ => Err(EventError::Form(kind.into())),
        }
    }
}

fn flagged_answer<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<Event> {
    let age_ms: f64 = field("observedAgoMs")?.parse().ok()?;
    let endpoint = field("pod")?.to_string();
    age_ms.is_finite().then(|| Event::AnswerFlagged {
        endpoint,
        age: age(age_ms),
    })
}

/// Adds a line to what has come of an event; returns whether the event is whole.
pub(super) fn add_line(partial: &mut String, line: &str) -> Result<bool, EventError> {
    // A sign of life belongs to no event.
    if line.starts_with(':') {
        return Ok(false);
    }
    if line.is_empty() {
        return Ok(true);
    }
    partial.push_str(line);
    partial.push('\n');
    if partial.len() > MAX_EVENT {
        return Err(EventError::TooLong);
    }
    Ok(false)
}
