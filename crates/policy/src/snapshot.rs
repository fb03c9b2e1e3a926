//! What an instance keeps over a restart: saved to a [`SnapshotSink`], and restored by plain calls,
//! already weighed by age. Open requests, exposure, slow starts, concurrency limits and votes are
//! neither saved nor restored: an instance that restarts has taken nothing yet, and may send no
//! more than one that knows nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Balancer;
use crate::evidence::{FleetBaseline, RestoredRejection};
use crate::statistics::{Arm, CountKey, OutcomeCounts};
use crate::types::{EndpointState, RolloutPhase, Timestamp};

/// An endpoint as it is listed, and what was learned of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRecord<'a> {
    /// As the endpoint list names it.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its cell within the zone.
    pub cell: u64,
    /// Its hardware class.
    pub hardware_class: &'a str,
    /// The build that it runs.
    pub build: u32,
    /// What the list says of it.
    pub state: EndpointState,
    /// When its process started; none where it has run for long.
    pub started_at: Option<Timestamp>,
    /// Decaying sums: times to answer against the route's baseline, and answers.
    pub slowdown: [f64; 2],
    /// Requests in flight that it last reported.
    pub reported_load: f64,
    /// When it reported that.
    pub reported_at: Timestamp,
    /// It is ejected.
    pub ejected: bool,
}

/// What was learned of the endpoints of one hardware class. Sums decay; none is left out or
/// unknown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardwareClassRecord<'a> {
    /// Its name in the endpoint list.
    pub name: &'a str,
    /// Requests in flight that its endpoints reported, and reports.
    pub load: Option<[f64; 2]>,
    /// Times to answer against the route's baseline, and answers.
    pub slowdown: Option<[f64; 2]>,
    /// The same before a rollout: times against the baseline, requests in flight with the one
    /// answered, answers.
    pub baseline: Option<[f64; 3]>,
}

/// Baseline latency of one route, or of all routes together where none is named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRecord<'a> {
    /// The route's name.
    pub route: Option<&'a str>,
    /// Decaying sums: time to answer in microseconds, cost, answers.
    pub baseline: [f64; 3],
}

/// Outcomes of one endpoint under one build, for each test by its place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeRecord<'a> {
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// The build that it ran.
    pub build: u32,
    /// Outcomes.
    pub outcomes: &'a [f64],
    /// Outcomes that count as failures.
    pub failures: &'a [f64],
}

/// How slow the fleet was before the rollout that goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBaselineRecord {
    /// When it was taken.
    pub taken_at: Timestamp,
    /// Outcomes.
    pub outcomes: f64,
    /// Slow ones among them.
    pub failures: f64,
    /// Sums over the endpoints: failures squared, failures times outcomes, outcomes squared.
    pub spread: [f64; 3],
    /// Endpoints in service.
    pub endpoints: usize,
    /// Attempts a second that this instance made.
    pub attempts_per_second: f64,
}

/// Where the newest build's rollout stood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRecord {
    /// The newest build.
    pub build: u32,
    /// Stage of its evaluation.
    pub stage: u32,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// When stage and phase began.
    pub since: Timestamp,
}

/// Takes what is to be kept over a restart; decaying sums are as of now.
pub trait SnapshotSink {
    /// One endpoint that is listed.
    fn endpoint(&mut self, record: EndpointRecord<'_>);
    /// One hardware class.
    fn hardware_class(&mut self, record: HardwareClassRecord<'_>);
    /// One route, or all of them together.
    fn route(&mut self, record: RouteRecord<'_>);
    /// Outcomes of one endpoint under one build.
    fn outcomes(&mut self, record: OutcomeRecord<'_>);
    /// A build was found bad then.
    fn rejected_build(&mut self, build: u32, rejected_at: Timestamp);
    /// The fleet before the rollout.
    fn fleet_baseline(&mut self, record: FleetBaselineRecord);
    /// Times to answer against the baseline, and answers, in this instance's zone and in others.
    fn zones(&mut self, slowdowns: [[f64; 2]; 2]);
    /// The latest build that has answered an idempotency key.
    fn key_build(&mut self, key: &str, build: u32);
    /// The newest build's rollout.
    fn rollout(&mut self, record: RolloutRecord);
}

/// So long a build that was rejected is held by a restarted instance, where it is under evaluation
/// still.
pub const REJECTION_MEMORY: Duration = Duration::from_secs(60);

impl Balancer {
    /// Saves up to `limit` endpoints from index `from` on; the index to go on with, none after the
    /// last.
    pub fn save_endpoints(
        &mut self,
        from: usize,
        limit: usize,
        sink: &mut dyn SnapshotSink,
    ) -> Option<usize> {
        let now = self.clock.now;
        let end = self.endpoints.len().min(from + limit);
        for index in from..end {
            let slowdown = self.endpoints[index].slowdown.read(now);
            let endpoint = &self.endpoints[index];
            if endpoint.state == EndpointState::Removed || !self.endpoints.is_named(index) {
                continue;
            }
            sink.endpoint(EndpointRecord {
                name: &endpoint.name,
                zone: &endpoint.zone,
                cell: endpoint.cell,
                hardware_class: &self.endpoints.classes[endpoint.hardware_class].name,
                build: endpoint.build,
                state: endpoint.state,
                started_at: endpoint.started_at,
                slowdown,
                reported_load: endpoint.reported_load.in_flight,
                reported_at: endpoint.reported_load.at,
                ejected: endpoint.health.ejected,
            });
        }
        (end < self.endpoints.len()).then_some(end)
    }

    /// Saves outcomes of up to `limit` pairs of build and endpoint from this one on; where to go
    /// on, none after the last.
    pub fn save_outcomes(
        &mut self,
        from: CountKey,
        limit: usize,
        sink: &mut dyn SnapshotSink,
    ) -> Option<CountKey> {
        let next = |counts: &BTreeMap<CountKey, OutcomeCounts>| -> Vec<CountKey> {
            counts
                .range(from..)
                .take(limit)
                .map(|(key, _)| *key)
                .collect()
        };
        let evaluation = &self.evaluation;
        let mut keys = [next(&evaluation.counts), next(&evaluation.restored_counts)].concat();
        keys.sort_unstable();
        keys.dedup();
        let is_last = keys.len() < limit;
        keys.truncate(limit);
        for key in &keys {
            self.save_outcomes_of(*key, sink);
        }
        let last = keys.last().filter(|_| !is_last);
        last.map(|key| CountKey {
            endpoint: key.endpoint + 1,
            ..*key
        })
    }

    /// Own and restored outcomes are apart and never of the same attempt.
    fn save_outcomes_of(&mut self, key: CountKey, sink: &mut dyn SnapshotSink) {
        let total = self.evaluation.total(key, self.clock.now);
        sink.outcomes(OutcomeRecord {
            endpoint: &self.endpoints[key.endpoint].name,
            build: key.build,
            outcomes: &total.outcomes,
            failures: &total.failures,
        });
    }

    /// Saves all but endpoints and outcomes.
    pub fn save_rest(&mut self, sink: &mut dyn SnapshotSink) {
        if let Some(rollout) = self.rollout {
            sink.rollout(RolloutRecord {
                build: rollout.build,
                stage: rollout.stage,
                phase: rollout.phase,
                traffic_cap: rollout.traffic_cap,
                since: rollout.since,
            });
        }
        for (key, build) in &self.key_builds {
            sink.key_build(key, *build);
        }
        self.save_rejection(sink);
        self.save_latencies(sink);
        let baseline = self.evaluation.fleet_baseline;
        if baseline.arm.outcomes > 0.0 {
            sink.fleet_baseline(FleetBaselineRecord {
                taken_at: baseline.taken_at,
                outcomes: baseline.arm.outcomes,
                failures: baseline.arm.failures,
                spread: baseline.arm.spread,
                endpoints: baseline.endpoints,
                attempts_per_second: baseline.attempts_per_second,
            });
        }
        let now = self.clock.now;
        let zones = &mut self.zone_slowdowns;
        sink.zones([zones.own.read(now), zones.other.read(now)]);
    }

    fn save_rejection(&self, sink: &mut dyn SnapshotSink) {
        let evaluation = &self.evaluation;
        if let Some(build) = evaluation.rejected_build {
            sink.rejected_build(build, evaluation.rejected_at);
        } else if let Some(restored) = evaluation.restored_rejection
            && self.clock.now < restored.until
        {
            sink.rejected_build(restored.build, restored.until - REJECTION_MEMORY);
        }
    }

    fn save_latencies(&mut self, sink: &mut dyn SnapshotSink) {
        let now = self.clock.now;
        for class in &mut self.endpoints.classes {
            let load = Some(class.load.read(now));
            let slowdown = Some(class.slowdown.read(now));
            let baseline = Some(class.baseline.read(now));
            let name = &class.name;
            sink.hardware_class(HardwareClassRecord {
                name,
                load,
                slowdown,
                baseline,
            });
        }
        for (index, route) in self.settings.routes.iter().enumerate() {
            if let Some(sums) = self.latency.sums(Some(index)) {
                let baseline = sums.read(now);
                sink.route(RouteRecord {
                    route: Some(&route.name),
                    baseline,
                });
            }
        }
        if let Some(sums) = self.latency.sums(None) {
            sink.route(RouteRecord {
                route: None,
                baseline: sums.read(now),
            });
        }
    }

    /// An endpoint's slowdown, and whether it is ejected until health checks say otherwise.
    pub fn restore_endpoint(&mut self, name: &str, slowdown: Option<[f64; 2]>, ejected: bool) {
        let Some(index) = self.endpoints.find(name) else {
            return;
        };
        let now = self.clock.now;
        let endpoint = &mut self.endpoints[index];
        if let Some(sums) = slowdown {
            endpoint.slowdown.set(sums, now);
        }
        // Where health checks are not allowed, nothing would bring it back.
        if ejected && self.settings.health_checks && endpoint.is_ready() {
            endpoint.health.eject(now);
            // It is checked at once.
            endpoint.health.last_check_at = Timestamp::ZERO;
        }
    }

    /// What was learned of a hardware class.
    pub fn restore_hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let now = self.clock.now;
        let index = self.endpoints.find_or_insert_class(record.name);
        let class = &mut self.endpoints.classes[index];
        if let Some(sums) = record.load {
            class.load.set(sums, now);
        }
        if let Some(sums) = record.slowdown {
            class.slowdown.set(sums, now);
        }
        if let Some(sums) = record.baseline {
            class.baseline.set(sums, now);
        }
    }

    /// Baseline latency of a route, or of all together where none is named. A route that is not
    /// known is left out.
    pub fn restore_route(&mut self, record: RouteRecord<'_>) {
        let routes = &self.settings.routes;
        let position = |name: &str| routes.iter().position(|route| route.name == name);
        let route = match record.route {
            None => None,
            Some(name) => match position(name) {
                Some(index) => Some(index),
                None => return,
            },
        };
        if let Some(sums) = self.latency.sums(route) {
            sums.set(record.baseline, self.clock.now);
        }
    }

    /// The fleet as it was before a rollout that goes on.
    pub fn restore_fleet_baseline(&mut self, record: FleetBaselineRecord) {
        let FleetBaselineRecord {
            outcomes,
            failures,
            spread,
            ..
        } = record;
        self.evaluation.fleet_baseline = FleetBaseline {
            arm: Arm {
                outcomes,
                failures,
                spread,
            },
            taken_at: record.taken_at,
            endpoints: record.endpoints,
            attempts_per_second: record.attempts_per_second,
        };
    }

    /// How the zones compare: this instance's own, then others.
    pub fn restore_zones(&mut self, [own, other]: [[f64; 2]; 2]) {
        let now = self.clock.now;
        self.zone_slowdowns.own.set(own, now);
        self.zone_slowdowns.other.set(other, now);
    }

    /// The latest build that has answered a key: where keys must not go back, an instance that has
    /// forgotten them would break the rule.
    pub fn restore_key_build(&mut self, key: &str, build: u32) {
        if self.settings.monotonic_key_builds {
            self.key_builds.insert(key.into(), build);
        }
    }

    /// Outcomes from before the restart; what they may do to a verdict is decided where verdicts
    /// are.
    pub fn restore_outcomes(&mut self, record: OutcomeRecord<'_>) {
        let Some(endpoint) = self.endpoints.find(record.endpoint) else {
            return;
        };
        let (Ok(outcomes), Ok(failures)) = (record.outcomes.try_into(), record.failures.try_into())
        else {
            return;
        };
        let build = record.build;
        if self.endpoints[endpoint].build == build {
            let counts = OutcomeCounts::new(outcomes, failures, self.clock.now);
            let key = CountKey { build, endpoint };
            self.evaluation.restored_counts.insert(key, counts);
        }
    }

    /// A build that was rejected then.
    pub fn restore_rejected_build(&mut self, build: u32, rejected_at: Timestamp) {
        let until = rejected_at.min(self.clock.now) + REJECTION_MEMORY;
        self.evaluation.restored_rejection = Some(RestoredRejection { build, until });
    }
}
