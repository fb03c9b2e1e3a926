//! Collects the records of the policy, a bounded number in each slice.

use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use tidescale_policy::statistics::OutcomeKey;
use tidescale_policy::types::{BuildNumber, EndpointIndex, EndpointState, Timestamp};
use tidescale_snapshot::records::{self, ListedState, Record, ReportedLoad};

use super::listed_processes::ListedProcesses;

/// Maximum number of endpoints or outcomes collected in a slice, which takes a few tens of
/// microseconds.
const MAX_ENTRIES_PER_SLICE: usize = 64;

/// The position at which the next slice continues.
#[derive(Clone, Copy)]
enum Cursor {
    /// Endpoints, from this index on.
    Endpoints(EndpointIndex),
    /// Outcomes, from this key on.
    Outcomes(OutcomeKey),
    /// All other records.
    Remaining,
}

impl Cursor {
    const START: Cursor = Cursor::Endpoints(EndpointIndex::new(0));
    const FIRST_OUTCOMES: Cursor = Cursor::Outcomes(OutcomeKey {
        build: BuildNumber::new(0),
        endpoint: EndpointIndex::new(0),
    });
}

/// Collects the records of a snapshot over several slices.
pub(super) struct RecordCollector {
    records: Vec<Record>,
    cursor: Cursor,
}

impl Default for RecordCollector {
    fn default() -> RecordCollector {
        RecordCollector {
            records: Vec::new(),
            cursor: Cursor::START,
        }
    }
}

impl RecordCollector {
    /// Collects a bounded number of endpoints or outcomes, or all other records. Returns all
    /// records of the snapshot after its last slice.
    pub(super) fn collect_slice(
        &mut self,
        listed_processes: &ListedProcesses<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) -> Option<Vec<Record>> {
        let mut sink = RecordSink {
            now,
            listed_processes,
            records: &mut self.records,
        };
        match self.cursor {
            Cursor::Endpoints(position) => {
                let next = policy.save_endpoints(position, MAX_ENTRIES_PER_SLICE, &mut sink);
                self.cursor = next.map_or(Cursor::FIRST_OUTCOMES, Cursor::Endpoints);
                None
            }
            Cursor::Outcomes(position) => {
                let next = policy.save_outcomes(position, MAX_ENTRIES_PER_SLICE, &mut sink);
                self.cursor = next.map_or(Cursor::Remaining, Cursor::Outcomes);
                None
            }
            Cursor::Remaining => {
                policy.save_remaining_records(&mut sink);
                self.cursor = Cursor::START;
                // Encoding drops the records that exceed the maximum file size from the end. The
                // records collected last are the most important ones, so they go first.
                self.records.reverse();
                Some(std::mem::take(&mut self.records))
            }
        }
    }

    /// Discards the records collected so far, and collects all records without a pause between
    /// slices.
    pub(super) fn collect_all(
        &mut self,
        listed_processes: &ListedProcesses<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) -> Vec<Record> {
        *self = RecordCollector::default();
        loop {
            if let Some(records) = self.collect_slice(listed_processes, now, policy) {
                return records;
            }
        }
    }
}

/// Receives the records of the policy and converts them to the records of the snapshot format.
struct RecordSink<'a> {
    now: Timestamp,
    listed_processes: &'a ListedProcesses<'a>,
    records: &'a mut Vec<Record>,
}

impl SnapshotSink for RecordSink<'_> {
    fn save_endpoint(&mut self, record: EndpointRecord<'_>) {
        let Some(process) = self.listed_processes.process(record.name) else {
            return;
        };
        let listed = records::ListedEndpointRecord {
            observed_at: self.listed_processes.list_confirmed_at,
            list_version: self.listed_processes.list_version,
            process: process.clone(),
            zone: record.zone.into(),
            hardware_class: record.hardware_class.into(),
            cell: record.cell,
            state: if record.state == EndpointState::Ready {
                ListedState::Ready
            } else {
                ListedState::Draining
            },
        };
        let endpoint = records::EndpointRecord {
            observed_at: self.now,
            process,
            hardware_class: record.hardware_class.into(),
            slowdown: record.slowdown,
            reported_load: ReportedLoad {
                in_flight: record.reported_load,
                reported_at: record.reported_at,
            },
            ejected: record.ejected,
        };
        self.records.push(Record::ListedEndpoint(listed));
        self.records.push(Record::Endpoint(endpoint));
    }

    fn save_hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let stored = records::HardwareClassRecord {
            observed_at: self.now,
            name: record.name.into(),
            load: record.load.unwrap_or_default(),
            slowdown: record.slowdown.unwrap_or_default(),
            baseline: record.baseline.unwrap_or_default(),
        };
        self.records.push(Record::HardwareClass(stored));
    }

    fn save_route(&mut self, record: RouteRecord<'_>) {
        let stored = records::RouteRecord {
            observed_at: self.now,
            route: record.route.unwrap_or_default().into(),
            baseline: record.baseline,
        };
        self.records.push(Record::Route(stored));
    }

    fn save_outcomes(&mut self, record: OutcomeRecord<'_>) {
        let Some(process) = self.listed_processes.process(record.endpoint) else {
            return;
        };
        let stored = records::OutcomeRecord {
            observed_at: self.now,
            process,
            build: record.build,
            outcomes: record.outcomes.into(),
            failures: record.failures.into(),
        };
        self.records.push(Record::Outcomes(stored));
    }

    fn save_rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp) {
        let stored = records::RejectedBuildRecord {
            observed_at: rejected_at,
            build,
        };
        self.records.push(Record::RejectedBuild(stored));
    }

    fn save_fleet_baseline(&mut self, record: FleetBaselineRecord) {
        let stored = records::FleetBaselineRecord {
            observed_at: record.taken_at,
            outcomes: record.outcomes,
            failures: record.failures,
            dispersion: record.dispersion,
            endpoints: record.endpoints,
            attempts_per_second: record.attempts_per_second,
        };
        self.records.push(Record::FleetBaseline(stored));
    }

    fn save_zone_slowdowns(&mut self, sums: ZoneSlowdownSums) {
        let stored = records::ZonesRecord {
            observed_at: self.now,
            slowdowns: sums,
        };
        self.records.push(Record::Zones(stored));
    }

    fn save_key_build(&mut self, key: &str, build: BuildNumber) {
        let stored = records::KeyBuildRecord {
            observed_at: self.now,
            key: key.into(),
            build,
        };
        self.records.push(Record::KeyBuild(stored));
    }

    fn save_rollout(&mut self, record: RolloutRecord) {
        let stored = records::RolloutRecord {
            observed_at: self.now,
            build: record.build,
            stage: record.stage,
            phase: record.phase.into(),
            traffic_cap: record.traffic_cap,
            since: record.since,
        };
        self.records.push(Record::Rollout(stored));
    }
}
