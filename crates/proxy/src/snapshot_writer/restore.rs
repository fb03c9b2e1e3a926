//! Restores the valid records of a snapshot. A record is valid if it has not expired and the
//! process or rollout that it describes, if any, is still the current one.

use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{HardwareClassRecord, OutcomeRecord, RouteRecord};
use tidescale_policy::types::{self, Timestamp};
use tidescale_snapshot::expiry::{self, ProcessMatch};
use tidescale_snapshot::format::Snapshot;
use tidescale_snapshot::records::{self, Process, Record, RolloutPhase};

use super::listed_processes::ListedProcesses;

/// Restores the valid records of the snapshot into the policy, and returns their number.
///
/// The endpoint list and the rollout status decide which records are valid, so the policy must have
/// received both before.
pub fn restore(
    snapshot: &Snapshot,
    listed_processes: &ListedProcesses<'_>,
    now: Timestamp,
    policy: &mut Balancer,
) -> usize {
    let mut restorer = Restorer {
        listed_processes,
        now,
        rollout_continues: rollout_continues(snapshot, policy),
        policy,
    };
    let mut restored_count = 0;
    for record in &snapshot.records {
        restored_count += usize::from(restorer.restore(record));
    }
    restored_count
}

/// Whether the build that was in the canary phase when the snapshot was written still is.
fn rollout_continues(snapshot: &Snapshot, policy: &Balancer) -> bool {
    let Some(current) = policy.rollout() else {
        return false;
    };
    current.phase == types::RolloutPhase::Canary
        && snapshot.records.iter().any(|record| {
            matches!(record, Record::Rollout(stored)
                if stored.build == current.build && stored.phase == RolloutPhase::Canary)
        })
}

struct Restorer<'a> {
    listed_processes: &'a ListedProcesses<'a>,
    now: Timestamp,
    rollout_continues: bool,
    policy: &'a mut Balancer,
}

impl Restorer<'_> {
    /// Restores a record if it is valid. Returns whether it was restored.
    fn restore(&mut self, record: &Record) -> bool {
        let unexpired = expiry::weight(record, self.now) > 0.0;
        match record {
            Record::Endpoint(record) => self.restore_endpoint(record),
            Record::Outcomes(record) => self.restore_outcomes(record),
            Record::Route(record) => self.restore_route(record),
            Record::Zones(record) => self.restore_zones(record),
            Record::FleetBaseline(record) => self.restore_fleet_baseline(record),
            Record::HardwareClass(record) if unexpired => self.restore_hardware_class(record),
            Record::RejectedBuild(record) if unexpired => {
                self.policy
                    .restore_rejected_build(record.build, record.observed_at);
                true
            }
            Record::KeyBuild(record) if unexpired => {
                self.policy.restore_key_build(&record.key, record.build);
                true
            }
            // Stored for starts without discovery. Here the policy has already received the
            // endpoint list and the rollout status.
            Record::ListedEndpoint(_) | Record::Rollout(_) => false,
            // Expired, because the guards above did not match.
            Record::HardwareClass(_) | Record::RejectedBuild(_) | Record::KeyBuild(_) => false,
        }
    }

    fn restore_endpoint(&mut self, record: &records::EndpointRecord) -> bool {
        let process = self.match_process(&record.process);
        let Some(restored) = expiry::restore_endpoint(record, self.now, process) else {
            return false;
        };
        self.policy.restore_endpoint(
            &record.process.endpoint,
            restored.slowdown,
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
            build: record.build,
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
        self.policy.restore_route(RouteRecord { route, baseline });
        true
    }

    fn restore_hardware_class(&mut self, record: &records::HardwareClassRecord) -> bool {
        let restored = expiry::restore_hardware_class(record, self.now);
        self.policy.restore_hardware_class(HardwareClassRecord {
            name: &record.name,
            load: restored.load,
            slowdown: restored.slowdown,
            baseline: restored.baseline,
        });
        true
    }

    fn restore_zones(&mut self, record: &records::ZonesRecord) -> bool {
        let Some(sums) = expiry::restore_zones(record, self.now) else {
            return false;
        };
        self.policy.restore_zones(sums);
        true
    }

    /// Restores the baseline only if the rollout before which it was taken still continues.
    fn restore_fleet_baseline(&mut self, record: &records::FleetBaselineRecord) -> bool {
        if !self.rollout_continues {
            return false;
        }
        let Some(baseline) = expiry::restore_fleet_baseline(record, self.now) else {
            return false;
        };
        self.policy.restore_fleet_baseline(baseline);
        true
    }

    /// Compares the recorded process with the one now listed under the same endpoint name.
    fn match_process(&self, recorded: &Process) -> ProcessMatch {
        let listed = self.listed_processes.process(&recorded.endpoint);
        ProcessMatch::compare(recorded, listed.as_ref())
    }
}
