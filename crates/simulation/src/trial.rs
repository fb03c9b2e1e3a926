//! One trial: some seconds of calm, a build brought in by stages, and what the fronts made of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::host::{DecisionSink, EventSource};
use tidescale_policy::settings::{Idempotency, KeyScope, Route, Settings};
use tidescale_policy::types::{
    AttemptOutcome, AttemptResult, Ballot, EndpointEntry, EndpointState, EvidenceTest,
    IncomingRequest, LoadReport, RollbackVerdict, RolloutPhase, RolloutStatus, Timestamp, Vote,
    VoteResult, whole_micros,
};

use crate::chance::Chance;
use crate::digest::Digest;
use crate::fleet::{COLD_FOR, COLD_FROM, Confounder, EFFECT, Machine, ROUTES, Service, Truth};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const TICK: u64 = 10 * MS;
const START: u64 = 1_000_000 * SECOND;
/// When the build is offered; until then fronts learn what is usual.
const OFFERED: u64 = 8 * SECOND;
const STEP: u64 = 4 * SECOND;
const BOOT: u64 = 1_500 * MS;
const DRAIN: u64 = 1_500 * MS;
const NEWS_EVERY: u64 = 2 * SECOND;
const CAPS: [f64; 4] = [0.06, 0.18, 0.5, 1.0];
const PLACES: [f64; 4] = [0.05, 0.15, 0.42, 1.0];
const OBJECTIVES: [u64; ROUTES] = [600 * MS, 300 * MS, 400 * MS, 400 * MS];
const WORK: [f64; ROUTES] = [60e3, 25e3, 40e3, 40e3];
const TRAFFIC: [f64; ROUTES] = [0.4, 0.3, 0.2, 0.1];
const EARNINGS: [f64; ROUTES] = [1.0, 2.0, 2.0, 3.0];
const DEADLINE: u64 = 2 * SECOND;
const FLAGGED: f64 = 0.5;

/// How large, and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub fronts: usize,
    pub machines: usize,
    pub seconds: u64,
}

impl Size {
    pub const SMALL: Size = Size {
        fronts: 5,
        machines: 12,
        seconds: 45,
    };
    pub const GROWN: Size = Size {
        fronts: 60,
        machines: 150,
        seconds: 40,
    };
    pub const HUGE: Size = Size {
        fronts: 400,
        machines: 1000,
        seconds: 35,
    };
}

/// Whose votes the platform heeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heeds {
    Votes,
    /// None: the build goes on by the clock, whatever it is.
    Nobody,
    /// The first error or time-out of the build on trial, whoever met it: to be caught.
    FirstFailure,
}

/// Which of the optional limits the settings tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limits {
    /// Hedging is allowed, stages advance by themselves, exposure counts all routes together.
    Standard,
    /// No hedging, stages wait for votes, exposure by route, idempotency keys bound to a build, a polled list.
    Strict,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    pub seed: u64,
    pub size: Size,
    pub limits: Limits,
    pub truth: Truth,
    pub confounder: Confounder,
    pub heeds: Heeds,
}

/// What came of a trial. Times count from the offer, in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub back: Option<u64>,
    pub released: Option<u64>,
    /// Earnings within objective, and asked for, by second.
    pub earned: Vec<[f64; 2]>,
    /// Which test spoke first, by its number in the module.
    pub test: Option<EvidenceTest>,
    pub held_time: u64,
    pub rounds: u64,
    /// Over every decision of every front, in order.
    pub digest: Digest,
}

impl Outcome {
    /// The part of what was asked for that was earned, from this second on.
    pub fn share(&self, from: usize) -> f64 {
        let sums = self
            .earned
            .iter()
            .skip(from)
            .fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
        if sums[1] > 0.0 {
            sums[0] / sums[1]
        } else {
            0.0
        }
    }
}

enum Due {
    Arrival {
        front: usize,
    },
    Again {
        front: usize,
        route: usize,
    },
    Ended {
        front: usize,
        rq: u64,
        n: usize,
        machine: usize,
        end: AttemptOutcome,
        sent: u64,
        wrong: bool,
        held: usize,
    },
    Listed {
        front: usize,
        machine: usize,
    },
    News {
        front: usize,
        news: (u32, u32, RolloutPhase, f64, u64),
    },
    VoteTold {
        front: usize,
        counts: bool,
    },
    Flag {
        front: usize,
        machine: usize,
        sent: u64,
    },
    Probed {
        front: usize,
        machine: usize,
        end: AttemptOutcome,
    },
    Ready {
        place: usize,
        machine: usize,
    },
    Gone {
        machine: usize,
    },
}

impl Due {
    fn front(&self) -> Option<usize> {
        match self {
            Due::Arrival { front }
            | Due::Again { front, .. }
            | Due::Ended { front, .. }
            | Due::Listed { front, .. }
            | Due::News { front, .. }
            | Due::VoteTold { front, .. }
            | Due::Flag { front, .. }
            | Due::Probed { front, .. } => Some(*front),
            Due::Ready { .. } | Due::Gone { .. } => None,
        }
    }
}

struct Open {
    front: usize,
    route: usize,
    came: u64,
    tries: usize,
    over: bool,
    came_back: bool,
}

struct World {
    case: Case,
    now: u64,
    machines: Vec<Machine>,
    ids: BTreeMap<String, usize>,
    /// By place, the machine that stands there.
    places: Vec<usize>,
    order: Vec<usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, Due>,
    numbers: u64,
    reqs: BTreeMap<u64, Open>,
    arrivals: Chance,
    works: Chance,
    outcomes: Chance,
    delays: Chance,
    fronts_rate: Vec<f64>,
    stage: u32,
    phase: RolloutPhase,
    since: u64,
    coming: usize,
    clock: u64,
    told: u64,
    votes: BTreeMap<usize, (Vote, u32, u64)>,
    votes_needed: [usize; 2],
    trouble: [u64; 2],
    struck: Vec<usize>,
    outcome: Outcome,
}

fn settings(case: Case, index: usize) -> Settings {
    let (size, strict) = (case.size, case.limits == Limits::Strict);
    let idempotency = |r: usize| match r {
        EFFECT => Idempotency::NotIdempotent,
        2 => Idempotency::IdempotencyKey {
            scope: KeyScope::Fleet,
            window: Duration::from_secs(1),
        },
        _ => Idempotency::Idempotent,
    };
    let route = |r: usize| Route {
        name: format!("r{r}"),
        latency_objective: Duration::from_micros(OBJECTIVES[r]),
        priority_weight: EARNINGS[r],
        idempotency: idempotency(r),
    };
    Settings {
        instance_index: index as u32,
        instance_count: size.fronts as u32,
        zone: format!("z{}", index % 3),
        routes: (0..ROUTES).map(route).collect(),
        poll_endpoints: strict,
        max_poll_interval: if strict {
            Duration::from_secs(2)
        } else {
            Duration::MAX
        },
        cross_zone_price: 0.01,
        health_checks: true,
        cancel_attempts: true,
        hedging: !strict,
        max_attempts: 4,
        max_retry_after: Duration::from_secs(1),
        grace_period: Duration::from_secs(1),
        warm_up_start: COLD_FROM,
        warm_up_time: Duration::from_micros(COLD_FOR),
        overload_multiple: 2.0,
        overload_window: Duration::from_millis(1_500),
        stage_caps: CAPS.to_vec(),
        exposure_allowance: 3.0,
        exposure_window: Duration::from_secs(4),
        exposure_by_route: strict,
        guarded_stages: 1,
        monotonic_key_builds: strict,
        automatic_stages: !strict,
        min_stage_time: Duration::from_millis(1_500),
        rollback_votes: back_votes(size) as u32,
        votes_per_second: (16 * size.fronts) as f64,
        vote_lifetime: Duration::from_secs(6),
        vote_timeout: Duration::from_millis(800),
    }
}

/// Three of five fronts would be too many for thin evidence: one in thirty, as the smallest count that is whole.
fn back_votes(size: Size) -> usize {
    size.fronts.div_ceil(30)
}

impl World {
    fn new(case: Case) -> World {
        let mut chance = Chance::new(case.seed, 1);
        let machine = |n: usize| Machine::new(format!("a{n}"), n % 3, usize::from(n % 5 > 2), 1, 0);
        let machines: Vec<Machine> = (0..case.size.machines).map(machine).collect();
        let mut order: Vec<usize> = (0..case.size.machines).collect();
        (1..order.len())
            .rev()
            .for_each(|i| order.swap(i, chance.below(i + 1)));
        let cores: f64 = machines
            .iter()
            .map(|m| if m.kind == 0 { 4.0 } else { 3.0 / 1.4 })
            .sum();
        let mean: f64 = WORK.iter().zip(TRAFFIC).map(|(w, t)| w * t).sum();
        let rate = chance.between(0.4, 0.6) * cores * 1e6 / mean;
        let uneven: Vec<f64> = (0..case.size.fronts)
            .map(|_| chance.between(0.6, 1.4))
            .collect();
        let all: f64 = uneven.iter().sum();
        // At a drawn time, or just as a stage begins.
        let from = if chance.of(0.5) {
            chance.between(2.0, 26.0) * 1e6
        } else {
            14e6 + chance.below(2) as f64 * 6e6
        };
        let spell = chance.between(6.0, 18.0) * 1e6;
        let trouble = [START + from as u64, START + (from + spell) as u64];
        let ids = machines
            .iter()
            .enumerate()
            .map(|(i, m)| (m.name.clone(), i))
            .collect();
        let size = case.size;
        World {
            now: START,
            ids,
            places: (0..size.machines).collect(),
            order,
            queue: BinaryHeap::new(),
            dues: BTreeMap::new(),
            numbers: 0,
            reqs: BTreeMap::new(),
            arrivals: Chance::new(case.seed, 2),
            works: Chance::new(case.seed, 3),
            outcomes: Chance::new(case.seed, 4),
            delays: Chance::new(case.seed, 5),
            fronts_rate: uneven.iter().map(|u| rate * u / all).collect(),
            stage: 0,
            phase: RolloutPhase::Released,
            since: START,
            coming: 0,
            clock: 0,
            told: 0,
            votes: BTreeMap::new(),
            votes_needed: [back_votes(size), (0.3 * size.fronts as f64).ceil() as usize],
            trouble,
            struck: Vec::new(),
            outcome: Outcome {
                earned: vec![[0.0; 2]; size.seconds as usize + 1],
                ..Outcome::default()
            },
            machines,
            case,
        }
    }

    fn put(&mut self, at: u64, due: Due) {
        self.numbers += 1;
        self.queue.push(Reverse((at, self.numbers)));
        self.dues.insert(self.numbers, due);
    }

    fn second(&self, at: u64) -> usize {
        ((at - START) / SECOND).min(self.case.size.seconds) as usize
    }

    fn build(&self) -> u32 {
        if self.now < START + OFFERED { 1 } else { 2 }
    }

    fn list(&mut self, machine: usize) {
        for front in 0..self.case.size.fronts {
            let at = self.now + self.delays.between(300e3, 900e3) as u64;
            self.put(at, Due::Listed { front, machine });
        }
    }

    fn tell(&mut self) {
        let cap = match self.phase {
            RolloutPhase::Canary => CAPS[self.stage as usize],
            RolloutPhase::Released => 1.0,
            RolloutPhase::RollingBack | RolloutPhase::Withdrawn => 0.0,
        };
        self.told = self.now;
        for front in 0..self.case.size.fronts {
            let at = self.now + self.delays.between(80e3, 350e3) as u64;
            let news = (self.build(), self.stage, self.phase, cap, self.since);
            self.put(at, Due::News { front, news });
        }
    }

    /// A new machine comes to a place, and takes it over once it runs.
    fn bring(&mut self, place: usize, build: u32) {
        let old = &self.machines[self.places[place]];
        let (zone, kind, at) = (old.zone, old.kind, self.now + BOOT);
        let name = format!("b{}", self.machines.len());
        self.ids.insert(name.clone(), self.machines.len());
        self.machines
            .push(Machine::new(name, zone, kind, build, at));
        self.coming += 1;
        self.put(
            at,
            Due::Ready {
                place,
                machine: self.machines.len() - 1,
            },
        );
    }

    fn begin(&mut self, stage: u32) {
        (self.stage, self.phase, self.since, self.clock) =
            (stage, RolloutPhase::Canary, self.now, 0);
        let places = (PLACES[stage as usize] * self.case.size.machines as f64).ceil() as usize;
        for n in 0..places {
            let place = self.order[n];
            if self.machines[self.places[place]].build == 1 {
                self.bring(place, 2);
            }
        }
        self.tell();
    }

    fn go_back(&mut self) {
        (self.phase, self.since) = (RolloutPhase::RollingBack, self.now);
        self.outcome.back = Some(self.now - START - OFFERED);
        for place in 0..self.places.len() {
            if self.machines[self.places[place]].build == 2 {
                self.bring(place, 1);
            }
        }
        self.tell();
    }

    fn platform(&mut self) {
        if self.now == START + OFFERED {
            self.begin(0);
        }
        let now = self.now;
        self.votes.retain(|_, (_, _, until)| *until > now);
        let stage = self.stage;
        let back = self
            .votes
            .values()
            .filter(|v| v.0 == Vote::RollBack)
            .count();
        let hold = self
            .votes
            .values()
            .filter(|v| v.0 == Vote::Hold && v.1 == stage)
            .count();
        let heeds = self.case.heeds != Heeds::Nobody;
        let offered = self.now >= START + OFFERED;
        if heeds
            && offered
            && matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Released)
            && back >= self.votes_needed[0]
        {
            self.go_back();
        } else if self.phase == RolloutPhase::Canary && self.coming == 0 {
            if heeds && hold >= self.votes_needed[1] {
                self.outcome.held_time += TICK;
            } else {
                self.clock += TICK;
            }
            if self.clock >= STEP && (stage as usize) < CAPS.len() - 1 {
                self.begin(stage + 1);
            } else if self.clock >= STEP {
                (self.phase, self.since) = (RolloutPhase::Released, self.now);
                self.outcome.released = Some(self.now - START - OFFERED);
                self.tell();
            }
        } else if now >= self.told + NEWS_EVERY {
            self.tell();
        }
    }

    fn confound(&mut self) {
        let [from, to] = self.trouble;
        if self.now == from / TICK * TICK {
            let mut chance = Chance::new(self.case.seed, 6);
            let part = chance.between(0.08, 0.25);
            let n =
                ((part * self.places.len() as f64) as usize).clamp(1, 3.max(self.places.len() / 8));
            for i in 0..self.places.len() {
                let machine = self.places[i];
                let lost = self.case.confounder == Confounder::LostZone
                    && self.machines[machine].zone == 0;
                if lost || self.struck.len() < n && chance.of(2.0 * part) {
                    self.struck.push(machine);
                }
            }
            for machine in self.struck.clone() {
                let m = &mut self.machines[machine];
                match self.case.confounder {
                    Confounder::Slow => m.slower = chance.between(2.0, 6.0),
                    Confounder::Neighbours => m.slower = chance.between(1.2, 1.8),
                    Confounder::FastErrors => m.errors = chance.between(0.2, 0.9),
                    Confounder::LostZone => m.silent = true,
                    _ => {}
                }
            }
        }
        if self.now == to / TICK * TICK {
            for machine in std::mem::take(&mut self.struck) {
                let m = &mut self.machines[machine];
                (m.slower, m.errors, m.silent) = (1.0, 0.0, false);
            }
        }
    }

    fn in_trouble(&self, with: Confounder) -> bool {
        self.case.confounder == with && self.now >= self.trouble[0] && self.now < self.trouble[1]
    }

    /// What the build does to a req on this machine: its factor of work, and how it may end.
    fn nature(&mut self, machine: usize, route: usize, held: usize) -> (f64, AttemptOutcome, bool) {
        let served = self
            .places
            .iter()
            .filter(|m| self.machines[**m].build == 2)
            .count();
        let part = served as f64 / self.places.len() as f64;
        let m = &self.machines[machine];
        let (new, kind, age) = (
            m.build == 2,
            m.kind,
            self.now.saturating_sub(m.started) as f64 / 1e6,
        );
        let own = m.errors;
        let mut wrong = false;
        let (mut factor, mut errors) = (1.0, 0.0);
        // One draw for each try, whatever the truth: a pair differs by it alone.
        let (draw, own_draw) = (self.outcomes.share(), self.outcomes.share());
        let mut end = AttemptOutcome::Succeeded;
        match self.case.truth {
            Truth::Shared(x) => factor = 1.0 + (x - 1.0) * part,
            _ if !new => {}
            Truth::Work(x) => factor = x,
            Truth::Errors { route: r, share } if r == route => errors = share,
            Truth::Busy(share) if held > if kind == 0 { 4 } else { 3 } => errors = share,
            Truth::Later { after, share } if age > after => errors = share,
            Truth::Wrong(share) => wrong = draw < share,
            Truth::Hangs(share) if draw < share => end = AttemptOutcome::TimedOut,
            Truth::OnKind { kind: k, share } if k == kind => errors = share,
            _ => {}
        }
        if draw < errors || own_draw < own {
            end = AttemptOutcome::Failed;
        }
        (factor, end, wrong)
    }

    fn arrive(&mut self, front: usize, route: usize, came_back: bool) -> u64 {
        let id = self.numbers + (1 << 40);
        self.numbers += 1;
        if !came_back {
            let second = self.second(self.now);
            self.outcome.earned[second][1] += EARNINGS[route];
        }
        self.reqs.insert(
            id,
            Open {
                front,
                route,
                came: self.now,
                tries: 0,
                over: false,
                came_back,
            },
        );
        id
    }

    /// Where keys are bound to a build, each is used by several requests.
    fn key(&self, id: u64) -> Option<String> {
        (self.case.limits == Limits::Strict).then(|| format!("key{}", id % 97))
    }

    fn ask(&self, id: u64, route: usize, policy: &mut Balancer) {
        let key = self.key(id);
        let request = IncomingRequest {
            route,
            idempotency_key: key.as_deref(),
            time_remaining: Duration::from_micros(DEADLINE),
            cost_hint: None,
        };
        policy.on_request(id, request);
    }

    fn draw_route(&mut self) -> usize {
        let heavy = if self.in_trouble(Confounder::HeavyRoute) {
            0.25
        } else {
            0.0
        };
        let mut at = self.arrivals.share();
        if at < heavy {
            return 0;
        }
        at = (at - heavy) / (1.0 - heavy);
        let mut route = 0;
        while route + 1 < ROUTES && at >= TRAFFIC[route] {
            at -= TRAFFIC[route];
            route += 1;
        }
        route
    }

    /// Some come back once, where a repeat does no harm.
    fn gives_up(&mut self, id: u64) {
        let Some(rq) = self.reqs.get_mut(&id) else {
            return;
        };
        rq.over = true;
        let (front, route, again) = (rq.front, rq.route, rq.came_back);
        if !again && route != EFFECT && self.arrivals.of(0.6) {
            let at = self.now + self.arrivals.between(60e3, 300e3) as u64;
            self.put(at, Due::Again { front, route });
        }
    }

    fn forget(&mut self) {
        let now = self.now;
        self.reqs.retain(|_, rq| now < rq.came + 2 * DEADLINE);
    }
}

/// One front's news of a tick.
struct Mail<'a> {
    world: &'a mut World,
    front: usize,
    dues: Vec<Due>,
}

impl EventSource for Mail<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        for due in std::mem::take(&mut self.dues) {
            let w = &mut *self.world;
            let now = w.now;
            match due {
                Due::Arrival { .. } => {
                    let route = w.draw_route();
                    let id = w.arrive(self.front, route, false);
                    w.ask(id, route, policy);
                    let burst = if w.in_trouble(Confounder::Burst) {
                        1.7
                    } else {
                        1.0
                    };
                    let gap = w.arrivals.gap(1e6 / w.fronts_rate[self.front] / burst);
                    w.put(now + gap as u64 + 1, Due::Arrival { front: self.front });
                }
                Due::Again { route, .. } => {
                    let id = w.arrive(self.front, route, true);
                    w.ask(id, route, policy);
                }
                Due::Ended {
                    rq,
                    n,
                    machine,
                    end,
                    sent,
                    wrong,
                    held,
                    ..
                } => {
                    let Some(open) = w.reqs.get_mut(&rq) else {
                        continue;
                    };
                    let done = end == AttemptOutcome::Succeeded && !open.over;
                    open.over |= end == AttemptOutcome::Succeeded;
                    let (over, came, route) = (open.over, open.came, open.route);
                    let failed = matches!(end, AttemptOutcome::Failed | AttemptOutcome::TimedOut)
                        && w.machines[machine].build == 2;
                    if failed && w.case.heeds == Heeds::FirstFailure {
                        w.votes
                            .insert(self.front, (Vote::RollBack, w.stage, now + 6 * SECOND));
                    }
                    if done && !wrong && now <= came + OBJECTIVES[route] {
                        let second = w.second(came);
                        w.outcome.earned[second][0] += EARNINGS[route];
                    }
                    if done && wrong && w.outcomes.of(FLAGGED) {
                        let at = now + w.delays.between(700e3, 2_500e3) as u64;
                        w.put(
                            at,
                            Due::Flag {
                                front: self.front,
                                machine,
                                sent,
                            },
                        );
                    }
                    let load = LoadReport {
                        in_flight: Some(held as f64),
                        queued: None,
                    };
                    let load =
                        (end == AttemptOutcome::Succeeded && w.delays.of(0.8)).then_some(load);
                    let duration = Duration::from_micros(now - sent);
                    let result = AttemptResult {
                        outcome: end,
                        duration,
                        request_finished: over,
                        load,
                    };
                    policy.on_attempt_result(rq, n, result);
                }
                Due::Listed { machine, .. } => {
                    let m = &w.machines[machine];
                    let standing = match (m.gone, m.draining) {
                        (true, _) => EndpointState::Removed,
                        (_, true) => EndpointState::Draining,
                        _ => EndpointState::Ready,
                    };
                    let (zone, kind) = (format!("z{}", m.zone), format!("k{}", m.kind));
                    policy.on_endpoint(EndpointEntry {
                        name: &m.name,
                        zone: &zone,
                        cell: 0,
                        hardware_class: &kind,
                        build: m.build,
                        state: standing,
                        started_at: (m.started > 0).then(|| Timestamp::from_micros(m.started)),
                    });
                }
                Due::News {
                    news: (build, stage, phase, cap, since),
                    ..
                } => {
                    let age = Duration::from_micros(now - since);
                    policy.on_rollout_status(RolloutStatus {
                        build,
                        stage,
                        phase,
                        traffic_cap: cap,
                        age,
                    });
                }
                Due::VoteTold { counts, .. } => {
                    policy.on_vote_result(if counts {
                        VoteResult::Accepted
                    } else {
                        VoteResult::Superseded
                    });
                }
                Due::Flag { machine, sent, .. } => {
                    let age = Duration::from_micros(now - sent);
                    policy.on_answer_flagged(&w.machines[machine].name, age);
                }
                Due::Probed { machine, end, .. } => {
                    policy.on_health_check(&w.machines[machine].name, end, None)
                }
                Due::Ready { .. } | Due::Gone { .. } => {}
            }
        }
    }
}

/// One front's decisions.
struct Hand<'a> {
    world: &'a mut World,
    front: usize,
    wake: &'a mut u64,
}

impl DecisionSink for Hand<'_> {
    fn start_attempt(&mut self, id: u64, machine: &str, until: Timestamp) {
        let until = until.as_micros();
        let w = &mut *self.world;
        let (now, front, machine) = (w.now, self.front, w.ids[machine]);
        let Some(open) = w.reqs.get_mut(&id) else {
            return;
        };
        let (n, route) = (open.tries, open.route);
        open.tries += 1;
        let work = WORK[route] * w.works.work();
        let held = w.machines[machine].holds(now);
        let (factor, nature, wrong) = w.nature(machine, route, held);
        let gone = w.machines[machine].gone;
        let hop = w.delays.between(0.3e3, 1.2e3) as u64;
        let service = if gone {
            Service::Full
        } else {
            w.machines[machine].serve(work, factor, now + hop)
        };
        let (end, at, held) = match service {
            _ if gone => (AttemptOutcome::Refused, now + hop, 0),
            Service::Full => (AttemptOutcome::Overloaded, now + 2 * hop, 0),
            Service::Never => (AttemptOutcome::TimedOut, until, 0),
            Service::At { .. } if nature == AttemptOutcome::TimedOut => {
                (AttemptOutcome::TimedOut, until, 0)
            }
            // Errors come fast.
            Service::At { held, .. } if nature == AttemptOutcome::Failed => {
                (AttemptOutcome::Failed, now + 2 * hop + 2 * MS, held)
            }
            Service::At { done, held } if done + hop < until => {
                (AttemptOutcome::Succeeded, done + hop, held)
            }
            Service::At { .. } => (AttemptOutcome::TimedOut, until, 0),
        };
        w.put(
            at.max(now + 1),
            Due::Ended {
                front,
                rq: id,
                n,
                machine,
                end,
                sent: now,
                wrong,
                held,
            },
        );
    }
    fn cancel_attempt(&mut self, _id: u64, _n: usize) {}
    fn reject_request(&mut self, id: u64, _retry_after: Duration) {
        self.world.gives_up(id);
    }
    fn fail_request(&mut self, id: u64) {
        self.world.gives_up(id);
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        let w = &mut *self.world;
        let Ballot {
            build,
            stage,
            vote: verdict,
        } = ballot;
        let counts = build == w.build() && (verdict == Vote::RollBack || stage == w.stage);
        if counts {
            w.votes
                .insert(self.front, (verdict, stage, w.now + 6 * SECOND));
        }
        let at = w.now + w.delays.between(30e3, 180e3) as u64;
        w.put(
            at,
            Due::VoteTold {
                front: self.front,
                counts,
            },
        );
    }
    fn start_health_check(&mut self, machine: &str, until: Timestamp) {
        let until = until.as_micros();
        let w = &mut *self.world;
        let machine = w.ids[machine];
        let (silent, gone) = (w.machines[machine].silent, w.machines[machine].gone);
        let (end, at) = if silent {
            (AttemptOutcome::TimedOut, until)
        } else {
            (AttemptOutcome::Succeeded, w.now + 3 * MS)
        };
        let end = if gone { AttemptOutcome::Refused } else { end };
        w.put(
            at,
            Due::Probed {
                front: self.front,
                machine,
                end,
            },
        );
    }
    fn poll_endpoints(&mut self) {}
    fn schedule_wake_up(&mut self, after: Duration) {
        *self.wake = self.world.now + whole_micros(after);
    }
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        self.world.outcome.test.get_or_insert(verdict.test);
    }
}

pub fn play(case: Case) -> Outcome {
    let mut w = World::new(case);
    let seed = |n: usize| case.seed.wrapping_mul(1009).wrapping_add(n as u64);
    let mut fronts: Vec<(Balancer, u64)> = (0..case.size.fronts)
        .map(|n| {
            (
                Balancer::new(settings(case, n), seed(n), Timestamp::from_micros(START)),
                START,
            )
        })
        .collect();
    for front in 0..fronts.len() {
        for machine in 0..w.machines.len() {
            w.put(START, Due::Listed { front, machine });
        }
        w.put(
            START,
            Due::News {
                front,
                news: (1, 3, RolloutPhase::Released, 1.0, START),
            },
        );
        let at = START + w.arrivals.gap(1e6 / w.fronts_rate[front]) as u64;
        w.put(at, Due::Arrival { front });
    }
    let end = START + case.size.seconds * SECOND;
    let mut mail: Vec<Vec<Due>> = (0..fronts.len()).map(|_| Vec::new()).collect();
    while w.now < end {
        w.confound();
        w.platform();
        while w.queue.peek().is_some_and(|Reverse((at, _))| *at <= w.now) {
            let Some(Reverse((_, number))) = w.queue.pop() else {
                break;
            };
            let Some(due) = w.dues.remove(&number) else {
                continue;
            };
            match due {
                Due::Ready { place, machine } => {
                    let old = std::mem::replace(&mut w.places[place], machine);
                    w.coming -= 1;
                    w.machines[old].draining = true;
                    w.list(machine);
                    w.list(old);
                    w.put(w.now + DRAIN, Due::Gone { machine: old });
                }
                Due::Gone { machine } => {
                    w.machines[machine].gone = true;
                    w.list(machine);
                }
                due => mail[due.front().unwrap_or(0)].push(due),
            }
        }
        let stalled =
            w.in_trouble(Confounder::Stall) && (w.now - w.trouble[0]) % (3 * SECOND) < 400 * MS;
        for (front, (module, wake)) in fronts.iter_mut().enumerate() {
            // One front stands still now and then, and finds all at once.
            if (mail[front].is_empty() && w.now < *wake) || (stalled && front == 0) {
                continue;
            }
            w.outcome.rounds += 1;
            let (now, dues) = (w.now, std::mem::take(&mut mail[front]));
            let shared = std::cell::RefCell::new(&mut w);
            module.step(
                Timestamp::from_micros(now),
                &mut Shared(&shared, front, dues),
                &mut Written(&shared, front, wake),
            );
        }
        if w.now.is_multiple_of(SECOND) {
            w.forget();
        }
        w.now += TICK;
    }
    w.outcome
}

/// The world is read while news is replayed and changed while decisions are written, never both at once.
struct Shared<'a, 'w>(&'a std::cell::RefCell<&'w mut World>, usize, Vec<Due>);

impl EventSource for Shared<'_, '_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        let world = &mut **self.0.borrow_mut();
        Mail {
            world,
            front: self.1,
            dues: std::mem::take(&mut self.2),
        }
        .deliver(policy);
    }
}

struct Written<'a, 'w>(&'a std::cell::RefCell<&'w mut World>, usize, &'a mut u64);

impl Written<'_, '_> {
    fn hand(&mut self, write: impl FnOnce(&mut Hand)) {
        let world = &mut **self.0.borrow_mut();
        write(&mut Hand {
            world,
            front: self.1,
            wake: self.2,
        });
    }
}

/// Numbers that tell the kinds of decisions apart in the digest.
mod decision {
    pub const ATTEMPT: u64 = 1;
    pub const CANCEL: u64 = 2;
    pub const REJECT: u64 = 3;
    pub const FAIL: u64 = 4;
    pub const VOTE: u64 = 5;
    pub const HEALTH_CHECK: u64 = 6;
    pub const POLL: u64 = 7;
    pub const WAKE_UP: u64 = 8;
    pub const ROLLBACK_VERDICT: u64 = 9;
}

impl Written<'_, '_> {
    fn trace(&self, numbers: &[u64]) {
        let digest = &mut self.0.borrow_mut().outcome.digest;
        digest.add(self.1 as u64);
        numbers.iter().for_each(|number| digest.add(*number));
    }
    fn number_of(&self, machine: &str) -> u64 {
        self.0.borrow().ids[machine] as u64
    }
}

impl DecisionSink for Written<'_, '_> {
    fn start_attempt(&mut self, rq: u64, machine: &str, until: Timestamp) {
        self.trace(&[
            decision::ATTEMPT,
            rq,
            self.number_of(machine),
            until.as_micros(),
        ]);
        self.hand(|h| h.start_attempt(rq, machine, until));
    }
    fn cancel_attempt(&mut self, rq: u64, n: usize) {
        self.trace(&[decision::CANCEL, rq, n as u64]);
        self.hand(|h| h.cancel_attempt(rq, n));
    }
    fn reject_request(&mut self, rq: u64, retry_after: Duration) {
        self.trace(&[decision::REJECT, rq, whole_micros(retry_after)]);
        self.hand(|h| h.reject_request(rq, retry_after));
    }
    fn fail_request(&mut self, rq: u64) {
        self.trace(&[decision::FAIL, rq]);
        self.hand(|h| h.fail_request(rq));
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        let code = match ballot.vote {
            Vote::Abstain => 0,
            Vote::Advance => 1,
            Vote::Hold => 2,
            Vote::RollBack => 3,
        };
        self.trace(&[
            decision::VOTE,
            u64::from(ballot.build),
            u64::from(ballot.stage),
            code,
        ]);
        self.hand(|h| h.cast_vote(ballot));
    }
    fn start_health_check(&mut self, machine: &str, until: Timestamp) {
        self.trace(&[
            decision::HEALTH_CHECK,
            self.number_of(machine),
            until.as_micros(),
        ]);
        self.hand(|h| h.start_health_check(machine, until));
    }
    fn poll_endpoints(&mut self) {
        self.trace(&[decision::POLL]);
    }
    fn schedule_wake_up(&mut self, after: Duration) {
        self.trace(&[decision::WAKE_UP, whole_micros(after)]);
        self.hand(|h| h.schedule_wake_up(after));
    }
    fn report_rollback_verdict(&mut self, verdict: &RollbackVerdict) {
        let RollbackVerdict {
            build,
            stage,
            test,
            candidate,
            baseline,
            ..
        } = *verdict;
        let floats = [
            candidate.failures,
            candidate.outcomes,
            baseline.failures,
            baseline.outcomes,
            verdict.score,
            verdict.bound,
        ];
        let floats = floats.map(f64::to_bits);
        let ejected = verdict.ejected_endpoints as u64;
        let test = match test {
            EvidenceTest::Failures => 0,
            EvidenceTest::Slowness => 1,
            EvidenceTest::Errors => 2,
            EvidenceTest::FleetSlowdown => 3,
        };
        self.trace(&[
            decision::ROLLBACK_VERDICT,
            u64::from(build),
            u64::from(stage),
            test,
            ejected,
        ]);
        self.trace(&floats);
        self.hand(|h| h.report_rollback_verdict(verdict));
    }
}
