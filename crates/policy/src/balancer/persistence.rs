//! Saves the learned state of an instance, and restores it after a restart.

use super::Balancer;
use crate::rollout::FleetBaseline;
use crate::settings::Settings;
use crate::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, REJECTION_LIFETIME,
    RolloutRecord, RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use crate::statistics::{Arm, EvidenceTestMap, OutcomeCounts, OutcomeKey, WeightedSum};
use crate::types::{BuildNumber, EndpointIndex, RouteIndex, Timestamp};

/// Saving. Endpoints and outcomes are saved in batches of bounded size.
impl Balancer {
    /// Saves the endpoints of up to `limit` indexes, starting at `from`. Returns the index to
    /// continue with, or `None` after the last one.
    pub fn save_endpoints(
        &mut self,
        from: EndpointIndex,
        limit: usize,
        sink: &mut dyn SnapshotSink,
    ) -> Option<EndpointIndex> {
        let end = self.endpoints.len().min(from.get() + limit);
        for index in (from.get()..end).map(EndpointIndex::new) {
            self.save_endpoint(index, sink);
        }
        (end < self.endpoints.len()).then_some(EndpointIndex::new(end))
    }

    fn save_endpoint(&mut self, index: EndpointIndex, sink: &mut dyn SnapshotSink) {
        let slowdown = self.latency.endpoint_sums(index, self.context.now);
        let endpoint = &self.endpoints[index];
        if !endpoint.is_listed() || !self.endpoints.is_in_use(index) {
            return;
        }
        let reported = self.loads.reported(index);
        sink.save_endpoint(EndpointRecord {
            name: &endpoint.name,
            zone: &endpoint.zone,
            cell: endpoint.cell,
            hardware_class: self.endpoints.class_name(endpoint.hardware_class),
            build: endpoint.build(),
            state: endpoint.state,
            started_at: endpoint.process.started_at,
            slowdown,
            reported_load: reported.in_flight,
            reported_at: reported.reported_at,
            ejected: self.health.is_ejected(index),
        });
    }

    /// Saves the outcomes of up to `limit` pairs of build and endpoint, starting at `from`. Returns
    /// the pair to continue with, or `None` after the last one.
    pub fn save_outcomes(
        &mut self,
        from: OutcomeKey,
        limit: usize,
        sink: &mut dyn SnapshotSink,
    ) -> Option<OutcomeKey> {
        let mut keys = self.evaluator.outcome_keys_from(from, limit);
        let is_last = keys.len() < limit;
        keys.truncate(limit);
        for key in &keys {
            self.save_outcomes_of(*key, sink);
        }
        let last = keys.last().filter(|_| !is_last);
        last.map(|key| OutcomeKey {
            endpoint: EndpointIndex::new(key.endpoint.get() + 1),
            ..*key
        })
    }

    /// Saves the sum of the outcomes that were recorded since the start and those that were
    /// restored. No attempt is counted in both.
    fn save_outcomes_of(&mut self, key: OutcomeKey, sink: &mut dyn SnapshotSink) {
        let total = self.evaluator.total_outcomes(key, self.context.now);
        sink.save_outcomes(OutcomeRecord {
            endpoint: &self.endpoints[key.endpoint].name,
            build: key.build,
            outcomes: total.outcomes.as_slice(),
            failures: total.failures.as_slice(),
        });
    }

    /// Saves all records except those of endpoints and outcomes.
    pub fn save_remaining_records(&mut self, sink: &mut dyn SnapshotSink) {
        if let Some(rollout) = self.rollout.current() {
            sink.save_rollout(RolloutRecord {
                build: rollout.build,
                stage: rollout.stage,
                phase: rollout.phase,
                traffic_cap: rollout.traffic_cap,
                since: rollout.since,
            });
        }
        for (key, build) in self.key_builds.iter() {
            sink.save_key_build(key, build);
        }
        let now = self.context.now;
        if let Some(rejection) = self.evaluator.last_rejection(REJECTION_LIFETIME, now) {
            sink.save_rejected_build(rejection.build, rejection.rejected_at);
        }
        self.save_hardware_classes(sink);
        self.save_routes(sink);
        self.save_fleet_baseline(sink);
        let zones = self.latency.zone_sums(now);
        sink.save_zone_slowdowns(zones);
    }

    fn save_hardware_classes(&mut self, sink: &mut dyn SnapshotSink) {
        let now = self.context.now;
        for (class, name) in self.endpoints.classes() {
            let latency = self.latency.class_sums(class, now);
            sink.save_hardware_class(HardwareClassRecord {
                name,
                load: Some(self.loads.class_reports(class, now)),
                slowdown: Some(latency.slowdown),
                baseline: Some(latency.baseline),
            });
        }
    }

    fn save_routes(&mut self, sink: &mut dyn SnapshotSink) {
        let now = self.context.now;
        for (position, route) in self.context.settings.routes.iter().enumerate() {
            let index = Some(RouteIndex::new(position));
            if let Some(baseline) = self.latency.route_sums(index, now) {
                sink.save_route(RouteRecord {
                    route: Some(&route.name),
                    baseline,
                });
            }
        }
        if let Some(baseline) = self.latency.route_sums(None, now) {
            sink.save_route(RouteRecord {
                route: None,
                baseline,
            });
        }
    }

    fn save_fleet_baseline(&self, sink: &mut dyn SnapshotSink) {
        let baseline = self.evaluator.fleet_baseline();
        if baseline.arm.outcomes > 0.0 {
            sink.save_fleet_baseline(FleetBaselineRecord {
                taken_at: baseline.taken_at,
                outcomes: baseline.arm.outcomes,
                failures: baseline.arm.failures,
                dispersion: baseline.arm.dispersion,
                endpoints: baseline.endpoints,
                attempts_per_second: baseline.attempts_per_second,
            });
        }
    }
}

/// Restoring. The caller has already scaled down the sums in the records according to their age.
impl Balancer {
    /// Restores the slowdown of an endpoint and its ejection, which lasts until health checks
    /// succeed.
    pub fn restore_endpoint(&mut self, name: &str, slowdown: Option<WeightedSum>, ejected: bool) {
        let Some(index) = self.endpoints.find(name) else {
            return;
        };
        let now = self.context.now;
        if let Some(sums) = slowdown {
            self.latency.restore_endpoint(index, sums, now);
        }
        // Without health checks, the endpoint would never return to service.
        let has_health_checks = self.context.settings.health_checks;
        if ejected && has_health_checks && self.endpoints[index].is_ready() {
            self.health.restore_ejection(index, now);
        }
    }

    /// Restores the load, slowdown, and baseline latency of a hardware class.
    pub fn restore_hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let now = self.context.now;
        let class = self.endpoints.find_or_insert_class(record.name);
        self.add_class(class);
        if let Some(reports) = record.load {
            self.loads.restore_class(class, reports, now);
        }
        if let Some(slowdown) = record.slowdown {
            self.latency.restore_class_slowdown(class, slowdown, now);
        }
        if let Some(baseline) = record.baseline {
            self.latency.restore_class_baseline(class, baseline, now);
        }
    }

    /// Restores the baseline latency of a route, or of all routes together if the record names no
    /// route. A record of an unknown route is ignored.
    pub fn restore_route(&mut self, record: RouteRecord<'_>) {
        let route = match record.route {
            None => None,
            Some(name) => match find_route(&self.context.settings, name) {
                Some(index) => Some(index),
                None => return,
            },
        };
        self.latency
            .restore_route(route, record.baseline, self.context.now);
    }

    /// Restores the fleet baseline from before a rollout that is still in progress.
    pub fn restore_fleet_baseline(&mut self, record: FleetBaselineRecord) {
        self.evaluator.restore_fleet_baseline(FleetBaseline {
            arm: Arm {
                outcomes: record.outcomes,
                failures: record.failures,
                dispersion: record.dispersion,
            },
            taken_at: record.taken_at,
            endpoints: record.endpoints,
            attempts_per_second: record.attempts_per_second,
        });
    }

    /// Restores the slowdowns of the zones.
    pub fn restore_zones(&mut self, sums: ZoneSlowdownSums) {
        self.latency.restore_zones(sums, self.context.now);
    }

    /// Restores the latest build that has answered an idempotency key.
    pub fn restore_key_build(&mut self, key: &str, build: BuildNumber) {
        self.key_builds.restore(key, build, &self.context);
    }

    /// Restores the outcomes of an endpoint that still runs the same build. The evaluation counts
    /// only a limited number of them.
    pub fn restore_outcomes(&mut self, record: OutcomeRecord<'_>) {
        let Some(endpoint) = self.endpoints.find(record.endpoint) else {
            return;
        };
        let (Ok(outcomes), Ok(failures)) = (record.outcomes.try_into(), record.failures.try_into())
        else {
            return;
        };
        let build = record.build;
        if self.endpoints[endpoint].build() == build {
            let (outcomes, failures) = (
                EvidenceTestMap::new(outcomes),
                EvidenceTestMap::new(failures),
            );
            let counts = OutcomeCounts::new(outcomes, failures, self.context.now);
            let key = OutcomeKey { build, endpoint };
            self.evaluator.restore_outcomes(key, counts);
        }
    }

    /// Restores the rejection of a build from before the restart. It expires [`REJECTION_LIFETIME`]
    /// after `rejected_at`.
    pub fn restore_rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp) {
        let until = rejected_at.min(self.context.now) + REJECTION_LIFETIME;
        self.evaluator.restore_rejection(build, until);
    }
}

fn find_route(settings: &Settings, name: &str) -> Option<RouteIndex> {
    let position = settings.routes.iter().position(|route| route.name == name);
    position.map(RouteIndex::new)
}
