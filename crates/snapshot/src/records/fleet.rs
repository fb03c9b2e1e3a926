//! Records of what many endpoints have in common: hardware classes, routes, zones and the whole
//! fleet.

use serde::{Deserialize, Serialize};
use tidescale_policy::snapshot::{ClassLatency, RouteLatency, ZoneSlowdownSums};
use tidescale_policy::statistics::{Dispersion, WeightedSum};
use tidescale_policy::types::Timestamp;

use super::stored::{array, unix_micros, zone_pair};

/// What was learned of the endpoints of one hardware class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HardwareClassRecord {
    /// When it was observed: the time that the sums have decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The class as the endpoint list names it.
    #[serde(rename = "kind")]
    pub name: String,
    /// Decaying sum of the requests in flight that its endpoints reported, and number of reports.
    #[serde(with = "array")]
    pub load: WeightedSum,
    /// Decaying sum of the slowdowns (latencies against the route's baseline), and number of
    /// responses.
    #[serde(rename = "pace", with = "array")]
    pub slowdown: WeightedSum,
    /// Decaying sums from before a rollout, when baselines are learned.
    #[serde(rename = "usual", with = "array")]
    pub baseline: ClassLatency,
}

/// Baseline latency of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// When it was observed: the time that the sums have decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The route's name; empty for all routes together.
    pub route: String,
    /// Decaying sums behind the baseline.
    #[serde(rename = "usual", with = "array")]
    pub baseline: RouteLatency,
}

/// The fleet before the rollout that is in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetBaselineRecord {
    /// When the baseline was taken.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Number of outcomes.
    pub outcomes: f64,
    /// Number of slow ones among them.
    #[serde(rename = "hits")]
    pub failures: f64,
    /// How unevenly both are spread over the endpoints.
    #[serde(rename = "spread", with = "array")]
    pub dispersion: Dispersion,
    /// Number of endpoints in service.
    #[serde(rename = "machines")]
    pub endpoints: usize,
    /// Attempts a second that this instance made.
    #[serde(rename = "sends")]
    pub attempts_per_second: f64,
}

/// How this instance's zone compares with the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// When it was observed: the time that the sums have decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Decaying sum of the slowdowns and number of responses, of the own zone and of all others.
    #[serde(rename = "paces", with = "zone_pair")]
    pub slowdowns: ZoneSlowdownSums,
}
