//! Records of single endpoints: their observed behavior and their entries in the endpoint list.

use serde::{Deserialize, Serialize};
use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::{BuildNumber, Timestamp};

use super::stored::{array, build_number, unix_micros};

/// Identity of an endpoint's process. If address, build or start time differ, it is another
/// process, even under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Name of the endpoint in the endpoint list.
    #[serde(rename = "id")]
    pub endpoint: String,
    /// Where it listens, as `address:port`.
    #[serde(rename = "addr")]
    pub address: String,
    /// The build that it runs.
    #[serde(with = "build_number")]
    pub build: BuildNumber,
    /// Start time; [`Timestamp::ZERO`] if the process has run for longer than its warm-up takes.
    #[serde(rename = "started", with = "unix_micros")]
    pub started_at: Timestamp,
}

/// Slowdown, load and ejection of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Time of observation, which the slowdown is decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The observed process.
    pub process: Process,
    /// Its hardware class.
    #[serde(rename = "kind")]
    pub hardware_class: String,
    /// Decaying sum of the slowdowns (latencies against the route's baseline), and number of
    /// responses.
    #[serde(rename = "pace", with = "array")]
    pub slowdown: WeightedSum,
    /// Its last load report.
    #[serde(rename = "load")]
    pub reported_load: ReportedLoad,
    /// Whether it was ejected.
    #[serde(rename = "aside")]
    pub ejected: bool,
}

/// An endpoint's last load report, stored as a pair of numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, u64)", into = "(f64, u64)")]
pub struct ReportedLoad {
    /// Number of requests that it was executing or holding, by its own count.
    pub in_flight: f64,
    /// When it sent the report.
    pub reported_at: Timestamp,
}

impl From<(f64, u64)> for ReportedLoad {
    fn from((in_flight, reported_at): (f64, u64)) -> ReportedLoad {
        ReportedLoad {
            in_flight,
            reported_at: Timestamp::from_micros(reported_at),
        }
    }
}

impl From<ReportedLoad> for (f64, u64) {
    fn from(load: ReportedLoad) -> (f64, u64) {
        (load.in_flight, load.reported_at.as_micros())
    }
}

/// Attempt outcomes of one endpoint under one build, for each of the policy's statistical tests, in
/// the order of `EvidenceTest::ALL`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Time of observation, which the sums are decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The process that the attempts went to.
    pub process: Process,
    /// The build that the outcomes are attributed to.
    #[serde(with = "build_number")]
    pub build: BuildNumber,
    /// Decaying sums of outcomes, one for each test.
    #[serde(rename = "all")]
    pub outcomes: Vec<f64>,
    /// Decaying sums of outcomes that count as failures, one for each test.
    #[serde(rename = "hits")]
    pub failures: Vec<f64>,
}

/// One entry of the endpoint list that was last received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpointRecord {
    /// Time of observation: when discovery last confirmed the list.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Version of the list.
    #[serde(rename = "version")]
    pub list_version: u64,
    /// The listed process.
    pub process: Process,
    /// Its availability zone.
    pub zone: String,
    /// Its hardware class.
    #[serde(rename = "kind")]
    pub hardware_class: String,
    /// Its cell within the zone.
    pub cell: u64,
    /// Its state in the list.
    pub state: ListedState,
}

/// State of an endpoint in the endpoint list, which contains no removed endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum ListedState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// A stored value that this version does not know; it is written back unchanged.
    Unknown(String),
}

impl ListedState {
    /// Returns the stored value of the state.
    pub fn as_str(&self) -> &str {
        match self {
            ListedState::Ready => "active",
            ListedState::Draining => "leaving",
            ListedState::Unknown(word) => word,
        }
    }
}

impl From<String> for ListedState {
    fn from(word: String) -> ListedState {
        match word.as_str() {
            "active" => ListedState::Ready,
            "leaving" => ListedState::Draining,
            _ => ListedState::Unknown(word),
        }
    }
}

impl From<ListedState> for String {
    fn from(state: ListedState) -> String {
        state.as_str().to_owned()
    }
}
