//! Restores to the policy what still counts of a snapshot.

use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{
    ByZone, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RouteRecord,
};
use tidescale_policy::types::{self, BuildNumber, Timestamp};
use tidescale_snapshot::expiry::{self, ProcessMatch};
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::records::{self, Process, Record, RolloutPhase};

use super::directory::EndpointDirectory;

/// Restores to the policy what still counts of the snapshot. Returns the number of records that did.
///
/// The policy must know the endpoint list and the rollout's status already: records are checked against them.
pub fn restore(
    snapshot: &Snapshot,
    directory: &EndpointDirectory<'_>,
    now: Timestamp,
    policy: &mut Balancer,
) -> usize {
    let mut restorer = Restorer {
        directory,
        now,
        rollout_continues: rollout_continues(snapshot, policy),
        policy,
    };
    let mut counted = 0;
    for record in &snapshot.records {
        counted += usize::from(restorer.restore(record));
    }
    counted
}

/// Whether the build that was under evaluation at the time still is.
fn rollout_continues(snapshot: &Snapshot, policy: &Balancer) -> bool {
    let Some(current) = policy.rollout() else {
        return false;
    };
    current.phase == types::RolloutPhase::Canary
        && snapshot.records.iter().any(|record| {
            matches!(record, Record::Rollout(stored)
                if BuildNumber::new(stored.build) == current.build && stored.phase == RolloutPhase::Canary)
        })
}

struct Restorer<'a> {
    directory: &'a EndpointDirectory<'a>,
    now: Timestamp,
    rollout_continues: bool,
    policy: &'a mut Balancer,
}

impl Restorer<'_> {
    /// Restores one record. Returns whether it still counted.
    fn restore(&mut self, record: &Record) -> bool {
        let weight = expiry::weight(record, self.now);
        let counts = weight > 0.0;
        match record {
            Record::Endpoint(record) => self.restore_endpoint(record),
            Record::Outcomes(record) => self.restore_outcomes(record),
            Record::Route(record) => self.restore_route(record),
            Record::HardwareClass(record) if counts => self.restore_hardware_class(record),
            Record::FleetBaseline(record) if counts && self.rollout_continues => {
                self.restore_fleet_baseline(record, weight);
                true
            }
            Record::RejectedBuild(record) if counts => {
                self.policy
                    .restore_rejected_build(record.build.into(), record.observed_at);
                true
            }
            Record::Zones(record) if counts => {
                let [own, other] = record
                    .slowdowns
                    .map(|zone| zone.map(|sum| sum * weight).into());
                self.policy.restore_zones(ByZone { own, other });
                true
            }
            Record::KeyBuild(record) if counts => {
                self.policy
                    .restore_key_build(&record.key, record.build.into());
                true
            }
            // Stored for starts without discovery.
            Record::ListedEndpoint(_) | Record::Rollout(_) => false,
            // Expired, or the rollout that it belongs to is over.
            Record::HardwareClass(_)
            | Record::FleetBaseline(_)
            | Record::RejectedBuild(_)
            | Record::Zones(_)
            | Record::KeyBuild(_) => false,
        }
    }

    fn restore_endpoint(&mut self, record: &records::EndpointRecord) -> bool {
        let process = self.match_process(&record.process);
        let Some(restored) = expiry::restore_endpoint(record, self.now, process) else {
            return false;
        };
        self.policy.restore_endpoint(
            &record.process.endpoint,
            restored.slowdown.map(Into::into),
            restored.ejected,
        );
        true
    }

    fn restore_outcomes(&mut self, record: &records::OutcomeRecord) -> bool {
        let process = self.match_process(&record.process);
        let Some(restored) = expiry::restore_outcomes(record, self.now, process) else {
            return false;
        };
        self.policy.restore_outcomes(OutcomeRecord {
            endpoint: &record.process.endpoint,
            build: record.build.into(),
            outcomes: &restored.outcomes,
            failures: &restored.failures,
        });
        true
    }

    fn restore_route(&mut self, record: &records::RouteRecord) -> bool {
        let Some(baseline) = expiry::restore_route(record, self.now) else {
            return false;
        };
        let route = Some(record.route.as_str()).filter(|route| !route.is_empty());
        self.policy.restore_route(RouteRecord {
            route,
            baseline: baseline.into(),
        });
        true
    }

    fn restore_hardware_class(&mut self, record: &records::HardwareClassRecord) -> bool {
        let restored = expiry::restore_hardware_class(record, self.now);
        self.policy.restore_hardware_class(HardwareClassRecord {
            name: &record.name,
            load: restored.load.map(Into::into),
            slowdown: restored.slowdown.map(Into::into),
            baseline: restored.baseline.map(Into::into),
        });
        true
    }

    fn restore_fleet_baseline(&mut self, record: &records::FleetBaselineRecord, weight: f64) {
        self.policy.restore_fleet_baseline(FleetBaselineRecord {
            taken_at: record.observed_at.min(self.now),
            outcomes: weight * record.outcomes,
            failures: weight * record.failures,
            dispersion: record.spread.into(),
            endpoints: record.endpoints,
            attempts_per_second: record.attempts_per_second,
        });
    }

    /// Whether the endpoint of this name is still this process.
    fn match_process(&self, recorded: &Process) -> ProcessMatch {
        let listed = self.directory.process(&recorded.endpoint);
        ProcessMatch::compare(recorded, listed.as_ref())
    }
}
