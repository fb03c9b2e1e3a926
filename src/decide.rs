//! Every decision of one balancer: routing, evidence, votes, health, time-outs, further tries, shedding
//! and the guards of the five rules. A host calls [`Balancer::round`] once a tick with all that came in;
//! the interface, with the settings and both traits, is `src/front.rs`. `docs/design.md` tells what comes
//! from the design page and what was added.

use std::collections::{BTreeMap, VecDeque};

use crate::front::{Answer, End, Inbox, Load, Phase, Repeat, Scope, Standing, Verdict, Writer};
pub use crate::state::{Arm, Balancer};
use crate::state::{Machine, News, Req, Try};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
// The design page's test; the figures it marks as its own are starting values.
const LOOK: u64 = 250 * MS;
const HORIZON: u64 = 3 * SECOND;
const SETTLING: u64 = 3 * SECOND;
const LEAST_OUTCOMES: f64 = 20.0;
/// For failures half the weight lies on a gap so many times as wide: a small one is slow to see large ones.
const GROSS: f64 = 4.0;
const LEAST_SHARE: f64 = 0.01;
const FAILURES: usize = 0;
const SLOWNESS: usize = 1;
/// Errors and resets alone, also compared across time: neither overload nor a swap brings them.
const ERRORS: usize = 2;
/// Slowness of the earlier build's machines against before the trial: a build may slow the whole fleet.
const SHARED: usize = 3;
const TESTS: usize = 4;
const GAPS: [f64; TESTS] = [0.03, 0.15, 0.03, 0.25];
/// What evidence of lateness and loss must show beyond the bounds.
const DOUBT: f64 = 1.5;
const ALPHA: f64 = 0.05;
const BETA: f64 = 0.20;
const LATE: u64 = 2;
/// A try is slow when it took this many times what its route usually takes on such a machine.
const SLOW: f64 = 2.0;
/// Evidence fades, or a build that turns bad late would hide behind its good start.
const EVIDENCE_FADE: [f64; TESTS] = [10e6, 10e6, 30e6, 10e6];
const USUAL_FADE: f64 = 30e6;
const HEALTH_FADE: f64 = 3e6;
const RATE_FADE: f64 = 5e6;
/// The share of a route's objective that an answer should take; the room for tries follows it.
const EASE: f64 = 0.25;
const FIRST_ROOM: f64 = 6.0;
const MOST_ROOM: f64 = 64.0;
const FIRST_ROOM_IN_ALL: f64 = 64.0;
/// Prudent part of what a cold machine can take, left to all fronts together.
const COLD_PART: f64 = 0.65;
const PROBE_EVERY: u64 = 400 * MS;
const SWEEP: u64 = 10 * MS;
const STALL: u64 = 100 * MS;
const COPY_SHARE: f64 = 0.08;
/// With no more tries than this at its machine, a try is slow by its build, not by a queue.
const LIGHT: f64 = 2.0;

impl Arm {
    /// Floored, or a side without a hit would make any single hit on the other look certain: at a 1% share's,
    /// and while there are fewer than the paper's hundred outcomes at that of one hit among them.
    fn plain_variance(&self, rare: f64) -> f64 {
        let floor = LEAST_SHARE.max(1.0 / (self.outcomes + 3.0) / rare);
        let binomial = |p: f64| p * (1.0 - p);
        binomial(self.share()).max(binomial(floor))
    }
    /// How much more its machines differ than chance would have them: what jams, slows or shares one
    /// machine hits its outcomes together, and a build would be judged by the luck of a few machines.
    fn clustering(&self, rare: f64) -> f64 {
        let (p, [kk, kn, nn]) = (self.share(), self.spread);
        ((kk - 2.0 * p * kn + p * p * nn) / self.outcomes.max(1.0) / self.plain_variance(rare)).max(1.0)
    }
}

/// One-sided SPRT-z: the score of `new` against `old`, z with the variances of this look, the drift with
/// those of the look before, so that what is expected was fixed before the outcomes it judges came in.
///
/// ```
/// use tidescale::decide::{Arm, score};
/// let arm = |outcomes, hits| Arm { outcomes, hits, ..Arm::default() };
/// let s = score(arm(100.0, 10.0), arm(100.0, 1.0), [0.09, 0.0099], [0.09, 0.0099], 0.03);
/// assert!((s - 2.252_252).abs() < 1e-5);
/// ```
pub fn score(new: Arm, old: Arm, present: [f64; 2], before: [f64; 2], gap: f64) -> f64 {
    let root = |v: [f64; 2]| (v[0] / new.outcomes + v[1] / old.outcomes).sqrt();
    let z = (new.share() - old.share()) / root(present);
    let drift = gap / root(before);
    z * drift - drift * drift / 2.0
}

/// Of both sides; the old side's clustering also holds for a new side of too few machines to show it. Where
/// hits are `rare` (0: they are not), few outcomes say little of their own variance: the fewer, the more the
/// earlier build's share stands in for theirs, as it would be if the builds were alike.
pub fn variances(new: Arm, old: Arm, rare: f64) -> [f64; 2] {
    let own = match rare {
        0.0 => 1.0,
        1.0 => (new.outcomes * LEAST_SHARE).min(1.0),
        _ => 0.0,
    };
    let (own_only, rare) = (rare == 0.0, rare.max(1.0));
    let clustering = old.clustering(rare);
    let alike = Arm { hits: old.share() * new.outcomes, ..new }.plain_variance(rare);
    let few = if own_only { 1.0 } else { 0.0 };
    let seen = Arm { hits: new.hits + few, outcomes: new.outcomes + 2.0 * few, ..new }.plain_variance(rare);
    let variance = own * seen + (1.0 - own) * alike;
    [variance * new.clustering(rare).max(clustering), old.plain_variance(rare) * clustering]
}

pub fn bounds() -> (f64, f64) {
    ((BETA / (1.0 - ALPHA)).ln(), ((1.0 - BETA) / ALPHA).ln())
}

impl Balancer {
    pub fn round(&mut self, now: u64, inbox: &mut dyn Inbox, out: &mut dyn Writer) {
        // A front that stood still finds all at once, late by its own doing: times then tell of nothing else.
        self.stalled = now > self.now + STALL;
        self.now = now;
        inbox.replay(self);
        if now >= self.ask_at {
            out.watch_list();
            self.ask_at = u64::MAX;
        }
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.sweep(out);
            out.wake(SWEEP);
        }
        if now >= self.looked + LOOK {
            self.looked = now;
            self.look(out);
            self.vote(out);
            self.judge_machines(out);
            // Not far above what is in use, but for what a stall has kept: a jam must not find room for its queue.
            self.room = self.room.min((2.0 * self.held + 4.0).max(0.95 * self.room));
        }
        if self.stalled {
            self.room = FIRST_ROOM_IN_ALL;
        }
        for i in std::mem::take(&mut self.suspects) {
            let m = &mut self.machines[i];
            if !m.probe_out {
                (m.probe_out, m.probed) = (true, now);
                out.probe(&m.name);
            }
        }
        self.serve(out);
    }

    /// One entry of the list; `place` is its zone and cell, `started` 0 where it runs since long.
    pub fn machine(
        &mut self,
        name: &str,
        place: (&str, u64),
        kind: &str,
        build: u32,
        st: Standing,
        started: u64,
    ) {
        let now = self.now;
        let kind = self.kind(kind);
        let i = self.find(name).unwrap_or_else(|| {
            self.names.insert(name.into(), self.machines.len());
            self.machines.push(Machine { name: name.into(), started: u64::MAX, ..Machine::default() });
            self.machines.len() - 1
        });
        let rank = self.names.range(..name.to_string()).count() as u32;
        let turn = f64::from((rank + self.set.me) % self.set.fronts) / f64::from(self.set.fronts);
        let m = &mut self.machines[i];
        if m.build != build || m.started != started {
            // A new process: what the old one did says nothing of it.
            // Slow start: one that comes back slowed as well could do far less than its age says.
            let cold = started != 0 && now < started + self.set.cold_for;
            renew(m, if cold { 1.0 } else { FIRST_ROOM }, now);
            (m.wanted, m.load) = (2, (0.0, 0));
            (m.credit, m.credited) = (turn, now);
        }
        (m.zone, m.cell, m.kind) = (place.0.into(), place.1, kind);
        (m.build, m.standing, m.started) = (build, st, started);
    }

    pub fn list_failed(&mut self) {
        // The notice does not say whether a watch still stands; spread out, or all fronts call at once.
        self.ask_at = self.now + SECOND / 2 + self.rng.rand_u64() % SECOND;
    }

    pub fn req(
        &mut self,
        id: u64,
        route: usize,
        tenant: Option<usize>,
        key: Option<&str>,
        left: u64,
        work: Option<f64>,
    ) {
        let now = self.now;
        let work = work.filter(|w| *w > 0.0).unwrap_or(1.0);
        self.accepted[route].push_back(now);
        let mut earnings = self.set.routes[route].earnings;
        if let Some(t) = tenant {
            self.tenants[t].add([1.0], now, RATE_FADE);
            let rate = self.tenants[t].sums[0] / self.spell(RATE_FADE, SECOND) * f64::from(self.set.fronts);
            if rate > self.set.tenants[t].quota_per_s {
                earnings *= self.set.over_share_earnings;
            }
        }
        let rank = earnings / self.usual_for(route, 1.0).unwrap_or(1.0).max(1.0);
        self.arrivals.add([1.0], now, RATE_FADE);
        let (key, due) = (key.map(String::from), now + left);
        let objective = due.min(now + self.set.routes[route].objective);
        let rq = Req { route, key, work, came: now, due, objective, rank, waiting: true, ..Req::default() };
        self.reqs.insert(id, rq);
        self.waiting.push(id);
    }

    pub fn outcome(&mut self, id: u64, n: usize, end: End, took: u64, over: bool, load: Option<Load>) {
        let now = self.now;
        let Some(rq) = self.reqs.get_mut(&id) else { return };
        let Some(t) = rq.tries.get_mut(n).filter(|t| t.out) else { return };
        t.out = false;
        if end == End::Reset && self.set.probes {
            rq.suspect = Some(t.machine);
            self.suspects.push(t.machine);
        }
        t.ran &= !matches!(end, End::Full | End::Refused | End::NotSent);
        let (i, build, t_warm, counted) = (t.machine, t.build, t.warm, t.counted);
        let (route, work) = (rq.route, rq.work);
        t.counted = true;
        let objective = self.set.routes[route].objective;
        if over {
            (rq.over, rq.waiting) = (true, false);
        }
        if end == End::Done
            && let Some(key) = rq.key.as_ref().filter(|_| self.set.one_way)
        {
            self.keys.insert(key.clone(), build);
        }
        if !counted {
            self.judge(id, n, end, took);
        }
        self.note_load(i, load);
        if t_warm && end == End::Done {
            self.kinds[self.machines[i].kind].borne.add([1.0, 0.0], now, RATE_FADE);
        }
        if end == End::Done && !self.stalled {
            self.learn(i, route, work, took, t_warm && !self.on_trial(build));
        }
        let m = &mut self.machines[i];
        m.held -= 1.0;
        let mut jam = None;
        match end {
            End::Done => {
                m.heard = now;
                m.health.add([1.0, 0.0], now, HEALTH_FADE);
                m.refused = 0;
                let ease = took as f64 / objective as f64;
                jam = Some(ease);
                m.ease += 0.1 * (ease - m.ease);
                if self.stalled {
                } else if ease < EASE && m.held + 2.0 >= m.room {
                    let fresh = m.started != 0 && now < m.started + 2 * self.set.cold_for;
                    let step = if fresh && m.room < FIRST_ROOM { 1.0 } else { 1.0 / m.room };
                    m.room = (m.room + step).min(MOST_ROOM);
                } else if m.ease > EASE {
                    narrow(m, now, objective);
                }
            }
            End::Full => {
                jam = Some(1.0);
                self.machines[i].pace.add([1.0 / EASE, 1.0], now, RATE_FADE);
                let m = &mut self.machines[i];
                narrow(m, now, objective);
            }
            End::Error | End::Reset | End::Refused => {
                // A process that takes no connections serves nothing, however many others do the same.
                m.pace.add([1.0 / EASE, 1.0], now, RATE_FADE);
                m.refused = if end == End::Refused { m.refused + 1 } else { 0 };
                if m.refused >= 2 && self.set.probes && !m.aside {
                    (m.aside, m.answered, m.probed) = (true, 0, now);
                }
                m.health.add([1.0, 1.0], now, HEALTH_FADE);
                if end == End::Error {
                    m.heard = now;
                }
            }
            End::TimedOut => {
                m.health.add([1.0, 1.0], now, HEALTH_FADE);
                narrow(m, now, objective);
            }
            End::Cancelled | End::NotSent => {}
        }
        if let Some(ease) = jam.filter(|_| !self.stalled) {
            self.pace_front(ease, objective);
        }
        let rq = &self.reqs[&id];
        if rq.over {
            self.forget(id);
        } else if !rq.waiting && !rq.tries.iter().any(|t| t.out) {
            self.reqs.get_mut(&id).unwrap().waiting = true;
            self.waiting.push(id);
        }
    }

    /// Room for tries of this front in all. A front that sends a machine a req every few seconds learns of
    /// no single machine that the fleet is jammed; its answers together tell.
    fn pace_front(&mut self, ease: f64, objective: u64) {
        let now = self.now;
        self.ease.add([f64::from(ease > EASE), 1.0], now, 1e6);
        let mean = self.ease.sums[0] / self.ease.sums[1];
        if mean > 0.5 && now >= self.narrowed + objective / 2 {
            // What is answered, at its usual pace, keeps its room whatever else is slow.
            let least = self.worked.read(now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND);
            (self.room, self.narrowed) =
                ((self.room.min(2.0 * self.held + 4.0) * 0.8).max(least.max(1.0)), now);
        } else if mean < 0.5 && self.held + 2.0 >= self.room {
            self.room += 1.0 / self.room;
        }
    }

    pub fn probed(&mut self, name: &str, end: End, load: Option<Load>) {
        let now = self.now;
        let Some(i) = self.find(name) else { return };
        self.note_load(i, load);
        let m = &mut self.machines[i];
        m.probe_out = false;
        // A req that went down with its machine may have brought it down, and would bring down the next.
        for rq in self.reqs.values_mut().filter(|rq| rq.suspect == Some(i)) {
            (rq.suspect, rq.deadly) = (None, end != End::Done);
        }
        let m = &mut self.machines[i];
        m.answered = if end == End::Done { m.answered + 1 } else { 0 };
        if m.aside && m.answered >= m.wanted {
            renew(m, 2.0, now);
            // Longer next time: some machines answer probes and fail reqs.
            m.wanted = (m.wanted * 2).min(16);
        }
    }

    pub fn answered(&mut self, answer: Answer) {
        match (answer, self.cast.take()) {
            (Answer::Counts, Some(c)) => self.stands = (c.0, c.1, c.2, self.now),
            // It may count: hold to neither, so that it is cast again.
            (Answer::Unknown, Some(_)) => self.stands.2 = Verdict::None,
            _ => {}
        }
    }

    pub fn news(&mut self, build: u32, stage: u32, phase: Phase, cap: f64, age: u64) {
        if self.news.is_some_and(|n| n.build == build && cap < n.cap) {
            self.recount = Some(self.now + self.set.grace);
            self.accepted.iter_mut().for_each(VecDeque::clear);
        }
        if self.news.is_none_or(|n| n.build < build) {
            self.variances.clear();
            (self.calm, self.calm_at) = (self.drain(SHARED, EVIDENCE_FADE), self.now);
            self.calm_sends = self.sends.read(self.now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND);
            self.fleet = self.machines.iter().filter(|m| m.standing == Standing::Ready && !m.aside).count();
        }
        self.news = Some(News { build, stage, phase, cap, since: self.now.saturating_sub(age) });
    }

    /// What the platform counted of all fronts' tries, in a sample.
    pub fn tally(&mut self, build: u32, route: usize, count: f64, lost: f64) {
        let Some(n) = self.news else { return };
        let serves = |newest| {
            self.machines.iter().any(|m| m.standing == Standing::Ready && (m.build == n.build) == newest)
        };
        if serves(true) && serves(false) {
            let sums = self.counted.entry((build, route)).or_default();
            sums.add([count, lost], self.now, EVIDENCE_FADE[FAILURES]);
        }
    }

    pub fn flagged(&mut self, name: &str, route: usize, age: u64) {
        let Some(i) = self.find(name) else { return };
        let m = &self.machines[i];
        if self.now.saturating_sub(age) >= m.started + SETTLING {
            let (build, now) = (m.build, self.now);
            let tally = &mut self.tallies(build, i)[route];
            tally.read(now, EVIDENCE_FADE);
            [FAILURES, ERRORS].into_iter().for_each(|test| tally.hits[test] += 1.0);
        }
    }

    /// Counts one try into the evidence. A cold machine is slow whatever it runs, so that its lateness
    /// says nothing; and only tries sent while the other side served too are compared with it, or what a
    /// swap, a jam or a lost zone does to the fleet would be held against the build that runs by then.
    fn judge(&mut self, id: u64, n: usize, end: End, took: u64) {
        let (now, rq) = (self.now, &self.reqs[&id]);
        let (route, work) = (rq.route, rq.work);
        let Try { build, machine: i, paired, steady, settled, warm, load, sent, .. } = rq.tries[n];
        let late = took > LATE * self.set.routes[route].objective;
        let error = matches!(end, End::Error | End::Reset);
        // In a queue lateness says nothing of the build either, unless the machine is silent altogether: time
        // counts as slow only beyond what the machine's load explains.
        let load = 1.0 + load.max(self.load(i).0);
        let slow = self
            .usual_on(i, route, work)
            .map(|(usual, met)| took as f64 > SLOW * usual * (load / met).max(1.0));
        let plain = warm && (slow.unwrap_or(load <= 1.0 + LIGHT) || self.machines[i].heard <= sent);
        let known = error || matches!(end, End::Done | End::TimedOut) && (plain || !late) && !self.stalled;
        // One process that dies is one failure, not one for each try it held: lost machines and zones are
        // no build's doing, while a build that keeps dying still shows.
        if !settled || !known || (end == End::Reset && now < self.machines[i].died + SECOND) {
            return;
        }
        if end == End::Reset {
            self.machines[i].died = now;
        }
        // Those still out when the trial began were long ones, and would make it look slow.
        let steady = steady && sent >= self.calm_at;
        let t = &mut self.tallies(build, i)[route];
        t.read(now, EVIDENCE_FADE);
        let mut add = |test: usize, hit: bool| {
            t.all[test] += 1.0;
            t.hits[test] += f64::from(hit);
        };
        // Resets come from links and lost machines too, with nothing of the same time to compare them with.
        add(ERRORS, end == End::Error);
        if paired {
            add(FAILURES, error || late || end == End::TimedOut);
        }
        if let Some(slow) = slow.filter(|_| warm && end != End::Error) {
            if steady {
                add(SHARED, slow);
            }
            if paired {
                add(SLOWNESS, slow);
            }
        }
    }

    /// What so much work of the route usually takes.
    fn usual_for(&mut self, route: usize, work: f64) -> Option<f64> {
        let [took, works, n] = self.usual[route].read(self.now, USUAL_FADE);
        (n >= 5.0).then(|| took / works * work)
    }

    /// The same on machines of this one's kind, and how much these held then.
    fn usual_on(&mut self, i: usize, route: usize, work: f64) -> Option<(f64, f64)> {
        let usual = self.usual_for(route, work)?;
        let [pace, held, n] = self.kinds[self.machines[i].kind].usual.read(self.now, USUAL_FADE);
        Some((usual * (pace + 2.0) / (n + 2.0), (held + 2.0) / (n + 2.0)))
    }

    /// What an answer tells of its machine's pace, and of what is usual while no trial is on.
    fn learn(&mut self, i: usize, route: usize, work: f64, took: u64, earlier: bool) {
        let (now, took) = (self.now, took as f64);
        let usual = self.usual_for(route, work);
        self.worked.add([usual.unwrap_or(0.0) / 1e6], now, RATE_FADE);
        let (load, kind) = (1.0 + self.load(i).0, self.machines[i].kind);
        if let Some(u) = usual {
            self.machines[i].pace.add([took / u, 1.0], now, RATE_FADE);
            self.kinds[kind].pace.add([took / u, 1.0], now, RATE_FADE);
        }
        if earlier && (self.news.is_none_or(|n| n.phase != Phase::Trial) || usual.is_none()) {
            self.usual[route].add([took, work, 1.0], now, USUAL_FADE);
            if let Some(u) = usual {
                self.kinds[kind].usual.add([took / u, load, 1.0], now, USUAL_FADE);
            }
        }
    }

    /// A build that the news has not named, or not named as released, is on trial; without any news, each
    /// but the oldest listed.
    fn on_trial(&self, build: u32) -> bool {
        match self.news {
            Some(n) => build > n.build || (build == n.build && n.phase != Phase::Released),
            None => self.machines.iter().any(|m| m.standing != Standing::Gone && m.build < build),
        }
    }

    fn look(&mut self, out: &mut dyn Writer) {
        let Some(n) = self.news else { return };
        if !matches!(n.phase, Phase::Trial | Phase::Released) {
            return;
        }
        let now = self.now;
        // The tests over all routes, then the failures of each route, which the total dilutes.
        let mut sides = vec![[Arm::default(); 2]; TESTS + self.set.routes.len()];
        for ((build, i), tallies) in self.evidence.iter_mut().filter(|((b, _), _)| *b <= n.build) {
            // What a machine set aside did is laid to the machine, not to its build.
            if self.machines[*i].aside && self.machines[*i].build == *build {
                continue;
            }
            let side = usize::from(*build < n.build);
            let mut own = [(0.0, 0.0); TESTS];
            for (r, t) in tallies.iter_mut().enumerate() {
                t.read(now, EVIDENCE_FADE);
                for (test, own) in own.iter_mut().enumerate() {
                    let (n, k) = (t.all[test], t.hits[test].min(t.all[test]));
                    *own = (own.0 + n, own.1 + k);
                    if test == FAILURES {
                        sides[TESTS + r][side].add(n, k);
                    }
                }
            }
            own.iter().zip(&mut sides).for_each(|(own, arms)| arms[side].add(own.0, own.1));
        }
        // The whole fleet against before; a few usual outcomes stand in where there were few.
        let [mut now_all, old] = sides[SHARED];
        now_all.join(old);
        let mut calm = self.calm;
        calm.add(LEAST_OUTCOMES, 0.15 * LEAST_OUTCOMES);
        sides[SHARED] = [now_all, calm];
        // Of a route with little traffic too little is known to compare with, above all where nothing failed.
        for route in TESTS..sides.len() {
            let [own, all] = [sides[route][1], sides[FAILURES][1]];
            if own.outcomes < LEAST_OUTCOMES || own.share() < all.share() {
                sides[route][1] = all;
            }
        }
        // Then what the platform counted, likewise: the same for all fronts, so that all judge it as one.
        let own_tests = sides.len();
        sides.resize(own_tests + 1 + self.set.routes.len(), Default::default());
        let mut machines = [0.0f64; 2];
        for m in self.machines.iter().filter(|m| m.standing == Standing::Ready && m.build <= n.build) {
            machines[usize::from(m.build < n.build)] += 1.0;
        }
        for ((build, route), sums) in self.counted.iter_mut().filter(|((b, _), _)| *b <= n.build) {
            let side = usize::from(*build < n.build);
            let [n, lost] = sums.read(now, EVIDENCE_FADE[FAILURES]);
            sides[own_tests][side].add(n, lost);
            sides[own_tests + 1 + route][side].add(n, lost);
        }
        // Counts tell no machines apart: what the earlier build fails beyond the floor may be few of them.
        for [new, old] in &mut sides[own_tests..] {
            let few = (1.0 - LEAST_SHARE / old.share().max(LEAST_SHARE)).max(0.0);
            for (arm, machines) in [new, old].into_iter().zip(machines) {
                let clustering = 1.0 + few * (arm.outcomes / machines.max(1.0) - 1.0).max(0.0);
                arm.spread = [clustering * arm.outcomes * arm.plain_variance(1.0), 0.0, 0.0];
            }
        }
        let (lower, upper) = bounds();
        // Few false votes of many fronts make a false verdict of the fleet, which is what α is for: the part
        // of it that falls to one front is such that as many at once as are needed stay as rare.
        let (fronts, votes) = (f64::from(self.set.fronts), f64::from(self.set.back_votes.max(1)));
        let part = (votes.sqrt() - 0.82).max(0.0).powi(2).max(ALPHA * f64::from(votes <= 1.0)) / fronts;
        let share = (ALPHA / part).ln().max(0.0);
        let mut top = f64::NEG_INFINITY;
        for (test, [new, old]) in sides.into_iter().enumerate() {
            let few = if test == SHARED { LEAST_OUTCOMES } else { 1.0 };
            if new.outcomes < few || old.outcomes < LEAST_OUTCOMES {
                continue;
            }
            let rare = [1.0, 0.0, 4.0, 0.0].get(test).copied().unwrap_or(1.0);
            let gap = GAPS[if test < TESTS { test } else { FAILURES }];
            let present = variances(new, old, rare);
            let before = self.variances.insert(test, present).unwrap_or(present);
            let least = (before[0] / new.outcomes + before[1] / old.outcomes).sqrt() * 3.0;
            let wide = if rare > 0.0 { gap * GROSS } else { gap };
            let share = if test < own_tests { share } else { 0.0 };
            let s = score(new, old, present, before, gap);
            let far = score(new, old, present, before, wide.max(least));
            // Late and lost answers come of machines, links and load as well; errors do not.
            let doubt = if test == ERRORS { 0.0 } else { if test < own_tests { DOUBT } else { 2f64.ln() } };
            let both = (s.exp() + far.exp()).ln() - doubt;
            if both >= upper + share && self.condemned != Some(n.build) {
                self.condemned = Some(n.build);
                let counts = (new.hits, new.outcomes, old.hits, old.outcomes);
                out.note(&format!("build {} to go back: test {test}, new and old {counts:.1?}", n.build));
            }
            top = top.max(both - share);
            if test == FAILURES && s <= lower {
                self.lifted = Some((n.build, n.stage));
            }
        }
        self.leaning = top > 0.0;
        if now >= n.since + HORIZON {
            self.lifted = Some((n.build, n.stage));
        }
    }

    fn vote(&mut self, out: &mut dyn Writer) {
        let Some(n) = self.news else { return };
        let now = self.now;
        if self.cast.is_some_and(|c| now < c.3 + self.set.vote_wait + SECOND) {
            return;
        }
        self.cast = None;
        let back = self.condemned == Some(n.build);
        let lifted = self.lifted == Some((n.build, n.stage));
        let wish = match n.phase {
            Phase::Trial | Phase::Released if back => Verdict::Back,
            Phase::Trial if self.leaning && !lifted && self.set.timed => Verdict::Hold,
            Phase::Trial
                if !self.set.timed && (lifted || !self.leaning) && now >= n.since + self.set.min_dwell =>
            {
                Verdict::On
            }
            _ => Verdict::None,
        };
        let (build, stage, verdict, at) = self.stands;
        let fresh = now < at + self.set.vote_life * 6 / 10;
        let same = build == n.build && (stage == n.stage || wish == Verdict::Back) && verdict == wish;
        let lapsed = build != n.build || now >= at + self.set.vote_life;
        let idle = wish == Verdict::None && (verdict == Verdict::None || lapsed);
        if idle || (same && fresh) {
            return;
        }
        let life = self.set.vote_life as f64 / 1e6;
        if self.rng.rand_float() < self.set.votes_per_s * life / (2.0 * f64::from(self.set.fronts)) {
            out.vote(n.build, n.stage, wish);
            self.cast = Some((n.build, n.stage, wish, now));
        }
    }

    fn judge_machines(&mut self, out: &mut dyn Writer) {
        let now = self.now;
        let ready = self.machines.iter().filter(|m| m.standing == Standing::Ready).count();
        let mut aside = self.machines.iter().filter(|m| m.standing == Standing::Ready && m.aside).count();
        let mut silent = vec![false; self.machines.len()];
        for rq in self.reqs.values() {
            let objective = self.set.routes[rq.route].objective;
            for t in rq.tries.iter().filter(|t| t.out && now > t.sent + objective) {
                silent[t.machine] |= t.sent >= self.machines[t.machine].heard;
            }
        }
        for m in self.machines.iter().filter(|m| m.standing == Standing::Ready && !m.aside) {
            if now >= m.started + self.set.cold_for {
                self.kinds[m.kind].borne.add([0.0, LOOK as f64 / 1e6], now, RATE_FADE);
            }
        }
        let mut builds = BTreeMap::new();
        for m in self.machines.iter_mut().filter(|m| m.standing == Standing::Ready && !m.aside) {
            let (all, bad) = builds.entry(m.build).or_insert((0.0, 0.0));
            let [a, f] = m.health.read(now, HEALTH_FADE);
            (*all, *bad) = (*all + a, *bad + f);
        }
        for (i, m) in self.machines.iter_mut().enumerate().filter(|(_, m)| m.standing == Standing::Ready) {
            if m.aside {
                if !m.probe_out && now >= m.probed + PROBE_EVERY && self.set.probes {
                    (m.probe_out, m.probed) = (true, now);
                    out.probe(&m.name);
                }
                continue;
            }
            let [a, f] = m.health.read(now, HEALTH_FADE);
            // Against its build's other machines: a build that fails everywhere is the test's to judge, and
            // setting its machines aside would leave the test without outcomes.
            let (all, bad) = builds.get(&m.build).copied().unwrap_or_default();
            let usual = if all - a > 3.0 { (bad - f) / (all - a) } else { 1.0 };
            let failing = f >= 2.5 && f / a > 0.25 + 2.0 * usual;
            if (failing || silent[i]) && self.set.probes && aside * 3 < ready {
                aside += 1;
                (m.aside, m.answered, m.probed) = (true, 0, now);
            }
        }
    }

    /// Rule 2 and the limits on tries: may this req go out to this machine now?
    fn may_try(&self, rq: &Req, m: &Machine) -> bool {
        let mut ran = rq.tries.iter().filter(|t| t.ran);
        let out = rq.tries.iter().any(|t| t.out);
        if rq.tries.len() >= self.set.max_tries || (out && !self.set.copies) || rq.deadly {
            return false;
        }
        match self.set.routes[rq.route].repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => ran.next().is_none(),
            Repeat::Deduped { scope, window } => ran.all(|t| {
                let first = &self.machines[t.machine];
                let inside = match scope {
                    Scope::All => true,
                    Scope::Zone => first.zone == m.zone && first.started <= t.sent,
                    Scope::Cell => first.cell == m.cell && first.started <= t.sent,
                };
                inside && self.now < t.sent + window
            }),
        }
    }

    fn may_shed(&self, rq: &Req) -> bool {
        match self.set.routes[rq.route].repeat {
            Repeat::Retriable | Repeat::Deduped { scope: Scope::All, .. } => true,
            _ => !rq.tries.iter().any(|t| t.ran),
        }
    }

    /// Rule 5: may one more try of this route go to this build?
    fn may_expose(&mut self, build: u32, route: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let first = self.set.stage_caps.first().copied().unwrap_or(0.0);
        let told = self.news.filter(|n| n.build == build);
        let (stage, cap) = told.map_or((0, first), |n| (n.stage, n.cap));
        let guarded = stage < self.set.guarded_stages && self.set.routes[route].repeat != Repeat::Retriable;
        if cap <= 0.0 || guarded {
            return false;
        }
        let (tries, taken) = self.exposure(build, route);
        (tries + 1) as f64 <= self.set.free + cap * taken as f64
    }

    /// The part of its capacity that a machine has for certain.
    fn warmth(&self, started: u64) -> f64 {
        let age = self.now.saturating_sub(started) as f64 / self.set.cold_for as f64;
        if started == 0 { 1.0 } else { (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0) }
    }

    /// Rule 4: this front's prudent part of what a cold machine can take, earned as time goes and due as
    /// soon as it makes a req. What warm machines of its kind have borne from this front stands in for the
    /// capacity, which nobody tells, so that the parts of all fronts add up to what such a machine bears,
    /// however traffic is spread. Fronts begin with credits a step apart, each machine's from another front
    /// on: of hundreds, which cannot all use it, every n-th of the sorted list does, from a start of its own.
    fn due(&mut self, i: usize) -> bool {
        let now = self.now;
        let warm = self.warmth(self.machines[i].started);
        let bears = self.bears(self.machines[i].kind);
        let (set, m) = (&self.set, &mut self.machines[i]);
        let rate = COLD_PART * set.fall_multiple * warm * bears / 1e6;
        let most = 1.0 + rate * set.fall_for as f64 / 4.0;
        m.credit = (m.credit + rate * (now - m.credited) as f64).min(most);
        m.credited = now;
        m.credit >= 1.0
    }

    /// Reqs a second that a warm machine of the kind has answered this front: of any kind where this one
    /// was not seen warm, and where none was, an even part of what comes in.
    fn bears(&mut self, kind: usize) -> f64 {
        let now = self.now;
        let (mut all, mut own) = ((0.0, 0.0), (0.0, 0.0));
        for (k, of) in self.kinds.iter_mut().enumerate() {
            let [served, spent] = of.borne.read(now, RATE_FADE);
            all = (all.0 + served, all.1 + spent);
            if k == kind {
                own = (served, spent);
            }
        }
        let ready = self.machines.iter().filter(|m| m.standing == Standing::Ready).count().max(1);
        match (own, all) {
            ((served, spent), _) | (_, (served, spent)) if spent >= 1.0 => served / spent,
            _ => self.arrivals.read(now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND) / ready as f64,
        }
    }

    fn pick(&mut self, id: u64) -> Option<usize> {
        let (mut sides, mut open) = ([Vec::new(), Vec::new()], Vec::new());
        let rq = &self.reqs[&id];
        let route = rq.route;
        // A key that the build on trial has answered goes no lower where keys go one way only.
        let held = self.set.one_way
            && self.news.is_some_and(|n| !matches!(n.phase, Phase::GoingBack | Phase::Withdrawn));
        let floor = rq.key.as_ref().filter(|_| held).and_then(|k| self.keys.get(k)).copied();
        for (i, m) in self.machines.iter().enumerate().filter(|(_, m)| m.standing == Standing::Ready) {
            let fits = !m.aside && m.held < m.room.floor() && floor.is_none_or(|b| m.build >= b);
            if fits && self.may_try(rq, m) {
                open.push(i);
            }
        }
        let tried = |i: &usize| rq.tries.iter().any(|t| t.machine == *i);
        if !open.iter().all(tried) {
            open.retain(|i| !tried(i));
        }
        let left = rq.objective.saturating_sub(self.now) as f64;
        let usual = self.usual_for(route, rq.work).unwrap_or(0.0);
        let now = self.now;
        let times: Vec<f64> = self
            .kinds
            .iter_mut()
            .map(|k| {
                let [sum, n] = k.pace.read(now, RATE_FADE);
                usual * (sum + 2.0) / (n + 2.0)
            })
            .collect();
        for i in open {
            let m = &self.machines[i];
            let (build, started, time) = (m.build, m.started, times[m.kind]);
            if !self.may_expose(build, route) {
                continue;
            }
            let warm = self.warmth(started);
            if warm >= 1.0 {
                sides[usize::from(self.on_trial(build))].push(i);
            } else if self.due(i) && time < 0.6 * left * warm {
                return Some(i);
            }
        }
        // Heavy reqs go where they can be done in time, and leave the rest to light ones.
        for side in &mut sides {
            let slow = |i: &usize| times[self.machines[*i].kind] > 0.6 * left;
            if !side.iter().all(slow) {
                side.retain(|i| !slow(i));
            }
        }
        // The share of warm machines: cold ones have had theirs, and would leave it to the warm ones of
        // their build, which a good build would then be blamed for.
        let share = sides[1].len() as f64 / (sides[0].len() + sides[1].len()).max(1) as f64;
        let first = usize::from(self.rng.rand_float() < share);
        let side = if sides[first].is_empty() { &sides[1 - first] } else { &sides[first] };
        if side.is_empty() {
            return None;
        }
        let [a, b] = [0; 2].map(|_| side[(self.rng.rand_u64() % side.len() as u64) as usize]);
        Some(if self.cost(b) < self.cost(a) { b } else { a })
    }

    /// Reqs that the machine holds now, and that one of its kind holds on average. A report tells of the
    /// machine for about a second; beyond that, and where a front has heard nothing, its kind stands in.
    fn load(&mut self, i: usize) -> (f64, f64) {
        let (now, m) = (self.now, &self.machines[i]);
        let [sum, n] = self.kinds[m.kind].load.read(now, RATE_FADE);
        let mean = sum / n.max(1e-9);
        let fresh = (-(now.saturating_sub(m.load.1) as f64) / 1e6).exp();
        ((mean + (m.load.0 - mean) * fresh).max(m.held), mean)
    }

    /// What answers of the machine took against the usual, filled up with its kind's, times how much more
    /// it holds than others of its kind.
    fn cost(&mut self, i: usize) -> f64 {
        let now = self.now;
        let (holds, mean) = self.load(i);
        let m = &mut self.machines[i];
        let mut pace = 1.0;
        for paces in [&mut self.kinds[m.kind].pace, &mut m.pace] {
            let [sum, n] = paces.read(now, RATE_FADE);
            pace = (sum + 2.0 * pace) / (n + 2.0);
        }
        let far = if m.zone != self.set.zone { 1.0 + 10.0 * self.set.cross_zone_price } else { 1.0 };
        (holds + 1.0) / (mean + 1.0) * pace.max(0.1) * far
    }

    fn note_load(&mut self, i: usize, load: Option<Load>) {
        let Some(x) = load.and_then(|l| l.inflight.or(l.queue)) else { return };
        let (now, m) = (self.now, &mut self.machines[i]);
        m.load = (x, now);
        self.kinds[m.kind].load.add([x, 1.0], now, RATE_FADE);
    }

    fn serve(&mut self, out: &mut dyn Writer) {
        let mut ids = std::mem::take(&mut self.waiting);
        ids.retain(|id| self.reqs.get(id).is_some_and(|rq| rq.waiting && !rq.over));
        let reqs = &self.reqs;
        ids.sort_by(|a, b| reqs[b].rank.total_cmp(&reqs[a].rank).then(reqs[b].came.cmp(&reqs[a].came)));
        for id in ids {
            if self.hopeless(id) {
                self.give_up(id, out);
            } else if self.reqs[&id].suspect.is_some() {
                self.waiting.push(id);
            } else if self.held < self.room.floor()
                && let Some(i) = self.pick(id)
            {
                self.send(id, i, out);
            } else {
                self.waiting.push(id);
            }
        }
    }

    fn hopeless(&mut self, id: u64) -> bool {
        let usual = self.usual_for(self.reqs[&id].route, self.reqs[&id].work).unwrap_or(0.0) as u64;
        let rq = &self.reqs[&id];
        // Never more than half the objective: what was learned in a jam would shed each req on arrival,
        // and nothing would be learned again.
        let need = (usual * 3 / 2).min(self.set.routes[rq.route].objective / 2);
        self.now + need >= rq.objective || !self.machines.iter().any(|m| self.may_try(rq, m))
    }

    fn give_up(&mut self, id: u64, out: &mut dyn Writer) {
        let rq = &self.reqs[&id];
        if self.may_shed(rq) {
            let come_back = self.set.max_come_back.min(self.set.routes[rq.route].objective / 2);
            out.shed(id, come_back);
        } else {
            out.error(id);
        }
        let rq = self.reqs.get_mut(&id).unwrap();
        (rq.over, rq.waiting) = (true, false);
        self.forget(id);
    }

    fn send(&mut self, id: u64, i: usize, out: &mut dyn Writer) {
        let now = self.now;
        let trial = self.on_trial(self.machines[i].build);
        let newest = self.news.map_or(u32::MAX, |n| n.build);
        let side = self.machines[i].build < newest;
        let serves = |o: &Machine| o.standing == Standing::Ready && !o.aside;
        let chance = 2.0 * (self.calm_sends * 1e6 / RATE_FADE / 2.0).sqrt();
        let rush = self.sends.read(now, RATE_FADE)[0]
            > (1.2 * self.calm_sends + chance) * self.spell(RATE_FADE, SECOND);
        let serving = self.machines.iter().filter(|o| serves(o)).count();
        let paired = self.machines.iter().any(|o| serves(o) && (o.build < newest) != side);
        let begun = self.machines.iter().any(|o| serves(o) && o.build == newest);
        let load = self.load(i).0;
        let m = &mut self.machines[i];
        // What else jams a fleet is no build's doing: lost machines, a rush, and all before it serves.
        let steady = self.news.is_none_or(|n| n.phase != Phase::Trial)
            || (serving * 10 >= self.fleet * 9 && !rush && begun);
        m.held += 1.0;
        if m.started != 0 && now < m.started + self.set.cold_for {
            m.credit -= 1.0;
        }
        let age = if m.started == 0 { u64::MAX } else { now.saturating_sub(m.started) };
        let rq = self.reqs.get_mut(&id).unwrap();
        rq.waiting = false;
        let (settled, warm) = (age >= SETTLING, age >= self.set.cold_for.max(SETTLING));
        let build = m.build;
        let t = Try { settled, warm, paired, load, steady, ..Try::new(i, build, now) };
        rq.tries.push(t);
        self.held += 1.0;
        out.upstream_try(id, &m.name, rq.due);
        let route = rq.route;
        if trial {
            self.expose(build, route);
        }
        self.sends.add([1.0], now, RATE_FADE);
    }

    /// What only the passing of time brings: failures that need no answer, second copies, the recount.
    fn sweep(&mut self, out: &mut dyn Writer) {
        let now = self.now;
        if self.recount.is_some_and(|t| now >= t) {
            self.recount = None;
            self.accepted.iter_mut().for_each(VecDeque::clear);
        }
        let (mut overdue, mut slow, mut spare) = (Vec::new(), Vec::new(), Vec::new());
        self.held = 0.0;
        for (id, rq) in &mut self.reqs {
            let objective = self.set.routes[rq.route].objective;
            for (n, t) in rq.tries.iter_mut().enumerate().filter(|(_, t)| t.out) {
                // What a silent machine keeps takes no room of the others.
                let patience =
                    if self.machines[t.machine].heard > t.sent { objective } else { objective / 2 };
                if now <= t.sent + patience {
                    self.held += 1.0;
                }
                if !t.counted && now > t.sent + LATE * objective {
                    t.counted = true;
                    overdue.push((*id, n, now - t.sent));
                }
                if rq.over && !t.counted {
                    spare.push((*id, n));
                    t.counted = true;
                }
            }
            let out = rq.tries.iter().filter(|t| t.out).count();
            if !rq.over && !rq.waiting && !rq.copied && !rq.opened && out == 1 {
                let t = rq.tries.last().unwrap();
                // Work is the req's own: a long req is as long elsewhere. Only silence speaks for a copy.
                let silent = self.machines[t.machine].heard <= t.sent;
                if silent && now > t.sent + objective / 2 && now < rq.objective {
                    slow.push(*id);
                }
            }
        }
        for (id, n, age) in overdue {
            self.judge(id, n, End::TimedOut, age);
        }
        if self.set.cancel {
            for (id, n) in spare {
                out.cancel_try(id, n);
            }
        }
        for id in slow {
            self.copy(id, out);
        }
    }

    /// A second try while the first is still out. Kept to a share of all sends, or a jam would double its
    /// own load.
    fn copy(&mut self, id: u64, out: &mut dyn Writer) {
        let now = self.now;
        let [spent] = self.copies.read(now, RATE_FADE);
        if spent > COPY_SHARE * self.sends.read(now, RATE_FADE)[0] || !self.waiting.is_empty() {
            return;
        }
        let Some(i) = self.pick(id) else { return };
        self.send(id, i, out);
        self.copies.add([1.0], now, RATE_FADE);
        self.reqs.get_mut(&id).unwrap().copied = true;
    }
}

fn renew(m: &mut Machine, room: f64, now: u64) {
    (m.aside, m.heard, m.room, m.ease, m.refused) = (false, now, room, EASE / 2.0, 0);
    (m.health, m.pace) = Default::default();
}

/// At most once in half an objective, so that one jam is answered once.
fn narrow(m: &mut Machine, now: u64, objective: u64) {
    if now >= m.narrowed + objective / 2 {
        (m.room, m.narrowed) = ((m.room * 0.8).max(1.0), now);
    }
}
