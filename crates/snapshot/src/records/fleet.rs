//! Records about groups of endpoints: hardware classes, routes, zones and the whole fleet.

use serde::{Deserialize, Serialize};
use tidescale_policy::snapshot::{ClassLatency, RouteLatency, ZoneSlowdownSums};
use tidescale_policy::statistics::{Dispersion, WeightedSum};
use tidescale_policy::types::Timestamp;

use super::stored::{array, unix_micros, zone_pair};

/// Load, slowdown and baseline of the endpoints of one hardware class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HardwareClassRecord {
    /// Time of observation, which the sums are decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Name of the class in the endpoint list.
    #[serde(rename = "kind")]
    pub name: String,
    /// Decaying sum of the requests in flight that its endpoints reported, and number of reports.
    #[serde(with = "array")]
    pub load: WeightedSum,
    /// Decaying sum of the slowdowns (latencies against the route's baseline), and number of
    /// responses.
    #[serde(rename = "pace", with = "array")]
    pub slowdown: WeightedSum,
    /// Decaying sums behind the baseline, which is learned only while no rollout is in progress.
    #[serde(rename = "usual", with = "array")]
    pub baseline: ClassLatency,
}

/// Baseline latency of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Time of observation, which the sums are decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Name of the route; empty for all routes together.
    pub route: String,
    /// Decaying sums behind the baseline.
    #[serde(rename = "usual", with = "array")]
    pub baseline: RouteLatency,
}

/// The fleet's baseline from before the rollout in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetBaselineRecord {
    /// Time of observation: when the baseline was taken.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Number of outcomes when the baseline was taken. Counts decay, so it may be fractional.
    pub outcomes: f64,
    /// Number of slow outcomes among them; only slowness counts as failure in this baseline.
    #[serde(rename = "hits")]
    pub failures: f64,
    /// How unevenly outcomes and failures are distributed over the endpoints.
    #[serde(rename = "spread", with = "array")]
    pub dispersion: Dispersion,
    /// Number of endpoints in service when the baseline was taken.
    #[serde(rename = "machines")]
    pub endpoints: usize,
    /// Attempts per second that this instance made when the baseline was taken.
    #[serde(rename = "sends")]
    pub attempts_per_second: f64,
}

/// Slowdowns of this instance's zone and of the other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// Time of observation, which the sums are decayed to.
    #[serde(rename = "seen", with = "unix_micros")]
    pub observed_at: Timestamp,
    /// Decaying sum of the slowdowns and number of responses, for the instance's own zone and for
    /// all others.
    #[serde(rename = "paces", with = "zone_pair")]
    pub slowdowns: ZoneSlowdownSums,
}
