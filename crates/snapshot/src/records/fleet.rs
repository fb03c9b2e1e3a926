//! Records of what is common to many endpoints: hardware classes, routes, zones and the whole fleet.

use serde::{Deserialize, Serialize};
use tidescale_policy::types::Timestamp;

use super::unix_micros;

/// What was learned of the endpoints of one hardware class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HardwareClassRecord {
    /// When it was observed: the time that the sums have decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The class as the endpoint list names it.
    #[serde(rename = "kind")]
    pub name: String,
    /// Decaying sums: requests in flight that its endpoints reported, and reports.
    pub load: [f64; 2],
    /// Decaying sums: response times against the route's baseline, and responses.
    #[serde(rename = "pace")]
    pub slowdown: [f64; 2],
    /// Decaying sums before a rollout: response times against the baseline, requests in flight together with the one
    /// answered, and responses.
    #[serde(rename = "usual")]
    pub baseline: [f64; 3],
}

/// Baseline latency of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// When it was observed: the time that the sums have decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// The route's name; empty for all routes together.
    pub route: String,
    /// Decaying sums: response time in microseconds, cost, responses.
    #[serde(rename = "usual")]
    pub baseline: [f64; 3],
}

/// The fleet before the rollout that goes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetBaselineRecord {
    /// When the baseline was taken.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Outcomes.
    pub outcomes: f64,
    /// Slow ones among them.
    #[serde(rename = "hits")]
    pub failures: f64,
    /// Sums over the endpoints: failures squared, failures times outcomes, outcomes squared.
    pub spread: [f64; 3],
    /// Endpoints in service.
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
    /// Decaying sums in the own zone, then in others: response times against the baseline, and responses.
    #[serde(rename = "paces")]
    pub slowdowns: [[f64; 2]; 2],
}
