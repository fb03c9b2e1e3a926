//! The records that a snapshot consists of, each with its time of observation.
//!
//! Times are stored as whole microseconds since the Unix epoch. Decaying sums are stored as the
//! policy holds them, decayed to the record's time of observation, so that a reader can continue
//! the decay from that time.
//!
//! Compatibility rules: a field keeps its stored name even if it is renamed in the code
//! (`#[serde(rename = "…")]`), and fields keep their order. Every field added after version 1 has a
//! default, and readers skip unknown fields, so that older and newer programs can read each other's
//! files as long as the format version is the same.

mod endpoint;
mod fleet;
mod rollout;
mod stored;

use serde::{Deserialize, Serialize};
use tidescale_policy::types::Timestamp;

pub use endpoint::{
    EndpointRecord, ListedEndpointRecord, ListedState, OutcomeRecord, Process, ReportedLoad,
};
pub use fleet::{FleetBaselineRecord, HardwareClassRecord, RouteRecord, ZonesRecord};
pub use rollout::{KeyBuildRecord, RejectedBuildRecord, RolloutPhase, RolloutRecord};

/// A record of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Slowdown, load and ejection of one endpoint.
    #[serde(rename = "Machine")]
    Endpoint(EndpointRecord),
    /// Load, slowdown and baseline of one hardware class.
    #[serde(rename = "Kind")]
    HardwareClass(HardwareClassRecord),
    /// Baseline latency of one route.
    Route(RouteRecord),
    /// Attempt outcomes of one endpoint under one build.
    #[serde(rename = "Evidence")]
    Outcomes(OutcomeRecord),
    /// A build that was rejected.
    #[serde(rename = "Condemned")]
    RejectedBuild(RejectedBuildRecord),
    /// The fleet's baseline from before the rollout.
    #[serde(rename = "Calm")]
    FleetBaseline(FleetBaselineRecord),
    /// Slowdowns of this instance's zone and of the other zones.
    Zones(ZonesRecord),
    /// The lowest build that requests with an idempotency key may be sent to.
    #[serde(rename = "Key")]
    KeyBuild(KeyBuildRecord),
    /// One entry of the endpoint list.
    #[serde(rename = "Listed")]
    ListedEndpoint(ListedEndpointRecord),
    /// The state of the newest build's rollout.
    #[serde(rename = "News")]
    Rollout(RolloutRecord),
}

impl Record {
    /// Returns the record's time of observation.
    pub fn observed_at(&self) -> Timestamp {
        match self {
            Record::Endpoint(record) => record.observed_at,
            Record::HardwareClass(record) => record.observed_at,
            Record::Route(record) => record.observed_at,
            Record::Outcomes(record) => record.observed_at,
            Record::RejectedBuild(record) => record.observed_at,
            Record::FleetBaseline(record) => record.observed_at,
            Record::Zones(record) => record.observed_at,
            Record::KeyBuild(record) => record.observed_at,
            Record::ListedEndpoint(record) => record.observed_at,
            Record::Rollout(record) => record.observed_at,
        }
    }

    /// Returns the process whose behavior the record describes; `None` for other kinds of records.
    pub fn observed_process(&self) -> Option<&Process> {
        match self {
            Record::Endpoint(record) => Some(&record.process),
            Record::Outcomes(record) => Some(&record.process),
            _ => None,
        }
    }

    /// Returns the kind of record, as displayed to operators.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Record::Endpoint(_) => "endpoint",
            Record::HardwareClass(_) => "hardware class",
            Record::Route(_) => "route",
            Record::Outcomes(_) => "outcomes",
            Record::RejectedBuild(_) => "rejected build",
            Record::FleetBaseline(_) => "fleet baseline",
            Record::Zones(_) => "zones",
            Record::KeyBuild(_) => "key build",
            Record::ListedEndpoint(_) => "listed endpoint",
            Record::Rollout(_) => "rollout",
        }
    }

    /// Returns what the record describes, as displayed to operators.
    pub fn subject(&self) -> String {
        match self {
            Record::Endpoint(record) => {
                let Process {
                    endpoint, build, ..
                } = &record.process;
                format!("{endpoint} build {build}")
            }
            Record::HardwareClass(record) => record.name.clone(),
            Record::Route(record) if record.route.is_empty() => "all".into(),
            Record::Route(record) => record.route.clone(),
            Record::Outcomes(record) => {
                format!("build {} on {}", record.build, record.process.endpoint)
            }
            Record::RejectedBuild(record) => format!("build {}", record.build),
            Record::FleetBaseline(record) => format!("{} endpoints", record.endpoints),
            Record::Zones(_) => "own and others".into(),
            Record::KeyBuild(record) => format!("{} at build {}", record.key, record.build),
            Record::ListedEndpoint(record) => {
                format!("{} {}", record.process.endpoint, record.state.as_str())
            }
            Record::Rollout(record) => {
                format!("build {} {}", record.build, record.phase.as_str())
            }
        }
    }
}
