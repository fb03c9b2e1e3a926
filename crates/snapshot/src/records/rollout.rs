//! Records of builds: where the newest one's rollout stood, what was found of it, and which keys are bound to it.

use serde::{Deserialize, Serialize};
use tidescale_policy::types::{self, Timestamp};

use super::unix_micros;

/// A build that was found bad.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedBuildRecord {
    /// When it was found bad.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The build.
    pub build: u32,
}

/// The lowest build that an idempotency key may go to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyBuildRecord {
    /// When it was stored.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The idempotency key.
    pub key: String,
    /// The latest build that has answered it.
    pub build: u32,
}

/// Where the newest build's rollout stood, as the platform last announced it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// When it was stored.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The newest build.
    pub build: u32,
    /// Stage of its evaluation, from 0.
    pub stage: u32,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    #[serde(rename = "cap")]
    pub traffic_cap: f64,
    /// When stage and phase began.
    #[serde(with = "unix_micros")]
    pub since: Timestamp,
}

/// Phase of a rollout, as the file carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum RolloutPhase {
    /// The build is under evaluation.
    Canary,
    /// The build is being replaced by the one before.
    RollingBack,
    /// The build serves everywhere.
    Released,
    /// The build has been taken out.
    Withdrawn,
    /// A word that this version does not know, as it stands in the file.
    Unknown(String),
}

impl RolloutPhase {
    /// The phase in the file's words.
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
