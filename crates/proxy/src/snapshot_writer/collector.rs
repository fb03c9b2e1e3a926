//! Collects the policy's records, a bounded number in each slice.

use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use tidescale_policy::statistics::OutcomeKey;
use tidescale_policy::types::{BuildNumber, EndpointIndex, EndpointState, Timestamp};
use tidescale_snapshot::records::{self, ListedState, Record, ReportedLoad};

use super::directory::EndpointDirectory;

/// Endpoints, or endpoints' outcomes, in a slice: a few tens of microseconds of the event loop's time.
const SLICE_LENGTH: usize = 64;

/// Where collecting continues.
#[derive(Clone, Copy)]
enum Cursor {
    /// With the endpoint of this index.
    Endpoints(EndpointIndex),
    /// With the outcomes at this position, as the policy names it.
    Outcomes(OutcomeKey),
    /// With all that is neither.
    Rest,
}

impl Cursor {
    const START: Cursor = Cursor::Endpoints(EndpointIndex::new(0));
    const FIRST_OUTCOMES: Cursor = Cursor::Outcomes(OutcomeKey {
        build: BuildNumber::new(0),
        endpoint: EndpointIndex::new(0),
    });
}

/// A snapshot's records as far as they are collected.
pub(super) struct Collection {
    records: Vec<Record>,
    cursor: Cursor,
}

impl Default for Collection {
    fn default() -> Collection {
        Collection {
            records: Vec::new(),
            cursor: Cursor::START,
        }
    }
}

impl Collection {
    /// Collects some endpoints or outcomes, or all the rest. Returns the snapshot's records once they are complete.
    pub(super) fn collect_slice(
        &mut self,
        directory: &EndpointDirectory<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) -> Option<Vec<Record>> {
        let mut sink = Collector {
            now,
            directory,
            records: &mut self.records,
        };
        match self.cursor {
            Cursor::Endpoints(position) => {
                let next = policy.save_endpoints(position, SLICE_LENGTH, &mut sink);
                self.cursor = next.map_or(Cursor::FIRST_OUTCOMES, Cursor::Endpoints);
                None
            }
            Cursor::Outcomes(position) => {
                let next = policy.save_outcomes(position, SLICE_LENGTH, &mut sink);
                self.cursor = next.map_or(Cursor::Rest, Cursor::Outcomes);
                None
            }
            Cursor::Rest => {
                policy.save_rest(&mut sink);
                self.cursor = Cursor::START;
                // Records that must not be left out if the file would be too long come first.
                self.records.reverse();
                Some(std::mem::take(&mut self.records))
            }
        }
    }

    /// Collects everything anew, at once.
    pub(super) fn collect_all(
        &mut self,
        directory: &EndpointDirectory<'_>,
        now: Timestamp,
        policy: &mut Balancer,
    ) -> Vec<Record> {
        *self = Collection::default();
        loop {
            if let Some(records) = self.collect_slice(directory, now, policy) {
                return records;
            }
        }
    }
}

/// Receives the policy's records and converts them to those that are stored.
struct Collector<'a> {
    now: Timestamp,
    directory: &'a EndpointDirectory<'a>,
    records: &'a mut Vec<Record>,
}

impl SnapshotSink for Collector<'_> {
    fn endpoint(&mut self, record: EndpointRecord<'_>) {
        let Some(process) = self.directory.process(record.name) else {
            return;
        };
        let listed = records::ListedEndpointRecord {
            observed_at: self.directory.list_confirmed_at,
            list_version: self.directory.list_version,
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
            slowdown: record.slowdown.into(),
            reported_load: ReportedLoad {
                in_flight: record.reported_load,
                reported_at: record.reported_at,
            },
            ejected: record.ejected,
        };
        self.records.push(Record::ListedEndpoint(listed));
        self.records.push(Record::Endpoint(endpoint));
    }

    fn hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let stored = records::HardwareClassRecord {
            observed_at: self.now,
            name: record.name.into(),
            load: record.load.unwrap_or_default().into(),
            slowdown: record.slowdown.unwrap_or_default().into(),
            baseline: record.baseline.unwrap_or_default().into(),
        };
        self.records.push(Record::HardwareClass(stored));
    }

    fn route(&mut self, record: RouteRecord<'_>) {
        let stored = records::RouteRecord {
            observed_at: self.now,
            route: record.route.unwrap_or_default().into(),
            baseline: record.baseline.into(),
        };
        self.records.push(Record::Route(stored));
    }

    fn outcomes(&mut self, record: OutcomeRecord<'_>) {
        let Some(process) = self.directory.process(record.endpoint) else {
            return;
        };
        let stored = records::OutcomeRecord {
            observed_at: self.now,
            process,
            build: record.build.get(),
            outcomes: record.outcomes.into(),
            failures: record.failures.into(),
        };
        self.records.push(Record::Outcomes(stored));
    }

    fn rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp) {
        let stored = records::RejectedBuildRecord {
            observed_at: rejected_at,
            build: build.get(),
        };
        self.records.push(Record::RejectedBuild(stored));
    }

    fn fleet_baseline(&mut self, record: FleetBaselineRecord) {
        let stored = records::FleetBaselineRecord {
            observed_at: record.taken_at,
            outcomes: record.outcomes,
            failures: record.failures,
            spread: record.dispersion.into(),
            endpoints: record.endpoints,
            attempts_per_second: record.attempts_per_second,
        };
        self.records.push(Record::FleetBaseline(stored));
    }

    fn zones(&mut self, sums: ZoneSlowdownSums) {
        let stored = records::ZonesRecord {
            observed_at: self.now,
            slowdowns: [sums.own.into(), sums.other.into()],
        };
        self.records.push(Record::Zones(stored));
    }

    fn key_build(&mut self, key: &str, build: BuildNumber) {
        let stored = records::KeyBuildRecord {
            observed_at: self.now,
            key: key.into(),
            build: build.get(),
        };
        self.records.push(Record::KeyBuild(stored));
    }

    fn rollout(&mut self, record: RolloutRecord) {
        let stored = records::RolloutRecord {
            observed_at: self.now,
            build: record.build.get(),
            stage: record.stage.get(),
            phase: record.phase.into(),
            traffic_cap: record.traffic_cap,
            since: record.since,
        };
        self.records.push(Record::Rollout(stored));
    }
}
