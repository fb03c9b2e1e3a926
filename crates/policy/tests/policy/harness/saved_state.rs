//! An in-memory snapshot of an instance, from which another instance can be restored.

use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteLatency, RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use tidescale_policy::statistics::{OutcomeKey, WeightedSum};
use tidescale_policy::types::{BuildNumber, EndpointIndex, Timestamp};

use super::Instance;

/// The fields of an [`EndpointRecord`] that are restored, as owned values.
#[derive(Clone, Debug)]
struct SavedEndpoint {
    name: String,
    slowdown: WeightedSum,
    ejected: bool,
}

/// An [`OutcomeRecord`] with owned values.
#[derive(Clone, Debug)]
struct SavedOutcomes {
    endpoint: String,
    build: BuildNumber,
    outcomes: Vec<f64>,
    failures: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct SavedRejection {
    build: BuildNumber,
    rejected_at: Timestamp,
}

#[derive(Clone, Debug)]
struct SavedKeyBuild {
    key: String,
    build: BuildNumber,
}

/// A [`RouteRecord`] with owned values.
#[derive(Clone, Debug)]
struct SavedRoute {
    route: Option<String>,
    baseline: RouteLatency,
}

/// The saved records of one instance.
#[derive(Clone, Debug, Default)]
pub struct SavedState {
    endpoints: Vec<SavedEndpoint>,
    outcomes: Vec<SavedOutcomes>,
    rejection: Option<SavedRejection>,
    key_builds: Vec<SavedKeyBuild>,
    routes: Vec<SavedRoute>,
}

impl SavedState {
    /// Saves an instance. Endpoints and outcomes are saved one record per call, which exercises the
    /// resumption between calls.
    pub fn of(instance: &mut Instance) -> SavedState {
        let mut saved = SavedState::default();
        let policy = instance.policy_mut();
        let mut next_endpoint = Some(EndpointIndex::default());
        while let Some(from) = next_endpoint {
            next_endpoint = policy.save_endpoints(from, 1, &mut saved);
        }
        let mut next_outcomes = Some(OutcomeKey::default());
        while let Some(from) = next_outcomes {
            next_outcomes = policy.save_outcomes(from, 1, &mut saved);
        }
        policy.save_remaining_records(&mut saved);
        saved
    }

    /// Restores all records into a policy.
    pub fn restore(&self, policy: &mut Balancer) {
        for saved in &self.endpoints {
            policy.restore_endpoint(&saved.name, Some(saved.slowdown), saved.ejected);
        }
        for saved in &self.outcomes {
            policy.restore_outcomes(OutcomeRecord {
                endpoint: &saved.endpoint,
                build: saved.build,
                outcomes: &saved.outcomes,
                failures: &saved.failures,
            });
        }
        if let Some(saved) = self.rejection {
            policy.restore_rejected_build(saved.build, saved.rejected_at);
        }
        for saved in &self.key_builds {
            policy.restore_key_build(&saved.key, saved.build);
        }
        for saved in &self.routes {
            policy.restore_route(RouteRecord {
                route: saved.route.as_deref(),
                baseline: saved.baseline,
            });
        }
    }

    /// Returns the number of endpoint records with this name.
    pub fn records_of_endpoint(&self, name: &str) -> usize {
        let is_named = |saved: &&SavedEndpoint| saved.name == name;
        self.endpoints.iter().filter(is_named).count()
    }

    /// Returns the number of outcomes in the first evidence test, over all endpoints and builds.
    pub fn total_outcomes(&self) -> f64 {
        let first_test = self.outcomes.iter().map(|saved| saved.outcomes[0]);
        first_test.sum()
    }

    /// Returns the rejected build, if there is one.
    pub fn rejected_build(&self) -> Option<BuildNumber> {
        self.rejection.map(|saved| saved.build)
    }
}

impl SnapshotSink for SavedState {
    fn save_endpoint(&mut self, record: EndpointRecord<'_>) {
        self.endpoints.push(SavedEndpoint {
            name: record.name.into(),
            slowdown: record.slowdown,
            ejected: record.ejected,
        });
    }

    fn save_hardware_class(&mut self, _record: HardwareClassRecord<'_>) {}

    fn save_route(&mut self, record: RouteRecord<'_>) {
        self.routes.push(SavedRoute {
            route: record.route.map(String::from),
            baseline: record.baseline,
        });
    }

    fn save_outcomes(&mut self, record: OutcomeRecord<'_>) {
        self.outcomes.push(SavedOutcomes {
            endpoint: record.endpoint.into(),
            build: record.build,
            outcomes: record.outcomes.into(),
            failures: record.failures.into(),
        });
    }

    fn save_rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp) {
        self.rejection = Some(SavedRejection { build, rejected_at });
    }

    fn save_fleet_baseline(&mut self, _record: FleetBaselineRecord) {}

    fn save_zone_slowdowns(&mut self, _sums: ZoneSlowdownSums) {}

    fn save_key_build(&mut self, key: &str, build: BuildNumber) {
        self.key_builds.push(SavedKeyBuild {
            key: key.into(),
            build,
        });
    }

    fn save_rollout(&mut self, _record: RolloutRecord) {}
}
