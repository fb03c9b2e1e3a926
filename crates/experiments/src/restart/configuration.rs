//! The files with which a proxy instance is started: its configuration and the operators' file. The
//! operators' file turns on what an installation uses beyond the platform's settings; here, the
//! snapshot directory, the interval between saves and the time limit of the last save.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use tidescale_policy::types::BuildNumber;

use crate::error::ExperimentError;
use crate::stand_ins::Announcement;

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint accepts no new requests.
    Draining,
}

impl ListedState {
    /// Returns the word for the state in discovery's protocol.
    fn protocol_word(self) -> &'static str {
        match self {
            ListedState::Ready => "active",
            ListedState::Draining => "leaving",
        }
    }
}

/// An entry of the endpoint list.
pub(super) struct ListedEndpoint<'a> {
    pub(super) name: &'a str,
    /// Address on which the endpoint listens.
    pub(super) address: SocketAddr,
    /// Build that the endpoint runs.
    pub(super) build: BuildNumber,
    pub(super) state: ListedState,
}

impl ListedEndpoint<'_> {
    /// Encodes the entry in discovery's protocol.
    pub(super) fn to_json(&self) -> Value {
        json!({
            "id": self.name, "addr": self.address.to_string(), "zone": "z1", "kind": "k", "cell": 0,
            "state": self.state.protocol_word(), "weight": 1.0, "started_ms": 0, "image_id": self.build.get(),
        })
    }
}

/// Encodes a complete endpoint list in discovery's protocol.
pub(super) fn endpoint_list(entries: &[Value]) -> Value {
    json!({"version": 7, "full": true, "servers": entries})
}

/// The configuration of a proxy instance in a small deployment.
pub(super) struct Configuration<'a> {
    /// Address on which the instance listens.
    pub(super) listen: SocketAddr,
    /// Address of discovery.
    pub(super) discovery: SocketAddr,
    /// Address of the platform.
    pub(super) platform: SocketAddr,
    /// Endpoint list at the start of the instance.
    pub(super) known_endpoints: &'a Value,
    /// State of the rollout at the start of the instance.
    pub(super) announcement: Announcement,
    /// Seed of the instance's random numbers.
    pub(super) seed: u64,
}

impl Configuration<'_> {
    /// Writes the configuration file into a directory and returns its path.
    pub(super) fn write(&self, dir: &Path) -> Result<PathBuf, ExperimentError> {
        let path = dir.join("config.json");
        fs::write(&path, self.to_json().to_string()).map_err(ExperimentError::at(&path))?;
        Ok(path)
    }

    fn to_json(&self) -> Value {
        let Announcement {
            build,
            stage,
            phase,
            traffic_cap,
            age,
        } = self.announcement;
        json!({
            "name": "n0",
            "listen": self.listen.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "pipeline": {
                "address": self.platform.to_string(),
                "news": {"version": build.get(), "step": stage.get(), "status": phase.protocol_word(),
                    "maxWeight": traffic_cap, "observedAgoMs": age.as_millis() as u64},
            },
            "known": self.known_endpoints,
            "settings": settings(),
        })
    }
}

/// Returns the settings, which have one route. Times are in milliseconds.
fn settings() -> Value {
    json!({
        "me": 0, "balancers": 1, "zone": "z1", "zones": ["z1"], "parties": [],
        "classes": [{"name": "look", "idempotency": "retryable", "target": 200.0, "deadline": 1200.0,
            "value": 1.0}],
        "membership_mode": "push",
        "tariffs": {"cross_zone": 0.0},
        "stats": {"how": "piggyback", "names": ["inflight"]},
        "policy_limits": {"probes": true, "may_cancel": true, "second_copies": true, "max_attempts": 3,
            "retry_after": true, "max_retry_after": 1000.0, "conn_idle": 5000.0, "connect_timeout": 250.0},
        "rules": {"drain_grace": 500.0, "cold_from": 0.3, "cold": 4000.0, "fall_multiple": 2.0, "fall": 1500.0},
        "family_info": {"stage_cap": [0.1, 0.5, 1.0], "allowance": 3.0, "exposure_window": 4000.0,
            "counted_by": "all", "guarded_stages": 0, "forward_only": false, "gate_mode": "automatic",
            "min_dwell": 1000.0, "to_abort": 1, "api_rate": 100.0, "vote_life": 5000.0, "vote_wait": 400.0},
    })
}

/// Where and how often an instance saves its snapshot.
pub(super) struct SnapshotSettings<'a> {
    /// Directory of the snapshots.
    pub(super) directory: &'a Path,
    /// Time between two saves, in the syntax of the operators' file.
    pub(super) interval: &'a str,
    /// Time limit of the last save at shutdown, in the same syntax; `None` leaves the default.
    pub(super) stop_within: Option<&'a str>,
}

impl SnapshotSettings<'_> {
    /// Writes the operators' file into a directory and returns its path.
    pub(super) fn write(&self, dir: &Path) -> Result<PathBuf, ExperimentError> {
        let mut text = format!(
            "[memory]\nfolder = \"{}\"\nevery = \"{}\"\n",
            self.directory.display(),
            self.interval
        );
        if let Some(stop_within) = self.stop_within {
            text += &format!("stop_within = \"{stop_within}\"\n");
        }
        let path = dir.join("operators.toml");
        fs::write(&path, text).map_err(ExperimentError::at(&path))?;
        Ok(path)
    }
}
