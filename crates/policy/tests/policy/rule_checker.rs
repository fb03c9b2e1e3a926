//! The five rules and the yes-or-no limits, checked from outside over seeded random steps, under every
//! combination of the limits. The checker keeps books of its own and hears only what a host would see.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::harness::{MS, endpoint, outcome, request, rollout_status, settings};
use oorandom::Rand64;
use tidescale_policy::host::DecisionSink;
use tidescale_policy::settings::{Idempotency, KeyScope, Settings};
use tidescale_policy::types::{
    AttemptId, AttemptOutcome, Ballot, EndpointState, RequestId, RollbackVerdict, RolloutPhase,
    Timestamp, Vote, VoteResult, whole_micros,
};
use tidescale_policy::{Balancer, EventSource, SWEEP_INTERVAL};

const MACHINES: u64 = 9;
const SPELL: u64 = 7 * MS;
/// Reqs a second that a endpoint bears; a warm one answers about that many of this instance's.
const BEARS: f64 = 25.0;

#[derive(Clone)]
struct Seat {
    zone: &'static str,
    cell: u64,
    build: u32,
    standing: EndpointState,
    started: u64,
    /// When it was last told as ready no longer.
    left: u64,
}

struct Sent {
    machine: u64,
    sent: u64,
    answers: u64,
    end: Option<AttemptOutcome>,
    cell: u64,
    zone: &'static str,
    started: u64,
}

struct Asked {
    route: usize,
    key: Option<String>,
    due: u64,
    over: bool,
    tries: Vec<Sent>,
}

/// All that the rules need, and what was broken first.
struct Outside {
    set: Settings,
    now: u64,
    rng: Rand64,
    seats: Vec<Seat>,
    reqs: BTreeMap<u64, Asked>,
    news: (u32, u32, RolloutPhase, f64),
    /// The cap as it binds: a lower one after the grace, counted from then on.
    binds: (f64, u64),
    lower: Option<u64>,
    taken: Vec<(u64, usize)>,
    exposed: Vec<(u64, usize, u32)>,
    cold: Vec<(u64, u64)>,
    keys: BTreeMap<String, u32>,
    probes: Vec<(u64, u64)>,
    vote: bool,
    asked_list: bool,
    broken: Option<String>,
}

impl Outside {
    fn new(set: Settings, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let zones = ["z1", "z2"];
        let seat = |i: u64| Seat {
            zone: zones[(i % 2) as usize],
            cell: rng.rand_u64() % 3,
            build: 1,
            standing: EndpointState::Ready,
            started: 0,
            left: 0,
        };
        let seats = (0..MACHINES).map(seat).collect();
        Outside {
            now: 100_000 * MS,
            rng,
            seats,
            reqs: BTreeMap::new(),
            news: (1, 2, RolloutPhase::Released, 1.0),
            binds: (1.0, 0),
            lower: None,
            taken: Vec::new(),
            exposed: Vec::new(),
            cold: Vec::new(),
            keys: BTreeMap::new(),
            probes: Vec::new(),
            vote: false,
            asked_list: false,
            broken: None,
            set,
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.rand_float() < share
    }

    fn demand(&mut self, kept: bool, rule: &str, what: impl std::fmt::Display) {
        if !kept && self.broken.is_none() {
            self.broken = Some(format!("{rule}: {what} at {}", self.now));
        }
    }

    fn on_trial(&self, build: u32) -> bool {
        build > self.news.0 || (build == self.news.0 && self.news.2 != RolloutPhase::Released)
    }

    fn tell(&self, policy: &mut Balancer, i: usize) {
        let s = &self.seats[i];
        endpoint(
            policy,
            &format!("m{i}"),
            (s.zone, s.cell, "k"),
            s.build,
            s.standing,
            s.started,
        );
    }

    /// A new stage or build, a build going back or taken out; the caps rise and fall.
    fn move_on(&mut self, policy: &mut Balancer) {
        let (build, stage, phase, _) = self.news;
        let caps = self.set.stage_caps.clone();
        let last = caps.len() as u32 - 1;
        self.news = match phase {
            RolloutPhase::Released | RolloutPhase::Withdrawn => {
                (build + 1, 0, RolloutPhase::Canary, caps[0])
            }
            RolloutPhase::Canary if self.chance(0.2) => {
                (build, stage, RolloutPhase::RollingBack, 0.0)
            }
            RolloutPhase::Canary if self.chance(0.2) => (build, 0, RolloutPhase::Canary, caps[0]),
            RolloutPhase::Canary if stage < last => (
                build,
                stage + 1,
                RolloutPhase::Canary,
                caps[stage as usize + 1],
            ),
            RolloutPhase::Canary => (build, last, RolloutPhase::Released, 1.0),
            RolloutPhase::RollingBack => (build, stage, RolloutPhase::Withdrawn, 0.0),
        };
        let cap = self.news.3;
        if cap < self.binds.0 && build == self.news.0 {
            self.lower
                .get_or_insert(self.now + whole_micros(self.set.grace_period));
        } else {
            (self.binds, self.lower) = ((cap, 0), None);
        }
        rollout_status(policy, self.news.0, self.news.1, self.news.2, cap, 0);
    }

    /// A endpoint drains, goes, comes back as another process, or another build takes its place.
    fn shuffle(&mut self, policy: &mut Balancer) {
        let i = (self.rng.rand_u64() % MACHINES) as usize;
        let ready = self
            .seats
            .iter()
            .filter(|s| s.standing == EndpointState::Ready)
            .count();
        let fate = self.rng.rand_u64() % 4;
        let (now, newest) = (
            self.now,
            self.news.0 + u32::from(self.rng.rand_u64().is_multiple_of(8)),
        );
        let zone = if self.chance(0.2) {
            "z1"
        } else {
            self.seats[i].zone
        };
        let s = &mut self.seats[i];
        match fate {
            0 if ready > 2 && s.standing == EndpointState::Ready => {
                (s.standing, s.left) = (EndpointState::Draining, now);
            }
            1 if ready > 2 && s.standing == EndpointState::Draining => {
                s.standing = EndpointState::Removed;
            }
            _ if s.standing != EndpointState::Ready => {
                s.build = if fate == 2 { newest } else { newest.max(2) - 1 };
                (s.standing, s.started, s.zone) = (EndpointState::Ready, now - 300 * MS, zone);
            }
            _ => {}
        }
        self.tell(policy, i);
    }

    /// What became of the attempt, if anything by now; told to the policy and kept.
    fn outcomes(&mut self, policy: &mut Balancer) {
        let now = self.now;
        for (&id, rq) in &mut self.reqs {
            for (n, t) in rq
                .tries
                .iter_mut()
                .enumerate()
                .filter(|(_, t)| t.end.is_none())
            {
                let gone = self.seats[t.machine as usize].started != t.started;
                let late = now >= rq.due && !rq.over;
                if now < t.answers && !gone && !late {
                    continue;
                }
                // Every second build fails often, or there would be nothing to vote on.
                let bad = self.seats[t.machine as usize].build.is_multiple_of(2);
                let drawn = self.rng.rand_u64() % 100;
                let end = match drawn {
                    _ if gone => AttemptOutcome::ConnectionReset,
                    _ if late => AttemptOutcome::TimedOut,
                    0..3 => AttemptOutcome::Failed,
                    70..90 if bad => AttemptOutcome::Failed,
                    3..5 => AttemptOutcome::ConnectionReset,
                    5..7 => AttemptOutcome::Malformed,
                    7..10 => AttemptOutcome::Overloaded,
                    10..12 => AttemptOutcome::Refused,
                    12 => AttemptOutcome::NotSent,
                    _ => AttemptOutcome::Succeeded,
                };
                t.end = Some(end);
                if end == AttemptOutcome::Succeeded {
                    rq.over = true;
                    if let Some(key) = &rq.key {
                        self.keys
                            .insert(key.clone(), self.seats[t.machine as usize].build);
                    }
                }
                outcome(policy, id, n, end, now - t.sent, rq.over, None);
            }
        }
        self.reqs
            .retain(|_, rq| !rq.over || rq.tries.iter().any(|t| t.end.is_none()));
    }

    fn new_reqs(&mut self, policy: &mut Balancer) {
        while self.chance(0.35) {
            let id = 1000 + self.taken.len() as u64;
            // Routes come in waves, or those that count by route and those that don't would evaluation alike.
            let (routes, wave) = (self.set.routes.len() as u64, self.now / (1500 * MS));
            let drawn = if self.chance(0.8) {
                wave
            } else {
                self.rng.rand_u64()
            };
            let route = (drawn % routes) as usize;
            let key = self
                .chance(0.5)
                .then(|| format!("k{}", self.rng.rand_u64() % 20));
            let left = 50 * MS + self.rng.rand_u64() % (900 * MS);
            request(policy, id, route, key.as_deref(), left, 0.0);
            self.taken.push((self.now, route));
            self.reqs.insert(
                id,
                Asked {
                    route,
                    key,
                    due: self.now + left,
                    over: false,
                    tries: Vec::new(),
                },
            );
        }
    }

    /// Rule 5, for the idempotency key of an attempt just sent.
    fn key_guard(&mut self, id: u64, build: u32) {
        let key = self.reqs[&id].key.clone();
        let bound = key
            .and_then(|k| self.keys.get(&k).copied())
            .filter(|b| self.on_trial(*b))
            .unwrap_or(0);
        let free = !self.set.monotonic_key_builds
            || matches!(
                self.news.2,
                RolloutPhase::RollingBack | RolloutPhase::Withdrawn
            )
            || build >= bound;
        self.demand(
            free,
            "rule 5",
            format!("the key of {id} back from build {bound}"),
        );
    }

    /// Rule 4, for an attempt just sent.
    fn warm_up(&mut self, i: usize, machine: &str) {
        let s = self.seats[i].clone();
        let age = self.now.saturating_sub(s.started);
        if s.started > 0 && age < whole_micros(self.set.warm_up_time) {
            self.cold.push((self.now, i as u64));
            let from = self
                .now
                .saturating_sub(whole_micros(self.set.overload_window));
            let sent = self
                .cold
                .iter()
                .filter(|(at, of)| *at > from.max(s.started) && *of == i as u64)
                .count();
            let warm = self.set.warm_up_start
                + (1.0 - self.set.warm_up_start) * age as f64
                    / whole_micros(self.set.warm_up_time) as f64;
            let most = self.set.overload_multiple
                * BEARS
                * warm
                * whole_micros(self.set.overload_window) as f64
                / 1e6
                + 3.0;
            self.demand(
                sent as f64 <= most,
                "rule 4",
                format!("{sent} to cold {machine}, {most:.1} at most"),
            );
        }
    }

    /// Rule 5, for the attempt just sent.
    fn exposure(&mut self, id: u64, route: usize, build: u32) {
        if !self.on_trial(build) {
            return;
        }
        self.exposed.push((self.now, route, build));
        let told = build == self.news.0;
        let stage = if told { self.news.1 } else { 0 };
        let retriable = self.set.routes[route].idempotency == Idempotency::Idempotent;
        self.demand(
            retriable || stage >= self.set.guarded_stages,
            "rule 5",
            format!("a guarded stage met by {id}"),
        );
        let (cap, counted_from) = if told {
            self.binds
        } else {
            (self.set.stage_caps[0], 0)
        };
        let from = counted_from.max(
            self.now
                .saturating_sub(whole_micros(self.set.exposure_window)),
        );
        let counts = |r: usize| !self.set.exposure_by_route || r == route;
        let tries = self
            .exposed
            .iter()
            .filter(|(at, r, b)| *at >= from && counts(*r) && *b == build)
            .count();
        let taken = self
            .taken
            .iter()
            .filter(|(at, r)| *at >= from && counts(*r))
            .count();
        // Where a cap has fallen, what went out within the grace is not held against it.
        let within = tries as f64 <= self.set.exposure_allowance + cap * taken as f64;
        self.demand(
            within,
            "rule 5",
            format!("exposure by {id}: {tries} tries at build {build} of {taken} reqs, cap {cap}"),
        );
    }

    /// Rule 2 for one more attempt of this request at this endpoint, or for shedding it where there is none.
    fn effect(&mut self, id: u64, at: Option<usize>) {
        let rq = &self.reqs[&id];
        let never = |e: &Option<AttemptOutcome>| {
            matches!(
                e,
                Some(
                    AttemptOutcome::Overloaded | AttemptOutcome::Refused | AttemptOutcome::NotSent
                )
            )
        };
        let mut ran = rq.tries.iter().filter(|t| !never(&t.end));
        let now = self.now;
        let kept = match (
            self.set.routes[rq.route].idempotency,
            at.map(|i| &self.seats[i]),
        ) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NotIdempotent, _) => ran.next().is_none(),
            (
                Idempotency::IdempotencyKey {
                    scope: KeyScope::Fleet,
                    ..
                },
                None,
            ) => true,
            (Idempotency::IdempotencyKey { .. }, None) => ran.next().is_none(),
            (Idempotency::IdempotencyKey { scope, window }, Some(m)) => ran.all(|t| {
                let inside = match scope {
                    KeyScope::Fleet => true,
                    KeyScope::Zone => t.zone == m.zone,
                    KeyScope::Cell => t.cell == m.cell,
                };
                inside && now < t.sent + whole_micros(window)
            }),
        };
        self.demand(kept, "rule 2", format!("{id} to {at:?}"));
    }
}

impl EventSource for Outside {
    fn deliver(&mut self, policy: &mut Balancer) {
        if self.now == 100_000 * MS {
            (0..self.seats.len()).for_each(|i| self.tell(policy, i));
            rollout_status(policy, 1, 2, RolloutPhase::Released, 1.0, 60_000 * MS);
        }
        if self.lower.is_some_and(|at| self.now >= at) {
            (self.binds, self.lower) = ((self.news.3, self.now), None);
        }
        // The first seconds are quiet, for a instance learns what endpoints bear.
        let quiet = self.now < 101_000 * MS;
        if !quiet && self.chance(0.02) {
            self.move_on(policy);
        }
        if !quiet && self.chance(0.1) {
            self.shuffle(policy);
        }
        if self.asked_list && self.chance(0.02) {
            self.asked_list = false;
            policy.on_endpoint_list_failed();
        }
        self.outcomes(policy);
        for (_, i) in self
            .probes
            .extract_if(.., |(at, _)| *at <= self.now)
            .collect::<Vec<_>>()
        {
            let end = if self.chance(0.7) {
                AttemptOutcome::Succeeded
            } else {
                AttemptOutcome::Refused
            };
            policy.on_health_check(&format!("m{i}"), end, None);
        }
        if self.vote && self.chance(0.3) {
            self.vote = false;
            policy.on_vote_result(if self.chance(0.7) {
                VoteResult::Accepted
            } else {
                VoteResult::Unknown
            });
        }
        if self.chance(0.01) {
            let i = self.rng.rand_u64() % MACHINES;
            flagged(policy, &format!("m{i}"), 100 * MS);
        }
        if self.chance(0.01)
            && let Some((&id, rq)) = self.reqs.iter_mut().next_back()
        {
            rq.over = true;
            policy.on_client_disconnected(RequestId::new(id));
        }
        self.new_reqs(policy);
    }
}

/// The outside as the writer: each decision is held against the books.
impl DecisionSink for Outside {
    fn start_attempt(&mut self, id: AttemptId, machine: &str, until: Timestamp) {
        let id = id.request.get();
        let until = until.as_micros();
        let i: usize = machine[1..].parse().unwrap();
        let over = self.reqs.get(&id).is_none_or(|rq| rq.over);
        self.demand(!over, "rule 1", format!("{id} sent after its end"));
        if over {
            return;
        }
        let (route, tries, due) = {
            let rq = &self.reqs[&id];
            (rq.route, rq.tries.len(), rq.due)
        };
        self.demand(
            tries < self.set.max_attempts,
            "limits",
            format!("a further try, {tries}, of {id}"),
        );
        self.demand(until <= due, "limits", format!("{id}: waits too long"));
        self.effect(id, Some(i));
        let alone = self.set.hedging || self.reqs[&id].tries.iter().all(|t| t.end.is_some());
        self.demand(alone, "rule 2", format!("a second copy of {id}"));
        let s = self.seats[i].clone();
        let open = s.standing == EndpointState::Ready
            || self.now <= s.left + whole_micros(self.set.grace_period);
        self.demand(
            open,
            "rule 3",
            format!("{id} to {:?} {machine}", s.standing),
        );
        self.exposure(id, route, s.build);
        self.key_guard(id, s.build);
        self.warm_up(i, machine);
        let (draw, far) = (self.rng.rand_u64() % 100, self.rng.rand_u64());
        let takes = if draw < 3 {
            2000 * MS
        } else {
            5 * MS + far % (30 * MS)
        };
        let sent = Sent {
            machine: i as u64,
            sent: self.now,
            answers: self.now + takes,
            end: None,
            cell: s.cell,
            zone: s.zone,
            started: s.started,
        };
        self.reqs.get_mut(&id).unwrap().tries.push(sent);
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let (id, n) = (attempt.request, attempt.index);
        self.demand(
            self.set.cancel_attempts,
            "limits",
            format!("a cancel of {id} {n}"),
        );
    }
    fn reject_request(&mut self, id: RequestId, come_back: Duration) {
        self.demand(
            come_back <= self.set.max_retry_after,
            "limits",
            format!("a time to come back for {id}"),
        );
        self.effect(id.get(), None);
        self.fail_request(id);
    }
    fn fail_request(&mut self, id: RequestId) {
        let id = id.get();
        let over = self.reqs.get(&id).is_none_or(|rq| rq.over);
        self.demand(!over, "rule 1", format!("{id} answered twice"));
        self.reqs
            .get_mut(&id)
            .into_iter()
            .for_each(|rq| rq.over = true);
    }
    fn cast_vote(
        &mut self,
        Ballot {
            build,
            vote: verdict,
            ..
        }: Ballot,
    ) {
        let allowed = match verdict {
            Vote::Advance => !self.set.automatic_stages,
            Vote::Hold => self.set.automatic_stages,
            Vote::RollBack | Vote::Abstain => true,
        };
        self.demand(
            allowed && build.get() == self.news.0,
            "limits",
            format!("a vote {verdict:?} on {build}"),
        );
        self.demand(!self.vote, "limits", "a vote before the answer to the last");
        self.vote = true;
    }
    fn start_health_check(&mut self, machine: &str, until: Timestamp) {
        let until = until.as_micros();
        self.demand(
            self.set.health_checks,
            "limits",
            format!("a probe of {machine}"),
        );
        let at = if self.chance(0.8) {
            self.now + 20 * MS
        } else {
            until
        };
        self.probes.push((at, machine[1..].parse().unwrap()));
    }
    fn poll_endpoints(&mut self) {
        self.demand(self.set.poll_endpoints, "limits", "the list is asked for");
        self.asked_list = true;
    }
    fn schedule_wake_up(&mut self, _after: Duration) {}
    fn report_rollback_verdict(&mut self, _verdict: &RollbackVerdict) {}
}

/// The outside once as what came in, once as where decisions go.
struct Half<'a>(&'a std::cell::RefCell<Outside>);

impl EventSource for Half<'_> {
    fn deliver(&mut self, policy: &mut Balancer) {
        self.0.borrow_mut().deliver(policy);
    }
}

/// Drives a policy that was told `told`, held against `set`; the first rule that broke.
fn play(told: &Settings, set: &Settings, seed: u64, rounds: usize) -> Option<String> {
    let outside = std::cell::RefCell::new(Outside::new(set.clone(), seed));
    let mut module = Balancer::new(told.clone(), seed, Timestamp::from_micros(100_000 * MS));
    for _ in 0..rounds {
        let now = outside.borrow().now;
        let mut decided = Vec::new();
        module.step(
            Timestamp::from_micros(now),
            &mut Half(&outside),
            &mut Later(&mut decided),
        );
        let mut o = outside.borrow_mut();
        decided.into_iter().for_each(|write| write(&mut o));
        let overdue = o
            .reqs
            .iter()
            .find(|(_, rq)| !rq.over && now > rq.due + whole_micros(SWEEP_INTERVAL) + SPELL);
        let overdue = overdue.map(|(id, _)| *id);
        o.demand(
            overdue.is_none(),
            "rule 1",
            format!("{overdue:?} has no answer"),
        );
        if o.broken.is_some() {
            break;
        }
        o.now += 1 + o.rng.rand_u64() % SPELL;
    }
    outside.into_inner().broken
}

type Write = Box<dyn FnOnce(&mut Outside)>;

/// Decisions in order, for the outside can't be lent out while it replays.
struct Later<'a>(&'a mut Vec<Write>);

impl DecisionSink for Later<'_> {
    fn start_attempt(&mut self, rq: AttemptId, machine: &str, until: Timestamp) {
        let machine = machine.to_string();
        self.0
            .push(Box::new(move |o| o.start_attempt(rq, &machine, until)));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.0.push(Box::new(move |o| o.cancel_attempt(attempt)));
    }
    fn reject_request(&mut self, rq: RequestId, come_back: Duration) {
        self.0
            .push(Box::new(move |o| o.reject_request(rq, come_back)));
    }
    fn fail_request(&mut self, rq: RequestId) {
        self.0.push(Box::new(move |o| o.fail_request(rq)));
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        self.0.push(Box::new(move |o| o.cast_vote(ballot)));
    }
    fn start_health_check(&mut self, machine: &str, until: Timestamp) {
        let machine = machine.to_string();
        self.0
            .push(Box::new(move |o| o.start_health_check(&machine, until)));
    }
    fn poll_endpoints(&mut self) {
        self.0.push(Box::new(|o| o.poll_endpoints()));
    }
    fn schedule_wake_up(&mut self, _after: Duration) {}
    fn report_rollback_verdict(&mut self, _verdict: &RollbackVerdict) {}
}

/// A complaint of an answer given so many microseconds ago.
fn flagged(policy: &mut Balancer, name: &str, micros: u64) {
    policy.on_answer_flagged(name, Duration::from_micros(micros));
}

const FLAGS: usize = 9;

fn combination(bits: usize) -> Settings {
    let on = |n: usize| bits >> n & 1 == 1;
    Settings {
        hedging: on(0),
        cancel_attempts: on(1),
        health_checks: on(2),
        max_retry_after: if on(3) {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        },
        monotonic_key_builds: on(4),
        exposure_by_route: on(5),
        guarded_stages: u32::from(on(6)),
        automatic_stages: on(7),
        poll_endpoints: on(8),
        min_stage_time: Duration::from_millis(50),
        ..settings()
    }
}

#[test]
fn the_rules_hold_under_every_combination_of_the_limits() {
    let lanes = 8;
    std::thread::scope(|scope| {
        for lane in 0..lanes {
            scope.spawn(move || {
                for bits in (lane..1 << FLAGS).step_by(lanes) {
                    let set = combination(bits);
                    let broken = play(&set, &set, bits as u64, 1500);
                    assert_eq!(broken, None, "limits {bits:#011b}");
                }
            });
        }
    });
}

#[test]
fn a_policy_with_other_settings_is_caught() {
    // What the policy is not told, and the rule or limit that has to show it.
    type Truth = fn(&mut Settings);
    let table: [(&str, Truth); 11] = [
        ("rule 2: a second copy", |s| s.hedging = false),
        ("limits: a cancel", |s| s.cancel_attempts = false),
        ("limits: a probe", |s| s.health_checks = false),
        ("limits: a time to come back", |s| {
            s.max_retry_after = Duration::ZERO;
        }),
        ("limits: a vote", |s| s.automatic_stages = true),
        ("limits: the list", |s| s.poll_endpoints = false),
        ("limits: a further try", |s| s.max_attempts = 1),
        ("rule 5: a guarded stage", |s| s.guarded_stages = 3),
        ("rule 5: exposure", |s| s.exposure_by_route = true),
        ("rule 2", |s| {
            s.routes[0].idempotency = Idempotency::NotIdempotent;
        }),
        ("rule 4", |s| s.overload_multiple = 0.1),
    ];
    for (wanted, truth) in table {
        let told = combination(0b100001111);
        let mut set = told.clone();
        truth(&mut set);
        let caught = (0..40)
            .find_map(|seed| play(&told, &set, seed, 1500).filter(|b| b.starts_with(wanted)));
        assert!(caught.is_some(), "{wanted}");
    }
}
