//! Compatibility with snapshot files of earlier program versions: every value is decoded as it was
//! written, and the same records are still encoded to the same bytes.

mod common;

use common::{at, weighted_sum};
use tidescale_policy::snapshot::{ByZone, ClassLatency, RouteLatency};
use tidescale_policy::statistics::{Dispersion, WeightedSum};
use tidescale_policy::types::{BuildNumber, StageIndex, Timestamp};
use tidescale_snapshot::format::{Snapshot, decode, encode};
use tidescale_snapshot::records::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, KeyBuildRecord, ListedEndpointRecord,
    ListedState, OutcomeRecord, Process, Record, RejectedBuildRecord, ReportedLoad, RolloutPhase,
    RolloutRecord, RouteRecord, ZonesRecord,
};

/// A snapshot file that the program of commit a3d70cc wrote; see `data/README.md`.
const ALL_RECORD_KINDS: &[u8] = include_bytes!("data/all-record-kinds.memory");

/// A snapshot file that a running proxy instance of the same commit wrote.
const RUNNING_PROXY: &[u8] = include_bytes!("data/running-proxy.memory");
/// The records that the program of that commit decoded from [`RUNNING_PROXY`], one per line.
const RUNNING_PROXY_RECORDS: &str = include_str!("data/running-proxy.records.txt");

/// Time of observation of most records, in microseconds since the Unix epoch.
const OBSERVED_MICROS: u64 = 1_764_684_000_123_456;
const OBSERVED_AT: Timestamp = Timestamp::from_micros(OBSERVED_MICROS);

#[test]
fn file_of_all_record_kinds_is_decoded_to_the_values_that_were_written() {
    let expected = all_record_kinds();

    let decoded = decode(ALL_RECORD_KINDS).unwrap();

    assert_eq!(decoded.sequence, expected.sequence);
    assert_eq!(decoded.written_at, expected.written_at);
    assert_eq!(decoded.unknown_records, 0);
    assert_eq!(decoded.records.len(), expected.records.len());
    for (position, (record, expected)) in decoded.records.iter().zip(&expected.records).enumerate()
    {
        assert_eq!(record, expected, "record {position}");
    }
}

#[test]
fn records_of_all_kinds_are_encoded_to_the_bytes_that_were_written() {
    let encoded = encode(&all_record_kinds());

    assert_eq!(encoded, ALL_RECORD_KINDS);
}

#[test]
fn file_of_all_record_kinds_has_every_kind_at_least_once() {
    let decoded = decode(ALL_RECORD_KINDS).unwrap();

    let mut kinds: Vec<&str> = decoded.records.iter().map(Record::kind_name).collect();
    kinds.sort_unstable();
    kinds.dedup();

    let all_kinds = [
        "endpoint",
        "fleet baseline",
        "hardware class",
        "key build",
        "listed endpoint",
        "outcomes",
        "rejected build",
        "rollout",
        "route",
        "zones",
    ];
    assert_eq!(kinds, all_kinds);
}

#[test]
fn file_of_a_running_proxy_is_decoded_to_the_values_that_were_written() {
    let decoded = decode(RUNNING_PROXY).unwrap();

    assert_eq!(decoded.sequence, 4);
    assert_eq!(decoded.written_at, at(1_796_220_755_853_844));
    assert_eq!(decoded.unknown_records, 0);
    let expected_lines: Vec<&str> = RUNNING_PROXY_RECORDS.lines().collect();
    assert_eq!(decoded.records.len(), expected_lines.len());
    for (record, expected) in decoded.records.iter().zip(expected_lines) {
        assert_eq!(record_line(record), expected);
    }
}

#[test]
fn file_of_a_running_proxy_is_encoded_to_the_bytes_that_were_written() {
    let decoded = decode(RUNNING_PROXY).unwrap();

    assert_eq!(encode(&decoded), RUNNING_PROXY);
}

/// Formats a record like a line of [`RUNNING_PROXY_RECORDS`].
fn record_line(record: &Record) -> String {
    let content = match record {
        Record::Endpoint(record) => endpoint_line(record),
        Record::HardwareClass(record) => hardware_class_line(record),
        Record::Route(record) => {
            let RouteLatency {
                latency,
                cost,
                responses,
            } = record.baseline;
            let baseline = format_numbers(&[latency, cost, responses]);
            format!("route \"{}\" baseline {baseline}", record.route)
        }
        Record::Outcomes(record) => outcomes_line(record),
        Record::RejectedBuild(record) => format!("rejected build {}", record.build),
        Record::Zones(record) => {
            let own = format_sum(record.slowdowns.own);
            let other = format_sum(record.slowdowns.other);
            format!("zones own {own} other {other}")
        }
        Record::ListedEndpoint(record) => listed_endpoint_line(record),
        Record::Rollout(record) => rollout_line(record),
        Record::FleetBaseline(_) | Record::KeyBuild(_) => panic!("not in the file: {record:?}"),
    };
    format!("{} {content}", record.observed_at().as_micros())
}

fn endpoint_line(record: &EndpointRecord) -> String {
    let ReportedLoad {
        in_flight,
        reported_at,
    } = record.reported_load;
    format!(
        "endpoint {} hardware class {} slowdown {} load {in_flight:?} at {} ejected {}",
        format_process(&record.process),
        record.hardware_class,
        format_sum(record.slowdown),
        reported_at.as_micros(),
        record.ejected,
    )
}

fn hardware_class_line(record: &HardwareClassRecord) -> String {
    let ClassLatency {
        slowdown,
        load,
        responses,
    } = record.baseline;
    format!(
        "hardware class {} load {} slowdown {} baseline {}",
        record.name,
        format_sum(record.load),
        format_sum(record.slowdown),
        format_numbers(&[slowdown, load, responses]),
    )
}

fn outcomes_line(record: &OutcomeRecord) -> String {
    format!(
        "outcomes of {} under build {}: {} failures {}",
        format_process(&record.process),
        record.build,
        format_numbers(&record.outcomes),
        format_numbers(&record.failures),
    )
}

fn listed_endpoint_line(record: &ListedEndpointRecord) -> String {
    format!(
        "listed endpoint {} version {} zone {} hardware class {} cell {} state {}",
        format_process(&record.process),
        record.list_version,
        record.zone,
        record.hardware_class,
        record.cell,
        record.state.as_str(),
    )
}

fn rollout_line(record: &RolloutRecord) -> String {
    format!(
        "rollout build {} stage {} phase {} traffic cap {:?} since {}",
        record.build,
        record.stage,
        record.phase.as_str(),
        record.traffic_cap,
        record.since.as_micros(),
    )
}

fn format_process(process: &Process) -> String {
    let Process {
        endpoint,
        address,
        build,
        started_at,
    } = process;
    let started_at = started_at.as_micros();
    format!("{endpoint} {address} build {build} started {started_at}")
}

fn format_sum(sums: WeightedSum) -> String {
    format_numbers(&[sums.sum, sums.weight])
}

fn format_numbers(values: &[f64]) -> String {
    let texts: Vec<String> = values.iter().map(|value| format!("{value:?}")).collect();
    texts.join(" ")
}

/// The snapshot that [`ALL_RECORD_KINDS`] contains.
fn all_record_kinds() -> Snapshot {
    let records = [
        rollout_records(),
        build_records(),
        endpoint_records(),
        baseline_records(),
        fleet_records(),
        listed_endpoint_records(),
    ];
    Snapshot {
        sequence: 1,
        written_at: at(OBSERVED_MICROS + 17),
        records: records.concat(),
        unknown_records: 0,
    }
}

fn canary_record() -> RolloutRecord {
    RolloutRecord {
        observed_at: OBSERVED_AT,
        build: BuildNumber::new(42),
        stage: StageIndex::new(0),
        phase: RolloutPhase::Canary,
        traffic_cap: 0.05,
        since: at(OBSERVED_MICROS - 3_000_000),
    }
}

/// One rollout for each phase, including an unknown one.
fn rollout_records() -> Vec<Record> {
    let rolling_back = RolloutRecord {
        stage: StageIndex::new(3),
        phase: RolloutPhase::RollingBack,
        traffic_cap: 0.0,
        since: Timestamp::ZERO,
        ..canary_record()
    };
    let released = RolloutRecord {
        build: BuildNumber::new(43),
        stage: StageIndex::new(1),
        phase: RolloutPhase::Released,
        traffic_cap: 1.0,
        since: at(5),
        ..canary_record()
    };
    let withdrawn = RolloutRecord {
        build: BuildNumber::new(44),
        stage: StageIndex::new(2),
        phase: RolloutPhase::Withdrawn,
        traffic_cap: 1.0 / 3.0,
        since: OBSERVED_AT,
        ..canary_record()
    };
    let unknown = RolloutRecord {
        build: BuildNumber::new(45),
        stage: StageIndex::new(u32::MAX),
        phase: RolloutPhase::Unknown("paused".into()),
        traffic_cap: 0.25,
        since: Timestamp::MAX,
        ..canary_record()
    };
    [canary_record(), rolling_back, released, withdrawn, unknown]
        .map(Record::Rollout)
        .to_vec()
}

/// Builds of idempotency keys and a rejected build.
fn build_records() -> Vec<Record> {
    vec![
        Record::KeyBuild(KeyBuildRecord {
            observed_at: OBSERVED_AT,
            key: "order-7781".into(),
            build: BuildNumber::new(42),
        }),
        Record::KeyBuild(KeyBuildRecord {
            observed_at: Timestamp::ZERO,
            key: String::new(),
            build: BuildNumber::new(0),
        }),
        Record::RejectedBuild(RejectedBuildRecord {
            observed_at: at(OBSERVED_MICROS - 1),
            build: BuildNumber::new(70_000),
        }),
    ]
}

fn long_running_process() -> Process {
    Process {
        endpoint: "s-00000001".into(),
        address: "10.1.2.3:5432".into(),
        build: BuildNumber::new(41),
        started_at: Timestamp::ZERO,
    }
}

fn restarted_process() -> Process {
    Process {
        endpoint: "shop-zürich-2".into(),
        address: "[fd00::17]:65535".into(),
        build: BuildNumber::new(4_000_000_000),
        started_at: at(OBSERVED_MICROS - 7_250_000),
    }
}

/// Two endpoints and their outcomes.
fn endpoint_records() -> Vec<Record> {
    vec![
        Record::Endpoint(EndpointRecord {
            observed_at: OBSERVED_AT,
            process: long_running_process(),
            hardware_class: "c5.large".into(),
            slowdown: weighted_sum(4.1, 3.9),
            reported_load: ReportedLoad {
                in_flight: 2.0,
                reported_at: at(OBSERVED_MICROS - 40_000),
            },
            ejected: false,
        }),
        Record::Endpoint(EndpointRecord {
            observed_at: OBSERVED_AT,
            process: restarted_process(),
            hardware_class: String::new(),
            slowdown: weighted_sum(0.0, 1e-300),
            reported_load: ReportedLoad {
                in_flight: 12.625,
                reported_at: Timestamp::ZERO,
            },
            ejected: true,
        }),
        Record::Outcomes(OutcomeRecord {
            observed_at: OBSERVED_AT,
            process: long_running_process(),
            build: BuildNumber::new(41),
            outcomes: vec![120.7, 64.0, 0.1, 65_536.0],
            failures: vec![1.5, 0.0, 0.1, 100_000.25],
        }),
        Record::Outcomes(OutcomeRecord {
            observed_at: OBSERVED_AT,
            process: restarted_process(),
            build: BuildNumber::new(42),
            outcomes: vec![],
            failures: vec![],
        }),
    ]
}

/// A hardware class and two routes.
fn baseline_records() -> Vec<Record> {
    vec![
        Record::HardwareClass(HardwareClassRecord {
            observed_at: OBSERVED_AT,
            name: "c5.large".into(),
            load: weighted_sum(17.3, 8.0),
            slowdown: weighted_sum(8.8, 8.4),
            baseline: ClassLatency {
                slowdown: 199.9,
                load: 411.2,
                responses: 200.0,
            },
        }),
        Record::Route(RouteRecord {
            observed_at: OBSERVED_AT,
            route: "search".into(),
            baseline: RouteLatency {
                latency: 1_234_567.8,
                cost: 99.5,
                responses: 98.7,
            },
        }),
        Record::Route(RouteRecord {
            observed_at: OBSERVED_AT,
            route: String::new(),
            baseline: RouteLatency {
                latency: 0.0,
                cost: 0.5,
                responses: 1e9,
            },
        }),
    ]
}

/// The fleet's baseline and the slowdowns by zone.
fn fleet_records() -> Vec<Record> {
    vec![
        Record::FleetBaseline(FleetBaselineRecord {
            observed_at: at(OBSERVED_MICROS - 60_000_000),
            outcomes: 1_812.4,
            failures: 9.1,
            dispersion: Dispersion {
                failures_squared: 4.7,
                failures_times_outcomes: 812.3,
                outcomes_squared: 98_765.4,
            },
            endpoints: 24,
            attempts_per_second: 81.3,
        }),
        Record::Zones(ZonesRecord {
            observed_at: OBSERVED_AT,
            slowdowns: ByZone {
                own: weighted_sum(101.2, 100.1),
                other: weighted_sum(57.6, 49.9),
            },
        }),
    ]
}

/// One endpoint for each state in the endpoint list, including an unknown one.
fn listed_endpoint_records() -> Vec<Record> {
    let ready = ListedEndpointRecord {
        observed_at: at(OBSERVED_MICROS - 250_000),
        list_version: 18,
        process: long_running_process(),
        zone: "zone-a".into(),
        hardware_class: "c5.large".into(),
        cell: 0,
        state: ListedState::Ready,
    };
    let draining = ListedEndpointRecord {
        process: restarted_process(),
        zone: "zone-b".into(),
        hardware_class: String::new(),
        cell: u64::MAX,
        state: ListedState::Draining,
        ..ready.clone()
    };
    let unknown = ListedEndpointRecord {
        process: Process {
            endpoint: "s-3".into(),
            address: String::new(),
            build: BuildNumber::new(0),
            started_at: at(1),
        },
        zone: String::new(),
        hardware_class: "m6".into(),
        cell: 70_000,
        state: ListedState::Unknown("resting".into()),
        ..ready.clone()
    };
    [ready, draining, unknown]
        .map(Record::ListedEndpoint)
        .to_vec()
}
