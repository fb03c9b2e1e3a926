//! What a snapshot costs: its bytes, the time to write and read it, and what an instance that starts with it needs.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::{BuildNumber, Timestamp};
use tidescale_snapshot::format::{self, Snapshot};
use tidescale_snapshot::records::{
    EndpointRecord, ListedEndpointRecord, ListedState, OutcomeRecord, Process, Record, ReportedLoad,
};

use super::Environment;
use super::configuration::{Configuration, ListedEndpoint, SnapshotSettings, endpoint_list};
use super::instance::{Launch, ProxyInstance, free_address, own_address};
use super::scenario::{BASELINE_BUILD, RELEASED};
use crate::error::ExperimentError;

/// How long an instance runs until its log is read: some saves.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Where the log has the longest time that gathering a snapshot has held up the loop.
const LONGEST_SLICE: &str = "longest_slice_us: ";
/// Where the log has the longest iteration of the event loop.
const LONGEST_ITERATION: &str = "longest_turn_us: ";

/// What a snapshot of so many endpoints costs.
pub(super) struct SnapshotCost {
    /// Endpoints that it knows of.
    pub(super) endpoints: usize,
    /// Its size.
    pub(super) bytes: f64,
    /// Milliseconds to encode it.
    pub(super) encode_ms: f64,
    /// Milliseconds to decode it.
    pub(super) decode_ms: f64,
    /// Milliseconds until an instance listens that starts with it.
    pub(super) start_up_with_ms: f64,
    /// The same without a snapshot.
    pub(super) start_up_without_ms: f64,
    /// Microseconds that gathering a snapshot has held up the loop at the longest.
    pub(super) longest_slice_us: f64,
    /// Microseconds of the longest iteration of the event loop, with snapshots.
    pub(super) longest_iteration_with_us: f64,
    /// The same without.
    pub(super) longest_iteration_without_us: f64,
}

/// A snapshot's bytes and the time that they took.
struct Encoded {
    bytes: Vec<u8>,
    encode_time: Duration,
    decode_time: Duration,
}

impl SnapshotCost {
    /// Measures it. The instances listen on the address of the run with this number.
    pub(super) fn measure(
        endpoints: usize,
        address_number: u64,
        environment: &Environment,
    ) -> Result<SnapshotCost, ExperimentError> {
        let dir = environment.dir.join(format!("size-{endpoints}"));
        fs::create_dir_all(&dir).map_err(ExperimentError::at(&dir))?;
        let encoded = Encoded::measure(endpoints)?;
        let listen = own_address(address_number)?;
        let configuration = write_configuration(endpoints, listen, &dir)?;
        let folder = dir.join("memory");
        let operators_file = SnapshotSettings {
            folder: &folder,
            interval: "100 ms",
            stop_within: Some("2 s"),
        }
        .write(&dir)?;
        let mut launch = Launch {
            program: &environment.program,
            configuration: &configuration,
            operators_file: None,
            listen,
        };
        let without = InstanceRun::measure(&launch)?;
        save_snapshot(&folder, &encoded.bytes)?;
        launch.operators_file = Some(operators_file);
        let with = InstanceRun::measure(&launch)?;
        // What is left of the folder does no harm, and must not hide the result.
        let _ = fs::remove_dir_all(&dir);
        Ok(SnapshotCost {
            endpoints,
            bytes: encoded.bytes.len() as f64,
            encode_ms: milliseconds(encoded.encode_time),
            decode_ms: milliseconds(encoded.decode_time),
            start_up_with_ms: milliseconds(with.start_up_time),
            start_up_without_ms: milliseconds(without.start_up_time),
            longest_slice_us: logged_figure(&with.log, LONGEST_SLICE)?,
            longest_iteration_with_us: logged_figure(&with.log, LONGEST_ITERATION)?,
            longest_iteration_without_us: logged_figure(&without.log, LONGEST_ITERATION)?,
        })
    }
}

/// An instance that ran for [`RUN_TIME`].
struct InstanceRun {
    start_up_time: Duration,
    log: String,
}

impl InstanceRun {
    fn measure(launch: &Launch) -> Result<InstanceRun, ExperimentError> {
        let instance = ProxyInstance::start(launch)?;
        Ok(InstanceRun {
            start_up_time: instance.start_up_time,
            log: instance.stop_after(RUN_TIME)?,
        })
    }
}

impl Encoded {
    fn measure(endpoints: usize) -> Result<Encoded, ExperimentError> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let now = Timestamp::ZERO + since_epoch;
        let records: Vec<Record> = (0..endpoints)
            .flat_map(|index| records_of(index, now))
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
        Ok(Encoded {
            bytes,
            encode_time,
            decode_time: started_at.elapsed(),
        })
    }
}

/// What a snapshot keeps of one endpoint: its entry in the list, its latency and load, and its outcomes.
fn records_of(index: usize, observed_at: Timestamp) -> [Record; 3] {
    let process = Process {
        endpoint: endpoint_name(index),
        address: endpoint_address(index).to_string(),
        build: BuildNumber::new(BASELINE_BUILD),
        started_at: Timestamp::ZERO,
    };
    let listed = ListedEndpointRecord {
        observed_at,
        list_version: 7,
        process: process.clone(),
        zone: "z1".to_string(),
        hardware_class: "k".to_string(),
        cell: 0,
        state: ListedState::Ready,
    };
    let endpoint = EndpointRecord {
        observed_at,
        process: process.clone(),
        hardware_class: "k".to_string(),
        slowdown: WeightedSum {
            sum: 3.5,
            weight: 4.0,
        },
        reported_load: ReportedLoad {
            in_flight: 2.0,
            reported_at: observed_at,
        },
        ejected: false,
    };
    let outcomes = OutcomeRecord {
        observed_at,
        process,
        build: BuildNumber::new(BASELINE_BUILD),
        outcomes: vec![4.0, 3.0, 5.0, 2.0],
        failures: vec![0.1, 0.0, 0.2, 0.3],
    };
    [
        Record::ListedEndpoint(listed),
        Record::Endpoint(endpoint),
        Record::Outcomes(outcomes),
    ]
}

fn endpoint_name(index: usize) -> String {
    format!("s-{index:08x}")
}

/// An address on loopback where nothing listens.
fn endpoint_address(index: usize) -> SocketAddr {
    const PER_BYTE: usize = 250;
    const PORT: u16 = 5432;
    let third = (index / PER_BYTE) as u8;
    let fourth = (1 + index % PER_BYTE) as u8;
    SocketAddr::from(([127, 10, third, fourth], PORT))
}

/// Writes the configuration of an instance that knows the endpoints, and reaches neither discovery nor the platform.
fn write_configuration(
    endpoints: usize,
    listen: SocketAddr,
    dir: &Path,
) -> Result<std::path::PathBuf, ExperimentError> {
    let entries: Vec<_> = (0..endpoints)
        .map(|index| {
            ListedEndpoint {
                name: &endpoint_name(index),
                address: endpoint_address(index),
                build: BASELINE_BUILD,
                state: "active",
            }
            .to_json()
        })
        .collect();
    let closed = free_address(Ipv4Addr::LOCALHOST)?;
    let configuration = Configuration {
        listen,
        discovery: closed,
        platform: closed,
        known_endpoints: &endpoint_list(&entries),
        announcement: RELEASED,
        seed: 1,
    };
    configuration.write(dir)
}

fn save_snapshot(folder: &Path, bytes: &[u8]) -> Result<(), ExperimentError> {
    fs::create_dir_all(folder).map_err(ExperimentError::at(folder))?;
    let path = folder.join("memory.0");
    fs::write(&path, bytes).map_err(ExperimentError::at(&path))
}

/// The first whole number behind this name in a log.
fn logged_figure(log: &str, name: &'static str) -> Result<f64, ExperimentError> {
    log.split(name)
        .nth(1)
        .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
        .and_then(|digits| digits.parse().ok())
        .ok_or(ExperimentError::FigureNotLogged(name))
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
