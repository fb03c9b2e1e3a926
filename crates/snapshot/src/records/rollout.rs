//! Records of builds: the state of the newest build's rollout, rejected builds, and the lowest
//! build allowed for each idempotency key.

use serde::{Deserialize, Serialize};
use tidescale_policy::types::{self, BuildNumber, StageIndex, Timestamp};

use super::stored::{build_number, stage_index, unix_micros};

/// A build that was rejected: this instance found that it has to be rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedBuildRecord {
    /// Time of observation: when this instance rejected the build.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The rejected build.
    #[serde(with = "build_number")]
    pub build: BuildNumber,
}

/// The lowest build that requests with an idempotency key may be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyBuildRecord {
    /// Time of observation: when the record was collected for the snapshot.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The idempotency key.
    pub key: String,
    /// The latest build that has answered a request with this key.
    #[serde(with = "build_number")]
    pub build: BuildNumber,
}

/// State of the newest build's rollout, as last announced by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Time of observation: when the record was collected for the snapshot.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The newest build.
    #[serde(with = "build_number")]
    pub build: BuildNumber,
    /// Stage of its evaluation, counted from 0.
    #[serde(with = "stage_index")]
    pub stage: StageIndex,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be routed to the build.
    #[serde(rename = "cap")]
    pub traffic_cap: f64,
    /// When the current stage and phase began.
    #[serde(with = "unix_micros")]
    pub since: Timestamp,
}

/// Phase of a rollout, as stored in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum RolloutPhase {
    /// The build is under evaluation.
    Canary,
    /// The build is being replaced by the previous one.
    RollingBack,
    /// The build is fully released.
    Released,
    /// The build was withdrawn.
    Withdrawn,
    /// A stored value that this version does not know; it is written back unchanged.
    Unknown(String),
}

impl RolloutPhase {
    /// Returns the stored value of the phase.
    pub fn as_str(&self) -> &str {
        match self {
            RolloutPhase::Canary => "trial",
            RolloutPhase::RollingBack => "goingback",
            RolloutPhase::Released => "released",
            RolloutPhase::Withdrawn => "withdrawn",
            RolloutPhase::Unknown(word) => word,
        }
    }
}

impl From<String> for RolloutPhase {
    fn from(word: String) -> RolloutPhase {
        match word.as_str() {
            "trial" => RolloutPhase::Canary,
            "goingback" => RolloutPhase::RollingBack,
            "released" => RolloutPhase::Released,
            "withdrawn" => RolloutPhase::Withdrawn,
            _ => RolloutPhase::Unknown(word),
        }
    }
}

impl From<RolloutPhase> for String {
    fn from(phase: RolloutPhase) -> String {
        phase.as_str().to_owned()
    }
}

impl From<types::RolloutPhase> for RolloutPhase {
    fn from(phase: types::RolloutPhase) -> RolloutPhase {
        match phase {
            types::RolloutPhase::Canary => RolloutPhase::Canary,
            types::RolloutPhase::RollingBack => RolloutPhase::RollingBack,
            types::RolloutPhase::Released => RolloutPhase::Released,
            types::RolloutPhase::Withdrawn => RolloutPhase::Withdrawn,
        }
    }
}
