//! What a balancer keeps over a restart: out to a [`SnapshotSink`], and in again as plain calls, already weighed by
//! age. Open reqs, exposure, credits of cold machines, room and votes are neither told nor taken: a front that
//! restarts has taken nothing yet, and may send no more than one that knows nothing.

use std::collections::BTreeMap;

use crate::decide::{Balancer, EVIDENCE_FADE, RATE_FADE, USUAL_FADE};
use crate::state::{Arm, Fading, TESTS, Tally};
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

/// What was learned of the endpoints of one hardware class. Sums decay; none is left out or unknown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardwareClassRecord<'a> {
    /// Its name in the endpoint list.
    pub name: &'a str,
    /// Requests in flight that its endpoints reported, and reports.
    pub load: Option<[f64; 2]>,
    /// Times to answer against the route's baseline, and answers.
    pub slowdown: Option<[f64; 2]>,
    /// The same before a rollout: times against the baseline, requests in flight with the one answered, answers.
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

/// For so long the fact that a build was condemned holds it on a restarted front, where it is on trial still.
pub const SUSPECT_FOR: u64 = 60_000_000;

impl Balancer {
    /// Machines from this number on, so many at most; the number to go on with, none after the last.
    pub fn save_endpoints(&mut self, from: usize, most: usize, out: &mut dyn SnapshotSink) -> Option<usize> {
        let (now, end) = (self.now, self.machines.len().min(from + most));
        for i in from..end {
            let pace = self.machines[i].pace.read(now, RATE_FADE);
            let m = &self.machines[i];
            if m.standing == EndpointState::Removed || self.find(&m.name) != Some(i) {
                continue;
            }
            let started_at = (m.started > 0).then(|| Timestamp::from_micros(m.started));
            out.endpoint(EndpointRecord {
                name: &m.name,
                zone: &m.zone,
                cell: m.cell,
                hardware_class: &self.kinds[m.kind].name,
                build: m.build,
                state: m.standing,
                started_at,
                slowdown: pace,
                reported_load: m.load.0,
                reported_at: Timestamp::from_micros(m.load.1),
                ejected: m.aside,
            });
        }
        (end < self.machines.len()).then_some(end)
    }

    /// All but machines and evidence.
    pub fn save_rest(&mut self, out: &mut dyn SnapshotSink) {
        let now = self.now;
        if let Some(n) = self.rollout {
            out.rollout(RolloutRecord {
                build: n.build,
                stage: n.stage,
                phase: n.phase,
                traffic_cap: n.traffic_cap,
                since: Timestamp::from_micros(n.since),
            });
        }
        for (key, build) in &self.keys {
            out.key_build(key, *build);
        }
        let suspect = self.suspect.filter(|(_, until)| now < *until);
        let suspect = suspect.map(|(build, until)| (build, until - SUSPECT_FOR));
        if let Some((build, seen)) = self.condemned.map(|build| (build, self.condemned_at)).or(suspect) {
            out.rejected_build(build, Timestamp::from_micros(seen));
        }
        for k in &mut self.kinds {
            let (load, pace) = (k.load.read(now, RATE_FADE), k.pace.read(now, RATE_FADE));
            let baseline = Some(k.usual.read(now, USUAL_FADE));
            out.hardware_class(HardwareClassRecord {
                name: &k.name,
                load: Some(load),
                slowdown: Some(pace),
                baseline,
            });
        }
        for (r, usual) in self.usual.iter_mut().enumerate() {
            let name = self.settings.routes.get(r).map(|route| route.name.as_str());
            out.route(RouteRecord { route: name, baseline: usual.read(now, USUAL_FADE) });
        }
        if self.calm.outcomes > 0.0 {
            let c = self.calm;
            out.fleet_baseline(FleetBaselineRecord {
                taken_at: Timestamp::from_micros(self.calm_at),
                outcomes: c.outcomes,
                failures: c.hits,
                spread: c.spread,
                endpoints: self.fleet,
                attempts_per_second: self.calm_sends,
            });
        }
        out.zones(self.zones.each_mut().map(|z| z.read(now, RATE_FADE)));
    }

    /// Evidence from this build and machine on, so much at most; where to go on, none after the last.
    pub fn save_outcomes(
        &mut self,
        from: (u32, usize),
        most: usize,
        out: &mut dyn SnapshotSink,
    ) -> Option<(u32, usize)> {
        let next = |of: &BTreeMap<(u32, usize), Tally>| -> Vec<(u32, usize)> {
            of.range(from..).take(most).map(|(key, _)| *key).collect()
        };
        let mut keys = [next(&self.evidence), next(&self.recalled)].concat();
        keys.sort_unstable();
        keys.dedup();
        let whole = keys.len() < most;
        keys.truncate(most);
        for (build, i) in &keys {
            // Own and recalled outcomes are apart and never of the same try.
            let (mut all, mut hits) = ([0.0; TESTS], [0.0; TESTS]);
            for tallies in [&mut self.evidence, &mut self.recalled] {
                let Some(t) = tallies.get_mut(&(*build, *i)) else { continue };
                t.read(self.now, EVIDENCE_FADE);
                all.iter_mut().zip(t.all).for_each(|(sum, x)| *sum += x);
                hits.iter_mut().zip(t.hits).for_each(|(sum, x)| *sum += x);
            }
            let endpoint = &self.machines[*i].name;
            out.outcomes(OutcomeRecord { endpoint, build: *build, outcomes: &all, failures: &hits });
        }
        keys.last().filter(|_| !whole).map(|(build, i)| (*build, i + 1))
    }

    /// A machine's pace, and whether it is set aside until probes say otherwise.
    pub fn restore_endpoint(&mut self, name: &str, pace: Option<[f64; 2]>, aside: bool) {
        let Some(i) = self.find(name) else { return };
        let (now, probes) = (self.now, self.settings.health_checks);
        let m = &mut self.machines[i];
        if let Some(sums) = pace {
            m.pace = Fading { at: now, sums };
        }
        // Where nothing may be probed, nothing would bring it back.
        if aside && probes && m.standing == EndpointState::Ready {
            (m.aside, m.answered, m.probed, m.risked) = (true, 0, 0, self.now);
        }
    }

    /// What was learned of a hardware class.
    pub fn restore_hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let HardwareClassRecord { name, load, slowdown: pace, baseline: usual } = record;
        let (now, kind) = (self.now, self.kind(name));
        let k = &mut self.kinds[kind];
        load.into_iter().for_each(|sums| k.load = Fading { at: now, sums });
        pace.into_iter().for_each(|sums| k.pace = Fading { at: now, sums });
        usual.into_iter().for_each(|sums| k.usual = Fading { at: now, sums });
    }

    /// Of all routes where none is named.
    pub fn restore_route(&mut self, record: RouteRecord<'_>) {
        let (name, sums) = (record.route, record.baseline);
        let all = self.settings.routes.len();
        let of = |name: &str| self.settings.routes.iter().position(|r| r.name == name);
        if let Some(r) = name.map_or(Some(all), of) {
            self.usual[r] = Fading { at: self.now, sums };
        }
    }

    /// The fleet as it was before a trial that goes on.
    pub fn restore_fleet_baseline(&mut self, record: FleetBaselineRecord) {
        let FleetBaselineRecord { outcomes, failures: hits, spread, .. } = record;
        self.calm = Arm { outcomes, hits, spread };
        self.calm_at = record.taken_at.as_micros();
        (self.fleet, self.calm_sends) = (record.endpoints, record.attempts_per_second);
    }

    /// How the zones compare.
    pub fn restore_zones(&mut self, paces: [[f64; 2]; 2]) {
        self.zones = paces.map(|sums| Fading { at: self.now, sums });
    }

    /// A key that goes no lower: where keys go one way, a front that has forgotten them would break the rule.
    pub fn restore_key_build(&mut self, key: &str, build: u32) {
        if self.settings.monotonic_key_builds {
            self.keys.insert(key.into(), build);
        }
    }

    /// Outcomes of before the restart, by test; what they may do to a verdict is decided where verdicts are.
    pub fn restore_outcomes(&mut self, record: OutcomeRecord<'_>) {
        let build = record.build;
        let (all, hits) = (record.outcomes.try_into(), record.failures.try_into());
        let (Some(i), Ok(all), Ok(hits)) = (self.find(record.endpoint), all, hits) else { return };
        if self.machines[i].build == build {
            self.recalled.insert((build, i), Tally { at: self.now, all, hits });
        }
    }

    /// A build that was condemned then.
    pub fn restore_rejected_build(&mut self, build: u32, rejected_at: Timestamp) {
        let seen = rejected_at.as_micros();
        self.suspect = Some((build, seen.min(self.now) + SUSPECT_FOR));
    }
}
