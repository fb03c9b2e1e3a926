//! The cost of a snapshot: its size, the time to encode and decode it, and its effect on the
//! start-up and the event loop of an instance.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::format::{self, Snapshot};
use tidescale_snapshot::records::{
    EndpointRecord, ListedEndpointRecord, ListedState as RecordedState, OutcomeRecord, Process,
    Record, ReportedLoad,
};

use super::Environment;
use super::configuration::{
    Configuration, ListedEndpoint, ListedState, SnapshotSettings, endpoint_list,
};
use super::instance::{InstanceOptions, ProxyInstance, RunNumber, free_address, run_address};
use super::scenario::{BASELINE_BUILD, ListPosition, RELEASED};
use crate::error::ExperimentError;
use crate::units::milliseconds;

/// How long an instance runs; long enough for several saves.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Slowdown that the snapshots store for each endpoint.
const SLOWDOWN: WeightedSum = WeightedSum {
    sum: 3.5,
    weight: 4.0,
};
/// Log key of the longest time for which the collection of a snapshot blocked the event loop.
const LONGEST_SLICE_KEY: &str = "longest_slice_us: ";
/// Log key of the longest iteration of the event loop.
const LONGEST_ITERATION_KEY: &str = "longest_turn_us: ";

/// The cost of a snapshot of a given number of endpoints.
pub(super) struct SnapshotCost {
    /// Number of endpoints in the snapshot.
    pub(super) endpoints: usize,
    /// Size of the snapshot in bytes.
    pub(super) bytes: f64,
    /// Milliseconds to encode the snapshot.
    pub(super) encode_ms: f64,
    /// Milliseconds to decode the snapshot.
    pub(super) decode_ms: f64,
    /// Milliseconds until an instance that starts with the snapshot listens.
    pub(super) start_up_with_ms: f64,
    /// Milliseconds until an instance that starts without a snapshot listens.
    pub(super) start_up_without_ms: f64,
    /// Microseconds of the longest time for which the collection of a snapshot blocked the event
    /// loop.
    pub(super) longest_slice_us: f64,
    /// Microseconds of the longest iteration of the event loop, with snapshots.
    pub(super) longest_iteration_with_us: f64,
    /// Microseconds of the longest iteration of the event loop, without snapshots.
    pub(super) longest_iteration_without_us: f64,
}

/// An encoded snapshot, and the times to encode and decode it.
struct EncodedSnapshot {
    bytes: Vec<u8>,
    encode_time: Duration,
    decode_time: Duration,
}

impl SnapshotCost {
    /// Measures the cost of a snapshot of this many endpoints. The instances listen on the address
    /// of the run with this number.
    pub(super) fn measure(
        endpoints: usize,
        run: RunNumber,
        environment: &Environment,
    ) -> Result<SnapshotCost, ExperimentError> {
        let dir = environment.dir.join(format!("size-{endpoints}"));
        fs::create_dir_all(&dir).map_err(ExperimentError::at(&dir))?;
        let encoded = EncodedSnapshot::measure(endpoints)?;
        let listen = run_address(run)?;
        let configuration = write_configuration(endpoints, listen, &dir)?;
        let snapshot_dir = dir.join("memory");
        let operators_file = SnapshotSettings {
            directory: &snapshot_dir,
            interval: "100 ms",
            stop_within: Some("2 s"),
        }
        .write(&dir)?;
        let mut options = InstanceOptions {
            program: &environment.program,
            configuration: &configuration,
            operators_file: None,
            listen,
        };
        let without = InstanceRun::measure(&options)?;
        save_snapshot(&snapshot_dir, &encoded.bytes)?;
        options.operators_file = Some(operators_file);
        let with = InstanceRun::measure(&options)?;
        // Files that are not removed do no harm, and an error here must not hide the result.
        let _ = fs::remove_dir_all(&dir);
        Ok(SnapshotCost {
            endpoints,
            bytes: encoded.bytes.len() as f64,
            encode_ms: milliseconds(encoded.encode_time),
            decode_ms: milliseconds(encoded.decode_time),
            start_up_with_ms: milliseconds(with.start_up_time),
            start_up_without_ms: milliseconds(without.start_up_time),
            longest_slice_us: logged_metric(&with.log, LONGEST_SLICE_KEY)?,
            longest_iteration_with_us: logged_metric(&with.log, LONGEST_ITERATION_KEY)?,
            longest_iteration_without_us: logged_metric(&without.log, LONGEST_ITERATION_KEY)?,
        })
    }
}

/// Start-up time and log of an instance that ran for [`RUN_TIME`].
struct InstanceRun {
    start_up_time: Duration,
    log: String,
}

impl InstanceRun {
    fn measure(options: &InstanceOptions) -> Result<InstanceRun, ExperimentError> {
        let instance = ProxyInstance::start(options)?;
        Ok(InstanceRun {
            start_up_time: instance.start_up_time,
            log: instance.stop_after(RUN_TIME)?,
        })
    }
}

impl EncodedSnapshot {
    fn measure(endpoints: usize) -> Result<EncodedSnapshot, ExperimentError> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let now = Timestamp::ZERO + since_epoch;
        let records: Vec<Record> = (0..endpoints)
            .flat_map(|index| records_of(ListPosition(index), now))
            .collect();
        let started_at = Instant::now();
        let bytes = format::encode(&Snapshot {
            sequence: 1,
            written_at: now,
            records,
            unknown_records: 0,
        });
        let encode_time = started_at.elapsed();
        let started_at = Instant::now();
        format::decode(&bytes)
            .map_err(|source| ExperimentError::SnapshotUnreadable { endpoints, source })?;
        Ok(EncodedSnapshot {
            bytes,
            encode_time,
            decode_time: started_at.elapsed(),
        })
    }
}

/// Returns the records of one endpoint: list entry, latency and load, and outcomes.
fn records_of(position: ListPosition, observed_at: Timestamp) -> [Record; 3] {
    let process = Process {
        endpoint: endpoint_name(position),
        address: endpoint_address(position).to_string(),
        build: BASELINE_BUILD,
        started_at: Timestamp::ZERO,
    };
    let listed = ListedEndpointRecord {
        observed_at,
        list_version: 7,
        process: process.clone(),
        zone: "z1".to_string(),
        hardware_class: "k".to_string(),
        cell: 0,
        state: RecordedState::Ready,
    };
    let endpoint = EndpointRecord {
        observed_at,
        process: process.clone(),
        hardware_class: "k".to_string(),
        slowdown: SLOWDOWN,
        reported_load: ReportedLoad {
            in_flight: 2.0,
            reported_at: observed_at,
        },
        ejected: false,
    };
    let outcomes = OutcomeRecord {
        observed_at,
        process,
        build: BASELINE_BUILD,
        outcomes: vec![4.0, 3.0, 5.0, 2.0],
        failures: vec![0.1, 0.0, 0.2, 0.3],
    };
    [
        Record::ListedEndpoint(listed),
        Record::Endpoint(endpoint),
        Record::Outcomes(outcomes),
    ]
}

fn endpoint_name(position: ListPosition) -> String {
    format!("s-{:08x}", position.0)
}

/// Returns the loopback address of an endpoint; nothing listens on it.
fn endpoint_address(position: ListPosition) -> SocketAddr {
    const ADDRESSES_PER_THIRD_BYTE: usize = 250;
    const PORT: u16 = 5432;
    let ListPosition(index) = position;
    let third_byte = (index / ADDRESSES_PER_THIRD_BYTE) as u8;
    let fourth_byte = (1 + index % ADDRESSES_PER_THIRD_BYTE) as u8;
    SocketAddr::from(([127, 10, third_byte, fourth_byte], PORT))
}

/// Writes the configuration of an instance that starts with the endpoint list and can reach neither
/// discovery nor the platform.
fn write_configuration(
    endpoints: usize,
    listen: SocketAddr,
    dir: &Path,
) -> Result<PathBuf, ExperimentError> {
    let entries: Vec<_> = (0..endpoints)
        .map(ListPosition)
        .map(|position| {
            ListedEndpoint {
                name: &endpoint_name(position),
                address: endpoint_address(position),
                build: BASELINE_BUILD,
                state: ListedState::Ready,
            }
            .to_json()
        })
        .collect();
    let unreachable = free_address(Ipv4Addr::LOCALHOST)?;
    let configuration = Configuration {
        listen,
        discovery: unreachable,
        platform: unreachable,
        known_endpoints: &endpoint_list(&entries),
        announcement: RELEASED,
        seed: 1,
    };
    configuration.write(dir)
}

fn save_snapshot(dir: &Path, bytes: &[u8]) -> Result<(), ExperimentError> {
    fs::create_dir_all(dir).map_err(ExperimentError::at(dir))?;
    let path = dir.join("memory.0");
    fs::write(&path, bytes).map_err(ExperimentError::at(&path))
}

/// Returns the whole number after the first occurrence of a key in a log.
fn logged_metric(log: &str, key: &'static str) -> Result<f64, ExperimentError> {
    log.split(key)
        .nth(1)
        .and_then(|rest| {
            rest.split(|character: char| !character.is_ascii_digit())
                .next()
        })
        .and_then(|digits| digits.parse().ok())
        .ok_or(ExperimentError::MetricNotLogged(key))
}
