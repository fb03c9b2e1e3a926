//! Test fixtures: temporary directories, example records, and a snapshot with every kind of record.
#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::ops::Range;
use std::path::{Path, PathBuf};

use tidescale_policy::snapshot::{ByZone, ClassLatency, RouteLatency};
use tidescale_policy::statistics::{Dispersion, WeightedSum};
use tidescale_policy::types::{BuildNumber, StageIndex, Timestamp};
use tidescale_snapshot::crash_history::records_of;
use tidescale_snapshot::directory::Directory;
use tidescale_snapshot::format::{Snapshot, encode};
use tidescale_snapshot::records::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, KeyBuildRecord, ListedEndpointRecord,
    ListedState, OutcomeRecord, Process, Record, RejectedBuildRecord, ReportedLoad, RolloutPhase,
    RolloutRecord, RouteRecord, ZonesRecord,
};
use tidescale_snapshot::store::{Store, StoreContents};

/// Position of the checksum in the header. It covers all bytes that follow it.
const CHECKSUM_FIELD: Range<usize> = 12..16;

/// Time of observation of the example records.
pub const OBSERVED_AT: Timestamp = Timestamp::from_micros(1_700_000_000 * 1_000_000);

/// The build that the endpoint of the example records runs.
pub const BUILD: BuildNumber = BuildNumber::new(7);

/// A path that only one test uses, removed with everything in it when the value is dropped.
pub struct TestDirectory {
    pub path: PathBuf,
}

impl TestDirectory {
    /// A path at which nothing exists yet.
    pub fn new(name: &str) -> TestDirectory {
        let file_name = format!("{name}-{}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file_name);
        let _ = std::fs::remove_dir_all(&path);
        TestDirectory { path }
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Locks the directory and opens its store. Returns the store and what was read from it.
pub fn open_store(path: &Path) -> (Store<Directory>, StoreContents) {
    Store::open(Directory::lock(path).unwrap())
}

/// The bytes of the file with the checksum recomputed.
pub fn with_valid_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes[CHECKSUM_FIELD.end..]);
    bytes[CHECKSUM_FIELD].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// The bytes of a snapshot file with the records that `records_of` returns for the number.
pub fn encoded_snapshot(sequence: u64, number: u64) -> Vec<u8> {
    encode(&Snapshot {
        sequence,
        written_at: at(number),
        records: records_of(number),
        unknown_records: 0,
    })
}

pub fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

pub fn weighted_sum(sum: f64, weight: f64) -> WeightedSum {
    WeightedSum { sum, weight }
}

/// The process of endpoint `m1`.
pub fn process() -> Process {
    Process {
        endpoint: "m1".into(),
        address: "127.0.0.1:5432".into(),
        build: BUILD,
        started_at: at(5),
    }
}

/// An ejected endpoint.
pub fn endpoint_record() -> EndpointRecord {
    EndpointRecord {
        observed_at: OBSERVED_AT,
        process: process(),
        hardware_class: "k".into(),
        slowdown: weighted_sum(8.5, 4.0),
        reported_load: ReportedLoad {
            in_flight: 3.0,
            reported_at: OBSERVED_AT,
        },
        ejected: true,
    }
}

pub fn outcome_record() -> OutcomeRecord {
    OutcomeRecord {
        observed_at: OBSERVED_AT,
        process: process(),
        build: BUILD,
        outcomes: vec![4.0, 3.0, 2.0, 1.0],
        failures: vec![1.0, 0.0, 0.5, 0.25],
    }
}

pub fn route_record() -> RouteRecord {
    RouteRecord {
        observed_at: OBSERVED_AT,
        route: "look".into(),
        baseline: RouteLatency {
            latency: 9000.0,
            cost: 4.0,
            responses: 4.0,
        },
    }
}

pub fn fleet_baseline_record() -> FleetBaselineRecord {
    FleetBaselineRecord {
        observed_at: OBSERVED_AT,
        outcomes: 120.0,
        failures: 3.0,
        dispersion: Dispersion {
            failures_squared: 1.0,
            failures_times_outcomes: 2.0,
            outcomes_squared: 3.0,
        },
        endpoints: 9,
        attempts_per_second: 80.0,
    }
}

pub fn zones_record() -> ZonesRecord {
    ZonesRecord {
        observed_at: OBSERVED_AT,
        slowdowns: ByZone {
            own: weighted_sum(1.0, 2.0),
            other: weighted_sum(3.0, 4.0),
        },
    }
}

/// The snapshot that the file `version-1.memory` contains.
pub fn snapshot_of_all_kinds() -> Snapshot {
    let records = [build_records(), fleet_and_endpoint_records()];
    Snapshot {
        sequence: 5,
        written_at: OBSERVED_AT + std::time::Duration::from_micros(1),
        records: records.concat(),
        unknown_records: 0,
    }
}

/// The newest build's rollout, the build of an idempotency key, and a rejected build.
fn build_records() -> Vec<Record> {
    vec![
        Record::Rollout(RolloutRecord {
            observed_at: OBSERVED_AT,
            build: BUILD,
            stage: StageIndex::new(1),
            phase: RolloutPhase::Canary,
            traffic_cap: 0.25,
            since: at(9),
        }),
        Record::KeyBuild(KeyBuildRecord {
            observed_at: OBSERVED_AT,
            key: "k1".into(),
            build: BUILD,
        }),
        Record::RejectedBuild(RejectedBuildRecord {
            observed_at: OBSERVED_AT,
            build: BuildNumber::new(6),
        }),
    ]
}

/// An endpoint with its outcomes and its entry in the endpoint list, and records of the fleet.
fn fleet_and_endpoint_records() -> Vec<Record> {
    vec![
        Record::Endpoint(endpoint_record()),
        Record::HardwareClass(HardwareClassRecord {
            observed_at: OBSERVED_AT,
            name: "k".into(),
            load: weighted_sum(3.0, 2.0),
            slowdown: weighted_sum(1.0, 1.5),
            baseline: ClassLatency {
                slowdown: 1.0,
                load: 2.0,
                responses: 3.0,
            },
        }),
        Record::Route(route_record()),
        Record::Outcomes(outcome_record()),
        Record::FleetBaseline(fleet_baseline_record()),
        Record::Zones(zones_record()),
        Record::ListedEndpoint(ListedEndpointRecord {
            observed_at: OBSERVED_AT,
            list_version: 41,
            process: process(),
            zone: "z1".into(),
            hardware_class: "k".into(),
            cell: 3,
            state: ListedState::Draining,
        }),
    ]
}
