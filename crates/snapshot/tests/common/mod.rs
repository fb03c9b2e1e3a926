//! A directory of a test's own, and a snapshot with a record of each kind.
#![allow(dead_code, reason = "each test file uses some of it")]

use std::path::{Path, PathBuf};

use tidescale_policy::types::Timestamp;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::records::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, KeyBuildRecord, ListedEndpointRecord,
    ListedState, OutcomeRecord, Process, Record, RejectedBuildRecord, ReportedLoad, RolloutPhase,
    RolloutRecord, RouteRecord, ZonesRecord,
};
use tidescale_snapshot::store::{Opened, Store};

pub struct Guard(PathBuf);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A path at which nothing is yet.
pub fn test_directory(name: &str) -> (PathBuf, Guard) {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let guard = Guard(path.clone());
    let _ = std::fs::remove_dir_all(&path);
    (path, guard)
}

/// The store in a locked directory, and what it held.
pub fn open_store(path: &Path) -> (Store<Directory>, Opened) {
    Store::open(Directory::lock(path).unwrap())
}

/// The file's bytes with their checksum made right again.
pub fn with_right_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes[16..]);
    bytes[12..16].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

pub fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

pub fn process(endpoint: &str, build: u32, started_at: u64) -> Process {
    Process {
        endpoint: endpoint.into(),
        address: "127.0.0.1:5432".into(),
        build,
        started_at: at(started_at),
    }
}

pub fn endpoint_record(
    observed_at: Timestamp,
    slowdown: [f64; 2],
    ejected: bool,
) -> EndpointRecord {
    EndpointRecord {
        observed_at,
        process: process("m1", 7, 5),
        hardware_class: "k".into(),
        slowdown,
        reported_load: ReportedLoad {
            in_flight: 3.0,
            reported_at: observed_at,
        },
        ejected,
    }
}

pub fn snapshot_of_all_kinds() -> Snapshot {
    let observed_at = at(1_700_000_000_000_000);
    let [rollout, key_build, rejected_build] = build_records(observed_at);
    let [endpoint, outcomes, listed_endpoint] = endpoint_records(observed_at);
    let [hardware_class, route, fleet_baseline, zones] = fleet_records(observed_at);
    Snapshot {
        sequence: 5,
        written_at: at(1_700_000_000_000_001),
        records: vec![
            rollout,
            key_build,
            rejected_build,
            endpoint,
            hardware_class,
            route,
            outcomes,
            fleet_baseline,
            zones,
            listed_endpoint,
        ],
        unknown_records: 0,
    }
}

/// The newest build's rollout, a key's build and a rejected build.
fn build_records(observed_at: Timestamp) -> [Record; 3] {
    [
        Record::Rollout(RolloutRecord {
            observed_at,
            build: 7,
            stage: 1,
            phase: RolloutPhase::Canary,
            traffic_cap: 0.25,
            since: at(9),
        }),
        Record::KeyBuild(KeyBuildRecord {
            observed_at,
            key: "k1".into(),
            build: 7,
        }),
        Record::RejectedBuild(RejectedBuildRecord {
            observed_at,
            build: 6,
        }),
    ]
}

/// An endpoint, its outcomes and its entry in the list.
fn endpoint_records(observed_at: Timestamp) -> [Record; 3] {
    [
        Record::Endpoint(endpoint_record(observed_at, [8.5, 4.0], true)),
        Record::Outcomes(OutcomeRecord {
            observed_at,
            process: process("m1", 7, 5),
            build: 7,
            outcomes: vec![4.0, 3.0, 2.0, 1.0],
            failures: vec![1.0, 0.0, 0.5, 0.25],
        }),
        Record::ListedEndpoint(ListedEndpointRecord {
            observed_at,
            list_version: 41,
            process: process("m1", 7, 5),
            zone: "z1".into(),
            hardware_class: "k".into(),
            cell: 3,
            state: ListedState::Draining,
        }),
    ]
}

/// A hardware class, a route, the fleet's baseline and the zones.
fn fleet_records(observed_at: Timestamp) -> [Record; 4] {
    [
        Record::HardwareClass(HardwareClassRecord {
            observed_at,
            name: "k".into(),
            load: [3.0, 2.0],
            slowdown: [1.0, 1.5],
            baseline: [1.0, 2.0, 3.0],
        }),
        Record::Route(RouteRecord {
            observed_at,
            route: "look".into(),
            baseline: [9000.0, 4.0, 4.0],
        }),
        Record::FleetBaseline(FleetBaselineRecord {
            observed_at,
            outcomes: 120.0,
            failures: 3.0,
            spread: [1.0, 2.0, 3.0],
            endpoints: 9,
            attempts_per_second: 80.0,
        }),
        Record::Zones(ZonesRecord {
            observed_at,
            slowdowns: [[1.0, 2.0], [3.0, 4.0]],
        }),
    ]
}
