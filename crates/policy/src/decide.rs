//! Every decision of one balancer: routing, evidence, votes, health, time-outs, further tries, shedding
//! and the guards of the five rules. A host calls [`Balancer::round`] once a tick with all that came in;
//! the interface, with the settings and both traits, is `src/front.rs`. `docs/design.md` tells what comes
//! from the design page and what was added.

use std::{cmp::Reverse, collections::BTreeMap};

use std::time::Duration;

use crate::host::{DecisionSink, EventSource};
use crate::settings::{Idempotency, KeyScope, Route};
pub use crate::state::{Arm, Balancer};
use crate::state::{Machine, Req, Rollout, Room, TESTS, Try};
use crate::types::{
    AttemptOutcome, AttemptResult, Ballot, EndpointEntry, EndpointState, EvidenceTest, FailureShare,
    IncomingRequest, LoadReport, RollbackVerdict, RolloutPhase, RolloutStatus, Timestamp, Vote, VoteResult,
    whole_micros,
};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const LOOK: u64 = 250 * MS;
const HORIZON: u64 = 3 * SECOND;
const SETTLING: u64 = 3 * SECOND;
const LEAST_OUTCOMES: f64 = 20.0;
const LEAST_SHARE: f64 = 0.01;
const ALPHA: f64 = 0.05;
const BETA: f64 = 0.20;
const LATE: u64 = 2;
const FAILURES: usize = 0;
const SLOWNESS: usize = 1;
const ERRORS: usize = 2; // Also compared across time: neither overload nor a swap brings them.
/// Slowness of the whole fleet against before the trial: a build may slow the earlier one's machines too.
const SHARED: usize = 3;
const TEST_NAMES: [EvidenceTest; TESTS] =
    [EvidenceTest::Failures, EvidenceTest::Slowness, EvidenceTest::Errors, EvidenceTest::FleetSlowdown];
const FLEET: f64 = 0.67; // It shows on most machines; what slows some may be a neighbour.
const GAPS: [f64; TESTS] = [0.03, 0.15, 0.03, 0.18];
/// For failures half the weight lies on a gap so many times as wide: a small one is slow to see large ones.
const GROSS: f64 = 4.0;
const RARE: [f64; TESTS] = [1.0, 0.0, 4.0, 0.0]; // Hits, against the floor of their variance; 0: not rare.
/// What evidence must show beyond the bounds: late and lost answers come of machines, links and load too.
const DOUBT: [f64; TESTS] = [1.5, 1.5, 0.0, 1.5];
/// Evidence fades, or a build that turns bad late would hide behind its good start.
pub(crate) const EVIDENCE_FADE: [f64; TESTS] = [10e6, 10e6, 30e6, 20e6];
/// A try is slow at so many times what its route usually takes there, and what its machine's load explains.
const SLOW: f64 = 2.0;
const LOADED: f64 = 1.35;
pub(crate) const USUAL_FADE: f64 = 30e6;
pub(crate) const RATE_FADE: f64 = 5e6;
/// The share of a route's objective that an answer should take; the room for tries follows it.
const EASE: f64 = 0.25;
/// So many outcomes of before a restart count on each side at most: they hasten a verdict, never carry it.
const MOST_RECALLED: [f64; 2] = [LEAST_OUTCOMES / 2.0, 2.0 * LEAST_OUTCOMES];
const STUCK: f64 = 4.0; // So long against the usual, and half its objective: a first try may be lost.
const FIRST_ROOM: f64 = 6.0;
const COLD_PART: f64 = 0.65; // Prudent part of what a cold machine can take from all fronts together.
const PROBE_EVERY: u64 = 400 * MS;
/// Time-outs and due answers are seen this late at most.
pub const SWEEP: u64 = 10 * MS;
const STALL: u64 = 100 * MS;

impl Arm {
    /// Floored at a 1% share's, or at that of one hit among few outcomes: no side without hits is certain.
    fn plain_variance(&self, rare: f64) -> f64 {
        let floor = LEAST_SHARE.max(1.0 / (self.outcomes + 3.0) / rare.max(1.0));
        let p = self.share().clamp(floor, 1.0 - floor);
        p * (1.0 - p)
    }
    /// How much more its machines differ than chance has it: a jam hits a machine's outcomes together.
    fn clustering(&self, rare: f64) -> f64 {
        let (p, [kk, kn, nn]) = (self.share(), self.spread);
        ((kk - 2.0 * p * kn + p * p * nn) / self.outcomes.max(1.0) / self.plain_variance(rare)).max(1.0)
    }
}

/// One-sided SPRT-z; the drift has the look before's variances: expected before these outcomes came in.
pub fn score(new: Arm, old: Arm, present: [f64; 2], before: [f64; 2], gap: f64) -> f64 {
    let root = |v: [f64; 2]| (v[0] / new.outcomes + v[1] / old.outcomes).sqrt();
    let z = (new.share() - old.share()) / root(present);
    let drift = gap / root(before);
    z * drift - drift * drift / 2.0
}

/// The old side's clustering holds for a new one of few machines; for few `rare` hits, its share does too.
pub fn variances(new: Arm, old: Arm, rare: f64) -> [f64; 2] {
    let own = if rare == 0.0 { 1.0 } else { (new.outcomes * LEAST_SHARE / rare.powi(4)).min(1.0) };
    let alike = Arm { hits: old.share() * new.outcomes, ..new }.plain_variance(rare);
    let seen = Arm { hits: new.hits + 1.0, outcomes: new.outcomes + 2.0, ..new }.plain_variance(rare);
    let variance = own * seen + (1.0 - own) * alike;
    let clustering = old.clustering(rare);
    [variance * new.clustering(rare).max(clustering), old.plain_variance(rare) * clustering]
}

pub fn bounds() -> (f64, f64) {
    ((BETA / (1.0 - ALPHA)).ln(), ((1.0 - BETA) / ALPHA).ln())
}

impl Balancer {
    /// Takes the events since the last step and decides what follows.
    pub fn step(&mut self, now: Timestamp, events: &mut dyn EventSource, out: &mut dyn DecisionSink) {
        let now = now.as_micros();
        // A front that stood still finds all at once, late by its own doing: times then tell of nothing else.
        self.stalled = now > self.wake_at + STALL;
        self.now = now;
        events.deliver(self);
        if now >= self.ask_at {
            out.poll_endpoints();
            self.ask_at = u64::MAX;
        }
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.sweep(out);
        }
        if now >= self.looked + LOOK {
            self.looked = now;
            self.tidy(EVIDENCE_FADE);
            self.look(out);
            self.vote(out);
            self.judge_machines(out);
            // Not far above what is in use: a jam must not find room for its queue.
            self.room.tries = self.room.tries.min((2.0 * self.held + 4.0).max(0.95 * self.room.tries));
        }
        // Two on each machine from all fronts together are no jam: fewer leave machines idle that are slow.
        let least = 2.0 * self.serving(0)[0] as f64 / f64::from(self.settings.instance_count);
        self.room.tries = self.room.tries.max(if self.stalled { f64::INFINITY } else { least });
        self.serve(out);
        // A req that waits is given up as soon as its time is over, however little slack there is.
        let waits = |rq: &&Req| !rq.over && rq.objective > now && !rq.tries.iter().any(|t| t.out);
        let over = self.reqs.values().filter(waits).map(|rq| rq.objective - now).min();
        let pause = if self.reqs.is_empty() { LOOK } else { SWEEP.min(over.unwrap_or(SWEEP)) };
        if now >= self.wake_at || now + pause < self.wake_at {
            self.wake_at = now + pause;
            out.schedule_wake_up(Duration::from_micros(pause));
        }
    }

    /// One entry of the endpoint list has been told.
    pub fn on_endpoint(&mut self, entry: EndpointEntry<'_>) {
        let EndpointEntry { name, build, .. } = entry;
        let started = entry.started_at.map_or(0, Timestamp::as_micros);
        let (now, kind) = (self.now, self.kind(entry.hardware_class));
        let i = self.place(name);
        let rank = self.names.range(..name.to_string()).count() as u32;
        let m = &mut self.machines[i];
        if m.build != build || m.started != started {
            // A new process. One that comes back slowed could do far less than its age says: a slow start.
            m.renew(
                if started != 0 && now < started + whole_micros(self.settings.warm_up_time) {
                    1.0
                } else {
                    FIRST_ROOM
                },
                now,
            );
            (m.wanted, m.load, m.credited) = (2, (0.0, 0), now);
            m.credit = f64::from((rank + self.settings.instance_index) % self.settings.instance_count)
                / f64::from(self.settings.instance_count);
        }
        (m.zone, m.cell, m.kind, m.far) =
            (entry.zone.into(), entry.cell, kind, entry.zone != self.settings.zone);
        (m.build, m.standing, m.started) = (build, entry.state, started);
    }

    /// The notice does not say whether a watch still stands; spread out, or all fronts call at once.
    pub fn on_endpoint_list_failed(&mut self) {
        self.ask_at = self.now
            + (SECOND / 2 + self.rng.rand_u64() % SECOND).min(whole_micros(self.settings.max_poll_interval));
    }

    /// A client has sent a request.
    pub fn on_request(&mut self, id: u64, request: IncomingRequest<'_>) {
        let (now, route) = (self.now, request.route);
        let (key, left) = (request.idempotency_key, whole_micros(request.time_remaining));
        let hint = request.cost_hint.unwrap_or(0.0);
        self.accepted.push(0, route, now);
        self.arrivals.add([1.0], now, RATE_FADE);
        let Route { latency_objective, priority_weight, .. } = self.settings.routes[route];
        let objective = whole_micros(latency_objective);
        // Where no work is told, the objective measures it: what takes longer is given longer.
        let (parts, work) = if hint > 0.0 { (hint, hint) } else { (1.0, objective as f64 / 1e3) };
        // In steps from the best, or of routes nearly alike one would go without any service in a jam.
        let rank = priority_weight * parts / self.usual_for(route, work).unwrap_or(1.0).max(1.0);
        self.best = rank.max(0.99 * self.best);
        let rank = (rank / self.best).log2().round() as i32;
        let (key, due) = (key.map(String::from), (now + left).min(self.closes));
        let objective = due.min(now + objective);
        self.reqs.insert(id, Req { route, key, work, came: now, due, objective, rank, ..Req::default() });
    }

    /// An attempt has ended.
    pub fn on_attempt_result(&mut self, id: u64, n: usize, result: AttemptResult) {
        let AttemptResult { outcome: end, request_finished: over, load, .. } = result;
        let took = whole_micros(result.duration);
        let now = self.now;
        let Some(rq) = self.reqs.get_mut(&id) else { return };
        let Some(t) = rq.tries.get_mut(n).filter(|t| t.out) else { return };
        t.ran &=
            !matches!(end, AttemptOutcome::Overloaded | AttemptOutcome::Refused | AttemptOutcome::NotSent);
        let Try { machine: i, build, warm, counted, ran: t_ran, .. } = *t;
        (t.out, t.counted, rq.over) = (false, true, rq.over | over);
        let (route, work) = (rq.route, rq.work);
        rq.suspect =
            Some(i).filter(|_| end == AttemptOutcome::ConnectionReset && self.settings.health_checks);
        // Also where the answer was lost on its way: the machine may have given it. A late one of an earlier
        // build takes nothing back.
        let answered = t_ran && !matches!(end, AttemptOutcome::Failed | AttemptOutcome::InvalidRequest);
        if let Some(key) = rq.key.clone().filter(|_| answered && self.settings.monotonic_key_builds) {
            let held = self.keys.entry(key).or_default();
            *held = build.max(*held);
        }
        if !counted {
            self.judge(id, n, end, took);
        }
        self.note_load(i, load, RATE_FADE);
        self.machines[i].held -= 1.0;
        if end == AttemptOutcome::Succeeded && warm {
            self.kinds[self.machines[i].kind].borne.add([1.0, 0.0], now, RATE_FADE);
        }
        if end == AttemptOutcome::Succeeded && !self.stalled {
            self.learn(i, route, work, took, warm && !self.on_trial(build));
        }
        self.feel(i, route, end, took);
        self.forget(id);
    }

    /// What an outcome says of its machine and of room, there and in all: thin fronts learn only from all.
    fn feel(&mut self, i: usize, route: usize, end: AttemptOutcome, took: u64) {
        let (now, objective) = (self.now, whole_micros(self.settings.routes[route].latency_objective));
        let deserted = end == AttemptOutcome::Succeeded && self.deserted();
        let m = &mut self.machines[i];
        if deserted && m.aside {
            m.renew(2.0, now);
        }
        if matches!(
            end,
            AttemptOutcome::Succeeded
                | AttemptOutcome::Failed
                | AttemptOutcome::Malformed
                | AttemptOutcome::InvalidRequest
        ) {
            (m.heard, m.refused) = (now, 0);
        }
        // While one answer in ten is hard, time-outs tell of the fleet and make no machine dear.
        let [hard, all] = self.room.ease.sums;
        let jam = end == AttemptOutcome::TimedOut && 10.0 * hard > all;
        if !jam
            && !matches!(
                end,
                AttemptOutcome::Succeeded
                    | AttemptOutcome::InvalidRequest
                    | AttemptOutcome::Cancelled
                    | AttemptOutcome::NotSent
            )
        {
            m.pace.add([1.0 / EASE, 1.0], now, RATE_FADE);
        }
        // A process that takes no connections serves nothing, however many others do the same.
        m.refused += u32::from(end == AttemptOutcome::Refused);
        if m.refused >= 2 && self.settings.health_checks && !m.aside {
            (m.aside, m.answered, m.probed, m.risked) = (true, 0, now, now);
        }
        let ease = if end == AttemptOutcome::Succeeded { took as f64 / objective as f64 } else { 1.0 };
        if self.stalled
            || !matches!(
                end,
                AttemptOutcome::Succeeded | AttemptOutcome::Overloaded | AttemptOutcome::TimedOut
            )
        {
            return;
        }
        pace(&mut m.room, ease, m.held, now, objective);
        if end != AttemptOutcome::TimedOut {
            pace(&mut self.room, ease, self.held, now, objective);
        }
    }

    /// A health check has ended.
    pub fn on_health_check(&mut self, name: &str, end: AttemptOutcome, load: Option<LoadReport>) {
        let (now, Some(i)) = (self.now, self.find(name)) else { return };
        self.note_load(i, load, RATE_FADE);
        // A req that went down with its machine may have brought it down, and would bring down the next.
        for rq in self.reqs.values_mut().filter(|rq| rq.suspect == Some(i)) {
            (rq.suspect, rq.deadly) = (
                None,
                matches!(
                    end,
                    AttemptOutcome::Refused | AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut
                ),
            );
        }
        let deserted = self.deserted();
        let m = &mut self.machines[i];
        (m.probe_out, m.answered) =
            (false, if end == AttemptOutcome::Succeeded { m.answered + 1 } else { 0 });
        if m.aside && m.answered >= if deserted { 2 } else { m.wanted } {
            m.renew(2.0, now);
            m.wanted = (m.wanted * 2).min(16); // Some machines answer probes and fail reqs.
        }
    }

    /// The platform has answered the vote that is out.
    pub fn on_vote_result(&mut self, answer: VoteResult) {
        match (answer, self.cast.take()) {
            (VoteResult::Accepted, Some(c)) => self.stands = (c.0, c.1, c.2, self.now),
            // It may count: hold to neither, so that it is cast again.
            (VoteResult::Unknown, Some(_)) => self.stands.2 = Vote::Abstain,
            _ => {}
        }
    }

    /// The platform has told where the newest build's rollout stands.
    pub fn on_rollout_status(&mut self, status: RolloutStatus) {
        let RolloutStatus { build, stage, phase, traffic_cap: cap, .. } = status;
        let age = whole_micros(status.age);
        if self.rollout.is_some_and(|n| n.build == build && cap < n.traffic_cap) {
            self.recount = Some(self.now + whole_micros(self.settings.grace_period));
            self.accepted.clear();
        }
        if self.rollout.is_none_or(|n| n.build < build) {
            self.variances = Default::default();
            // After little quiet time what was calm before still tells.
            let calm = self.drain(SHARED, EVIDENCE_FADE, FLEET);
            let enough = calm.outcomes >= self.calm.outcomes.min(5.0 * LEAST_OUTCOMES);
            (self.calm, self.calm_at) = (if enough { calm } else { self.calm }, self.now);
            self.calm_sends = self.sends.read(self.now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND);
            self.fleet = self.serving(0).iter().sum();
        }
        // What a bad build has done to the fleet is no measure for the next.
        if phase == RolloutPhase::RollingBack {
            self.drain(SHARED, EVIDENCE_FADE, FLEET);
        }
        self.stirred |= matches!(phase, RolloutPhase::Canary | RolloutPhase::RollingBack);
        self.rollout =
            Some(Rollout { build, stage, phase, traffic_cap: cap, since: self.now.saturating_sub(age) });
    }

    /// A client has complained of an answer that an endpoint gave so long ago.
    pub fn on_answer_flagged(&mut self, name: &str, age: Duration) {
        let age = whole_micros(age);
        let Some(i) = self.find(name) else { return };
        let (now, m) = (self.now, &self.machines[i]);
        if now.saturating_sub(age) >= m.started + SETTLING {
            let tally = self.evidence.entry((m.build, i)).or_default();
            tally.read(now, EVIDENCE_FADE);
            tally.hits[FAILURES] += 1.0;
            tally.hits[ERRORS] += 1.0;
        }
    }

    /// Counts one try into the evidence; against the other side only if that served too when it was sent.
    fn judge(&mut self, id: u64, n: usize, end: AttemptOutcome, took: u64) {
        let (now, rq) = (self.now, &self.reqs[&id]);
        let (route, work) = (rq.route, rq.work);
        let Try { build, machine: i, paired, steady, settled, warm, load, sent, .. } = rq.tries[n];
        let late = took > LATE * whole_micros(self.settings.routes[route].latency_objective);
        let error = matches!(
            end,
            AttemptOutcome::Failed | AttemptOutcome::ConnectionReset | AttemptOutcome::Malformed
        );
        // Time counts as slow, and lateness at all, only beyond what load explains, but for silent machines.
        let load = 1.0 + load.max(self.load(i).0);
        let usual = self.usual_on(i, route, work);
        let slow = usual.map(|(usual, met)| {
            took as f64 > usual / self.warmth(self.machines[i].started) * SLOW.max(LOADED * load / met)
        });
        let m = &mut self.machines[i];
        let plain = warm && (slow == Some(true) || m.heard <= sent);
        let known = error
            || matches!(end, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut)
                && (plain || !late)
                && !self.stalled;
        // A process that dies is one failure, not one for each try it held; a build that keeps dying shows.
        if !settled || !known || (end == AttemptOutcome::ConnectionReset && now < m.died + SECOND) {
            return;
        }
        m.died = if end == AttemptOutcome::ConnectionReset { now } else { m.died };
        let slow = slow.filter(|_| !matches!(end, AttemptOutcome::Failed | AttemptOutcome::Malformed));
        let mut hits = [None; TESTS];
        hits[FAILURES] = Some(error || late || end == AttemptOutcome::TimedOut).filter(|_| paired);
        hits[SLOWNESS] = slow.filter(|_| paired);
        // Resets and spoilt answers come from links and peers too, with nothing of the same time beside them.
        hits[ERRORS] = Some(end == AttemptOutcome::Failed);
        // Those still out when the trial began were long ones, and would make it look slow.
        hits[SHARED] = slow.filter(|_| steady && sent >= self.calm_at);
        self.evidence.entry((build, i)).or_default().add(hits, now, EVIDENCE_FADE);
    }

    /// What so much work usually takes; all routes stand in where little is known of one.
    fn usual_for(&mut self, route: usize, work: f64) -> Option<f64> {
        let [all, own] =
            [self.settings.routes.len(), route].map(|r| self.usual[r].read(self.now, USUAL_FADE));
        let few = 5.0 * all[1] / all[2];
        (all[2] >= 5.0).then(|| (own[0] + few * all[0] / all[1]) / (own[1] + few) * work)
    }

    /// The same on machines of this one's kind, and how much these held then.
    fn usual_on(&mut self, i: usize, route: usize, work: f64) -> Option<(f64, f64)> {
        let usual = self.usual_for(route, work)?;
        let [pace, held, n] = self.kinds[self.machines[i].kind].usual.read(self.now, USUAL_FADE);
        Some((usual * (pace + 2.0) / (n + 2.0), (held + 2.0) / (n + 2.0)))
    }

    /// Times tell of the fleet as it should be; a jam that a bad build leaves is no measure for the next.
    fn quiet(&self) -> bool {
        let since = HORIZON.max(whole_micros(self.settings.warm_up_time));
        // A front that has met no trial has met no jam left by one: at a day's start it must learn at once.
        let over = |n: Rollout| {
            let still = matches!(n.phase, RolloutPhase::Released | RolloutPhase::Withdrawn);
            still && (!self.stirred || self.now >= n.since + since)
        };
        !self.jammed() && self.rollout.is_none_or(over)
    }

    fn jammed(&self) -> bool {
        self.room.ease.sums[0] > 0.5 * self.room.ease.sums[1]
    }

    /// What an answer tells of its machine's pace, and of what is usual in quiet times.
    fn learn(&mut self, i: usize, route: usize, work: f64, took: u64, earlier: bool) {
        let (now, took, load) = (self.now, took as f64, 1.0 + self.load(i).0);
        let (usual, quiet) = (self.usual_for(route, work), self.quiet());
        let kind = &mut self.kinds[self.machines[i].kind];
        if let Some(u) = usual {
            self.machines[i].pace.add([took / u, 1.0], now, RATE_FADE);
            kind.pace.add([took / u, 1.0], now, RATE_FADE);
            self.zones[usize::from(self.machines[i].far)].add([took / u, 1.0], now, RATE_FADE);
        }
        if earlier && (quiet || usual.is_none()) {
            for r in [self.settings.routes.len(), route] {
                self.usual[r].add([took, work, 1.0], now, USUAL_FADE);
            }
            if let Some(u) = usual {
                kind.usual.add([took / u, load, 1.0], now, USUAL_FADE);
            }
        }
    }

    /// What the news has not named, or not as released; without any news, each build but the oldest listed.
    fn on_trial(&self, build: u32) -> bool {
        match self.rollout {
            Some(n) => build > n.build || (build == n.build && n.phase != RolloutPhase::Released),
            None => self.machines.iter().any(|m| m.standing != EndpointState::Removed && m.build < build),
        }
    }

    fn look(&mut self, out: &mut dyn DecisionSink) {
        let (now, Some(n)) = (self.now, self.rollout) else { return };
        let (mut sides, mut fleet) = ([[Arm::default(); 2]; TESTS], Vec::new());
        for (&(build, i), t) in self.evidence.iter_mut().filter(|((b, _), _)| *b <= n.build) {
            t.read(now, EVIDENCE_FADE);
            // A machine set aside is lost to the fleet, not slowed; of its own build it still tells.
            let lost = self.machines[i].aside && self.machines[i].build == build;
            for (test, arms) in sides.iter_mut().enumerate() {
                arms[usize::from(build < n.build)].add(t.all[test], t.hits[test].min(t.all[test]));
            }
            fleet.extend(Some([t.all[SHARED], t.hits[SHARED]]).filter(|_| !lost));
        }
        let (fresh, mut past) = (sides.map(|[new, _]| new), [[Arm::default(); 2]; TESTS]);
        for (&(build, _), t) in self.recalled.iter_mut().filter(|((b, _), _)| *b <= n.build) {
            t.read(now, EVIDENCE_FADE);
            for (test, arms) in past.iter_mut().enumerate().filter(|(test, _)| *test != SHARED) {
                arms[usize::from(build < n.build)].add(t.all[test], t.hits[test].min(t.all[test]));
            }
        }
        for (sides, past) in sides.iter_mut().zip(past) {
            for ((side, past), most) in sides.iter_mut().zip(past).zip(MOST_RECALLED) {
                side.add_part(past, (most / past.outcomes.max(1e-9)).min(1.0));
            }
        }
        sides[SHARED][0] = Arm::of_lower(fleet, FLEET);
        // The whole fleet against before; a few usual outcomes stand in where there were few.
        sides[SHARED][1] = self.calm;
        sides[SHARED][1].add(LEAST_OUTCOMES, 0.15 * LEAST_OUTCOMES);
        // Errors with none of the same time beside them may be those of a few machines, and are doubted more.
        let alone = f64::from(self.serving(n.build)[1] == 0) * LEAST_OUTCOMES;
        sides[ERRORS][1].add(alone, 0.15 * alone);
        let (lower, upper) = bounds();
        // Few false votes of many fronts make a false verdict of the fleet, which is what α is for: the part
        // of it that falls to one front is such that as many at once as are needed stay as rare.
        let votes = f64::from(self.settings.rollback_votes.max(1));
        let part = if votes > 1.0 { (votes.sqrt() - 0.82).powi(2) } else { ALPHA };
        let share = (ALPHA / part * f64::from(self.settings.instance_count)).ln().max(0.0);
        let mut lifted = now >= n.since + HORIZON;
        // Offered again under its number, a build found bad before a restart is held while a hold may last.
        self.leaning = self.suspect.is_some_and(|(build, until)| build == n.build && now < until);
        for (test, [new, old]) in sides.into_iter().enumerate() {
            // A front that started lately knows of no time before.
            let fleet = f64::from(test == SHARED);
            if new.outcomes < 1.0 + 9.0 * fleet || old.outcomes < LEAST_OUTCOMES + fleet {
                continue;
            }
            let present = variances(new, old, RARE[test]);
            let before = self.variances[test].replace(present).unwrap_or(present);
            let least = (before[0] / new.outcomes + before[1] / old.outcomes).sqrt() * 3.0;
            let wide = GAPS[test] * if RARE[test] > 0.0 { GROSS } else { 1.0 };
            let s = score(new, old, present, before, GAPS[test]);
            let far = score(new, old, present, before, wide.max(least));
            // What one machine does may be its neighbour's doing: the fewer there are, the more is doubted.
            let doubt = DOUBT[if test == ERRORS && alone > 0.0 { FAILURES } else { test }];
            let doubt = doubt * (1.0 + 2.0 * new.spread[2] / new.outcomes.powi(2));
            let both = (s.exp() + far.exp()).ln() - doubt - share;
            // What was seen before a restart may be over: this front's own outcomes must say the same.
            let own = fresh[test].hits >= 1.0 && fresh[test].share() > old.share();
            let own = own || past[test][0].outcomes == 0.0;
            if both >= upper && own && self.condemned != Some(n.build) {
                (self.condemned, self.condemned_at) = (Some(n.build), now);
                let of_it =
                    |m: &&Machine| m.aside && m.build == n.build && m.standing == EndpointState::Ready;
                out.report_rollback_verdict(&RollbackVerdict {
                    build: n.build,
                    stage: n.stage,
                    test: TEST_NAMES[test],
                    candidate: FailureShare { failures: new.hits, outcomes: new.outcomes },
                    baseline: FailureShare { failures: old.hits, outcomes: old.outcomes },
                    restored_outcomes: past[test][0].outcomes.min(MOST_RECALLED[0]),
                    score: both,
                    bound: upper,
                    alpha: ALPHA,
                    beta: BETA,
                    ejected_endpoints: self.machines.iter().filter(of_it).count(),
                });
            }
            self.leaning |= both > 0.0;
            lifted |= test == FAILURES && s <= lower;
        }
        self.lifted = if lifted { Some((n.build, n.stage)) } else { self.lifted };
    }

    fn vote(&mut self, out: &mut dyn DecisionSink) {
        let (now, Some(n)) = (self.now, self.rollout) else { return };
        if self.cast.is_some_and(|c| now < c.3 + whole_micros(self.settings.vote_timeout) + SECOND) {
            return;
        }
        self.cast = None;
        let lifted = self.lifted == Some((n.build, n.stage));
        let dwelt = now >= n.since + whole_micros(self.settings.min_stage_time);
        let wish = match n.phase {
            RolloutPhase::Canary | RolloutPhase::Released if self.condemned == Some(n.build) => {
                Vote::RollBack
            }
            RolloutPhase::Canary if self.settings.automatic_stages && self.leaning && !lifted => Vote::Hold,
            RolloutPhase::Canary if !self.settings.automatic_stages && (lifted || !self.leaning) && dwelt => {
                Vote::Advance
            }
            _ => Vote::Abstain,
        };
        let (build, stage, verdict, at) = self.stands;
        let fresh = now < at + whole_micros(self.settings.vote_lifetime) * 6 / 10;
        let same = build == n.build && (stage == n.stage || wish == Vote::RollBack) && verdict == wish;
        let lapsed = build != n.build || now >= at + whole_micros(self.settings.vote_lifetime);
        let idle = wish == Vote::Abstain && (verdict == Vote::Abstain || lapsed);
        let chance = self.settings.votes_per_second * whole_micros(self.settings.vote_lifetime) as f64
            / 2e6
            / f64::from(self.settings.instance_count);
        if !(idle || same && fresh) && self.rng.rand_float() < chance {
            out.cast_vote(Ballot { build: n.build, stage: n.stage, vote: wish });
            self.cast = Some((n.build, n.stage, wish, now));
        }
    }

    /// Silence and refused connections set a machine aside; errors make it dear, and the test needs them.
    fn judge_machines(&mut self, out: &mut dyn DecisionSink) {
        let now = self.now;
        let ready: Vec<usize> =
            (0..self.machines.len()).filter(|i| self.machines[*i].standing == EndpointState::Ready).collect();
        let mut aside = ready.iter().filter(|i| self.machines[**i].aside).count();
        for i in &ready {
            let m = &mut self.machines[*i];
            if m.aside && now >= m.probed + PROBE_EVERY {
                self.probe(*i, out);
            } else if !m.aside && m.silent && aside * 3 < ready.len() {
                aside += 1;
                (m.aside, m.answered, m.probed, m.risked) = (true, 0, now, now);
            } else if !m.aside && now >= m.started + whole_micros(self.settings.warm_up_time) {
                self.kinds[m.kind].borne.add([0.0, LOOK as f64 / 1e6], now, RATE_FADE);
            }
            self.machines[*i].silent = false;
        }
    }

    fn probe(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let m = &mut self.machines[i];
        if !m.probe_out {
            (m.probe_out, m.probed) = (true, self.now);
            out.start_health_check(&m.name, Timestamp::from_micros(self.now + PROBE_EVERY));
        }
    }

    /// Rule 2 and the limits on tries: may this req go out to this machine now?
    fn may_try(&self, rq: &Req, m: &Machine) -> bool {
        rq.tries.len() < self.settings.max_attempts && !rq.deadly && self.may_repeat(rq, m, None)
    }

    /// Rule 2: may it run there, with all that ran before or may have, but for this try of it?
    fn may_repeat(&self, rq: &Req, m: &Machine, but: Option<usize>) -> bool {
        let mut ran = rq.tries.iter().enumerate().filter(|(n, t)| t.ran && Some(*n) != but).map(|(_, t)| t);
        match self.settings.routes[rq.route].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => ran.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => ran.all(|t| {
                let first = &self.machines[t.machine];
                // One listed anew since, whenever it started, may have come back in another group.
                let inside = match scope {
                    KeyScope::Fleet => true,
                    KeyScope::Zone => first.zone == m.zone && first.started == t.started,
                    KeyScope::Cell => first.cell == m.cell && first.started == t.started,
                };
                inside && self.now < t.sent + whole_micros(window)
            }),
        }
    }

    /// The rules once more, for a try whose connection had to be made first and only now takes the query:
    /// what was told and what has passed since it was chosen binds it too. One that may not go now has never
    /// run.
    pub fn may_write_attempt(&mut self, id: u64, n: usize) -> bool {
        let (now, Some(rq)) = (self.now, self.reqs.get(&id)) else { return false };
        let Some(t) = rq.tries.get(n).filter(|t| t.out && !rq.over && now < rq.due) else { return false };
        let (m, build, sent, route) = (&self.machines[t.machine], t.build, t.sent, rq.route);
        let same = m.standing == EndpointState::Ready && (m.build, m.started) == (build, t.started);
        if !same || build < self.floor(rq) || !self.may_repeat(rq, m, Some(n)) {
            return false;
        }
        // Rule 5 counts a try from when it is written.
        self.exposed.take(build, route, sent);
        let may = self.may_expose(build, route);
        if may {
            self.exposed.push(build, route, now);
        }
        may
    }

    /// Rule 5: may one more try of this route go to this build?
    fn may_expose(&self, build: u32, route: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let first = self.settings.stage_caps.first().copied().unwrap_or(0.0);
        let told = self.rollout.filter(|n| n.build == build);
        let (stage, cap) = told.map_or((0, first), |n| (n.stage, n.traffic_cap));
        let guarded = stage < self.settings.guarded_stages
            && self.settings.routes[route].idempotency != Idempotency::Idempotent;
        if cap <= 0.0 || guarded {
            return false;
        }
        // A try exactly a window old still counts, a req of that age no longer does.
        let from = self.now.saturating_sub(whole_micros(self.settings.exposure_window));
        let route = Some(route).filter(|_| self.settings.exposure_by_route);
        let (sent, taken) = (self.exposed.since(build, route, from), self.accepted.since(0, route, from + 1));
        (sent + 1) as f64 <= self.settings.exposure_allowance + cap * taken as f64
    }

    /// Rule 4: this front's prudent part of what a cold machine can take, earned as time goes and due as
    /// soon as it makes a req. What warm machines of its kind have borne from this front stands in for the
    /// capacity, so that the parts of all fronts add up, however traffic is spread. Fronts begin with credits
    /// a step apart: of hundreds, each takes every n-th cold machine of the sorted list, from its own start.
    fn due(&mut self, i: usize) -> bool {
        let now = self.now;
        let warm = self.warmth(self.machines[i].started);
        let bears = self.bears(self.machines[i].kind);
        let (set, m) = (&self.settings, &mut self.machines[i]);
        let rate = COLD_PART * set.overload_multiple * warm * bears / 1e6;
        let most = 1.0 + rate * whole_micros(set.overload_window) as f64 / 4.0;
        (m.credit, m.credited) = ((m.credit + rate * (now - m.credited) as f64).min(most), now);
        m.credit >= 1.0
    }

    /// Reqs a second answered by a warm machine of the kind, else of any, else an even part of what comes in.
    fn bears(&mut self, kind: usize) -> f64 {
        let now = self.now;
        let all: Vec<[f64; 2]> = self.kinds.iter_mut().map(|k| k.borne.read(now, RATE_FADE)).collect();
        let sum = all.iter().fold([0.0, 0.0], |a, b| [a[0] + b[0], a[1] + b[1]]);
        if let Some([served, spent]) = [all[kind], sum].into_iter().find(|[_, spent]| *spent >= 1.0) {
            return served / spent;
        }
        let ready = self.machines.iter().filter(|m| m.standing == EndpointState::Ready).count().max(1);
        self.arrivals.read(now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND) / ready as f64
    }

    /// Where keys go one way only: the build that has answered this req's key, or is being asked for it and
    /// may have answered before this front hears of it. Nothing of the key goes to an earlier one.
    fn floor(&self, rq: &Req) -> u32 {
        let ends = |n: Rollout| matches!(n.phase, RolloutPhase::RollingBack | RolloutPhase::Withdrawn);
        let (Some(key), false) =
            (&rq.key, !self.settings.monotonic_key_builds || self.rollout.is_none_or(ends))
        else {
            return 0;
        };
        let same = self.reqs.values().filter(|other| other.key.as_ref() == Some(key));
        let asked = same.flat_map(|other| &other.tries).filter(|t| t.out).map(|t| t.build).max();
        self.keys.get(key).copied().max(asked).unwrap_or(0)
    }

    fn pick(&mut self, id: u64) -> Option<usize> {
        let (mut sides, mut allowed) = ([Vec::new(), Vec::new()], BTreeMap::new());
        let (now, rq) = (self.now, &self.reqs[&id]);
        let (route, work, left) = (rq.route, rq.work, 0.6 * rq.objective.saturating_sub(now) as f64);
        let floor = self.floor(rq);
        // Where all are set aside, one req at a time tries each as a probe would: the fault may be the
        // front's own, or lie with the probes.
        let deserted = self.deserted();
        let last = |m: &Machine| deserted && m.held < 1.0 && now >= m.risked + SECOND;
        let fits = |m: &Machine| {
            let open = if m.aside { last(m) } else { m.held < m.room.tries.floor() };
            open && m.standing == EndpointState::Ready && m.build >= floor && self.may_try(rq, m)
        };
        let open: Vec<usize> = (0..self.machines.len()).filter(|i| fits(&self.machines[*i])).collect();
        let untried = |i: &usize| !rq.tries.iter().any(|t| t.machine == *i);
        let fresh: Vec<usize> = open.iter().copied().filter(untried).collect();
        let open = if fresh.is_empty() { open } else { fresh };
        let usual = self.usual_for(route, work).unwrap_or(0.0);
        let time = |[sum, n]: [f64; 2]| usual * (sum + 2.0) / (n + 2.0);
        let times: Vec<f64> = self.kinds.iter_mut().map(|k| time(k.pace.read(now, RATE_FADE))).collect();
        for i in open {
            let m = &self.machines[i];
            let (build, warm, time) = (m.build, self.warmth(m.started), times[m.kind]);
            let allowed = *allowed.entry(build).or_insert_with(|| self.may_expose(build, route));
            if allowed && warm >= 1.0 {
                sides[usize::from(self.on_trial(build))].push(i);
            } else if allowed && self.due(i) && time < left * warm {
                return Some(i);
            }
        }
        // Heavy reqs go where they can be done in time, and leave the rest to light ones.
        for side in &mut sides {
            let fast = |i: &usize| times[self.machines[*i].kind] <= left;
            let fast: Vec<usize> = side.iter().copied().filter(fast).collect();
            *side = if fast.is_empty() { std::mem::take(side) } else { fast };
        }
        // By warm machines: cold ones have had theirs, and would leave it to the warm ones of their build.
        let share = sides[1].len() as f64 / (sides[0].len() + sides[1].len()).max(1) as f64;
        let first = usize::from(self.rng.rand_float() < share);
        let side = if sides[first].is_empty() { &sides[1 - first] } else { &sides[first] };
        side.first()?;
        // One of the two from the own zone, unless it is so much busier that crossing is worth its price.
        let own: Vec<usize> = side.iter().copied().filter(|i| !self.machines[*i].far).collect();
        let paces =
            self.zones.each_mut().map(|z| z.read(now, RATE_FADE)).map(|[sum, n]| (sum + 5.0) / (n + 5.0));
        let lean = paces[0] <= (0.8 + 10.0 * self.settings.cross_zone_price) * paces[1] && !own.is_empty();
        let pools = [if lean { &own } else { side }, side];
        let [a, b] = pools.map(|pool| pool[(self.rng.rand_u64() % pool.len() as u64) as usize]);
        Some(if self.cost(b) < self.cost(a) { b } else { a })
    }

    /// Reqs held by the machine, and by one of its kind on average, which stands in for reports of long ago.
    fn load(&mut self, i: usize) -> (f64, f64) {
        let (now, m) = (self.now, &self.machines[i]);
        let [sum, n] = self.kinds[m.kind].load.read(now, RATE_FADE);
        let mean = sum / n.max(1e-9);
        let fresh = (-(now.saturating_sub(m.load.1) as f64) / 1e6).exp();
        ((mean + (m.load.0 - mean) * fresh).max(m.held), mean)
    }

    /// Its answers' times against the usual, filled up with its kind's, times what it holds against its kind.
    fn cost(&mut self, i: usize) -> f64 {
        let (now, (holds, mean)) = (self.now, self.load(i));
        let m = &mut self.machines[i];
        let mut pace = 1.0;
        for paces in [&mut self.kinds[m.kind].pace, &mut m.pace] {
            let [sum, n] = paces.read(now, RATE_FADE);
            pace = (sum + 2.0 * pace) / (n + 2.0);
        }
        let far = 1.0 + f64::from(m.far) * 10.0 * self.settings.cross_zone_price;
        (holds + 1.0) / (mean + 1.0) * pace.max(0.1) * far
    }

    fn serve(&mut self, out: &mut dyn DecisionSink) {
        let waits = |rq: &Req| !rq.over && !rq.tries.iter().any(|t| t.out && !t.stuck);
        let waiting = self.reqs.iter().filter(|(_, rq)| waits(rq));
        let mut ids: Vec<_> = waiting.map(|(id, rq)| (Reverse(rq.rank), Reverse(rq.came), *id)).collect();
        ids.sort_unstable();
        let mut full = vec![false; self.settings.routes.len()];
        for (.., id) in ids {
            let (route, work) = (self.reqs[&id].route, self.reqs[&id].work);
            let usual = self.usual_for(route, work).unwrap_or(0.0) as u64;
            let (rq, objective) =
                (&self.reqs[&id], whole_micros(self.settings.routes[route].latency_objective));
            // At most half the objective: else a jam would shed all on arrival, and nothing be learned again.
            let late = self.now + (usual * 3 / 2).min(objective / 2) >= rq.objective;
            if late || !self.machines.iter().any(|m| self.may_try(rq, m)) {
                if rq.tries.iter().any(|t| t.out) {
                    continue;
                }
                let harmless = |r| {
                    matches!(
                        r,
                        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::Fleet, .. }
                    )
                };
                if harmless(self.settings.routes[route].idempotency) || !rq.tries.iter().any(|t| t.ran) {
                    let retry_after = whole_micros(self.settings.max_retry_after).min(objective / 2);
                    out.reject_request(id, Duration::from_micros(retry_after));
                } else {
                    out.fail_request(id);
                }
                self.on_client_disconnected(id);
                continue;
            }
            // Where one finds no machine, no other first try of its route does: a jam must not cost CPU too.
            let plain = rq.tries.is_empty() && !self.settings.monotonic_key_builds;
            if let Some(i) = rq.suspect {
                self.probe(i, out);
            } else if self.held < self.room.tries.floor() && !(plain && full[route]) {
                match self.pick(id) {
                    Some(i) => self.send(id, i, out),
                    None => full[route] |= plain,
                }
            }
        }
    }

    fn send(&mut self, id: u64, i: usize, out: &mut dyn DecisionSink) {
        let (now, load) = (self.now, self.load(i).0);
        let Machine { build, started, .. } = self.machines[i];
        let newest = self.rollout.map_or(u32::MAX, |n| n.build);
        let serving = self.serving(newest);
        let chance = 2.0 * (self.calm_sends * 1e6 / RATE_FADE / 2.0).sqrt();
        let rate = self.sends.read(now, RATE_FADE)[0] / self.spell(RATE_FADE, SECOND);
        // What else jams a fleet is no build's doing: lost machines, a rush, and all before it serves.
        let steady = self.quiet()
            || (self
                .rollout
                .is_some_and(|n| matches!(n.phase, RolloutPhase::Canary | RolloutPhase::Released))
                && serving.iter().sum::<usize>() * 10 >= self.fleet * 9
                && rate <= 1.2 * self.calm_sends + chance
                && serving[0] > 0);
        let age = if started == 0 { u64::MAX } else { now.saturating_sub(started) };
        let m = &mut self.machines[i];
        m.held += 1.0;
        m.risked = if m.aside { now } else { m.risked };
        m.credit -= f64::from(age < whole_micros(self.settings.warm_up_time));
        let rq = self.reqs.get_mut(&id).unwrap();
        let (settled, warm) =
            (age >= SETTLING, age >= whole_micros(self.settings.warm_up_time).max(SETTLING));
        let paired = serving[usize::from(build >= newest)] > 0;
        rq.tries.push(Try { started, settled, warm, paired, load, steady, ..Try::new(i, build, now) });
        out.start_attempt(id, &m.name, Timestamp::from_micros(rq.due));
        self.exposed.push(build, rq.route, now);
        self.held += 1.0;
        self.sends.add([1.0], now, RATE_FADE);
    }

    /// What only the passing of time brings: failures without an answer, tries of no more use, the recount.
    fn sweep(&mut self, out: &mut dyn DecisionSink) {
        let now = self.now;
        if self.recount.take_if(|t| now >= *t).is_some() {
            self.accepted.clear();
        }
        let from = now.saturating_sub(whole_micros(self.settings.exposure_window));
        self.accepted.forget_before(from);
        self.exposed.forget_before(from);
        let usual: Vec<f64> = (0..self.settings.routes.len())
            .map(|r| self.usual_for(r, 1.0).unwrap_or(f64::INFINITY))
            .collect();
        // The first answers of all are the quick ones.
        let known = self.usual[usual.len()].sums[2] >= 5.0 * LEAST_OUTCOMES;
        // Without a copy beside it a try that may be lost is only waited for, as any other.
        let copies = self.settings.cancel_attempts && self.settings.hedging;
        let (mut overdue, easy) = (Vec::new(), copies && known && !self.jammed());
        self.held = 0.0;
        for (id, rq) in &mut self.reqs {
            let objective = whole_micros(self.settings.routes[rq.route].latency_objective);
            let first = easy && !rq.over && rq.tries.len() == 1;
            for (n, t) in rq.tries.iter_mut().enumerate().filter(|(_, t)| t.out && !t.begun) {
                // What a silent machine keeps takes no room of the others.
                let (m, age) = (&mut self.machines[t.machine], now - t.sent);
                let silent = m.heard <= t.sent;
                m.silent |= silent && age > objective && self.settings.health_checks;
                self.held += f64::from(age <= if silent { objective / 2 } else { objective });
                if !t.counted && (age > LATE * objective || t.stuck && rq.over) {
                    overdue.push((*id, n, age));
                }
                if !t.counted && rq.over && self.settings.cancel_attempts {
                    out.cancel_attempt(*id, n);
                }
                t.counted |= rq.over || age > LATE * objective;
                t.stuck |= first && 2 * age > objective && age as f64 > STUCK * usual[rq.route] * rq.work;
            }
        }
        for (id, n, age) in overdue {
            self.judge(id, n, AttemptOutcome::TimedOut, age);
            let Req { route, work, ref tries, .. } = self.reqs[&id];
            let Try { machine, build, warm, stuck, .. } = tries[n];
            // Were only what comes back learned from, ever less would seem usual.
            if stuck {
                self.learn(machine, route, work, age, warm && !self.on_trial(build));
            }
        }
    }
}

/// Room grows where it is used up while answers are easy, and narrows in a jam once in half an objective.
fn pace(room: &mut Room, ease: f64, held: f64, now: u64, objective: u64) {
    room.ease.add([f64::from(ease > EASE), 1.0], now, 1e6);
    let jammed = room.ease.sums[0] > 0.5 * room.ease.sums[1];
    if jammed && now >= room.narrowed + objective / 2 {
        (room.tries, room.narrowed) = ((room.tries.min(2.0 * held + 4.0) * 0.8).max(1.0), now);
    } else if !jammed && held + 2.0 >= room.tries {
        room.tries += 1.0 / room.tries;
    }
}
