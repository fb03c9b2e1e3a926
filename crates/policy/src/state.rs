//! What a balancer remembers, as plain data; what follows from it is decided in `decide.rs`.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand64;

use crate::settings::Settings;
use crate::types::{EndpointState, LoadReport, RolloutPhase, Timestamp, Vote, whole_micros};

/// Sums that decay together; brought up to date when read.
#[derive(Clone, Copy)]
pub struct Fading<const N: usize> {
    pub at: u64,
    pub sums: [f64; N],
}

impl<const N: usize> Default for Fading<N> {
    fn default() -> Self {
        Fading { at: 0, sums: [0.0; N] }
    }
}

impl<const N: usize> Fading<N> {
    pub fn read(&mut self, now: u64, fade: f64) -> [f64; N] {
        let kept = (-((now - self.at) as f64) / fade).exp();
        self.sums = self.sums.map(|x| x * kept);
        self.at = now;
        self.sums
    }
    pub fn add(&mut self, xs: [f64; N], now: u64, fade: f64) {
        self.read(now, fade);
        self.sums.iter_mut().zip(xs).for_each(|(sum, x)| *sum += x);
    }
}

/// When something happened, by build and route; in order, so that a busy front counts without going through.
#[derive(Default)]
pub struct Past(BTreeMap<(u32, usize), VecDeque<u64>>);

impl Past {
    pub fn push(&mut self, build: u32, route: usize, now: u64) {
        self.0.entry((build, route)).or_default().push_back(now);
    }
    /// Takes out one that happened just then.
    pub fn take(&mut self, build: u32, route: usize, at: u64) {
        if let Some(times) = self.0.get_mut(&(build, route)) {
            let i = times.partition_point(|t| *t < at);
            if times.get(i) == Some(&at) {
                times.remove(i);
            }
        }
    }
    /// How often at this time or later; on one route or on all.
    pub fn since(&self, build: u32, route: Option<usize>, at: u64) -> usize {
        let counts = |(b, r): &(u32, usize)| *b == build && route.is_none_or(|route| *r == route);
        let times = self.0.iter().filter(|(of, _)| counts(of)).map(|(_, times)| times);
        times.map(|times| times.len() - times.partition_point(|t| *t < at)).sum()
    }
    pub fn forget_before(&mut self, at: u64) {
        self.0.retain(|_, times| {
            times.drain(..times.partition_point(|t| *t < at));
            !times.is_empty()
        });
    }
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

pub const TESTS: usize = 4;

/// Outcomes of one machine under one build, for each test: all of them, and the hits; they decay, each
/// test's at its pace.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub at: u64,
    pub all: [f64; TESTS],
    pub hits: [f64; TESTS],
}

impl Tally {
    pub fn read(&mut self, now: u64, fades: [f64; TESTS]) {
        let passed = (now - self.at) as f64;
        for (test, fade) in fades.into_iter().enumerate().filter(|_| passed > 0.0) {
            let kept = (-passed / fade).exp();
            (self.all[test], self.hits[test]) = (self.all[test] * kept, self.hits[test] * kept);
        }
        self.at = now;
    }
    /// One more outcome for each test that takes it.
    pub fn add(&mut self, hits: [Option<bool>; TESTS], now: u64, fades: [f64; TESTS]) {
        self.read(now, fades);
        for (test, hit) in hits.into_iter().enumerate() {
            self.all[test] += f64::from(hit.is_some());
            self.hits[test] += f64::from(hit == Some(true));
        }
    }
}

/// One side of the test, as read at a look.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Arm {
    pub outcomes: f64,
    pub hits: f64,
    /// Over its machines: hits squared, hits times outcomes, outcomes squared.
    pub spread: [f64; 3],
}

impl Arm {
    pub fn share(&self) -> f64 {
        if self.outcomes > 0.0 { self.hits / self.outcomes } else { 0.0 }
    }
    /// A part of another side's sums.
    pub fn add_part(&mut self, of: Arm, part: f64) {
        (self.outcomes, self.hits) = (self.outcomes + part * of.outcomes, self.hits + part * of.hits);
        self.spread.iter_mut().zip(of.spread).for_each(|(sum, x)| *sum += part * part * x);
    }
    pub fn add(&mut self, n: f64, k: f64) {
        (self.outcomes, self.hits) = (self.outcomes + n, self.hits + k);
        self.spread = [self.spread[0] + k * k, self.spread[1] + k * n, self.spread[2] + n * n];
    }
}

impl Arm {
    /// Of the machines with the smallest shares, up to this part of all outcomes.
    pub fn of_lower(mut machines: Vec<[f64; 2]>, part: f64) -> Arm {
        let share = |m: &[f64; 2]| m[1] / m[0].max(1e-9);
        machines.sort_by(|a, b| share(a).total_cmp(&share(b)));
        let most = part * machines.iter().map(|m| m[0]).sum::<f64>();
        let mut arm = Arm::default();
        for [n, k] in machines {
            if arm.outcomes < most {
                arm.add(n, k);
            }
        }
        arm
    }
}

/// Machines alike, as seen on all of them.
#[derive(Default)]
pub struct Kind {
    pub name: String,
    /// Reqs that warm ones answered, and the seconds these stood ready.
    pub borne: Fading<2>,
    /// Reqs that they reported to hold, and reports.
    pub load: Fading<2>,
    /// Times to answer against the route's usual, and answers.
    pub pace: Fading<2>,
    /// The same before a trial, with what they then held: times, reqs held with the one answered, answers.
    pub usual: Fading<3>,
}

/// How many own tries may be out, and how answers compare with the latency objective.
#[derive(Default)]
pub struct Room {
    pub tries: f64,
    pub narrowed: u64,
    /// Answers that took long, and answers.
    pub ease: Fading<2>,
}

#[derive(Default)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    /// In another zone than this front.
    pub far: bool,
    pub kind: usize,
    pub cell: u64,
    pub build: u32,
    pub standing: EndpointState,
    pub started: u64,
    /// Own tries out, and what it last reported to hold, and when.
    pub held: f64,
    pub load: (f64, u64),
    pub room: Room,
    /// Times to answer against the route's usual, and answers.
    pub pace: Fading<2>,
    pub refused: u32,
    pub died: u64,
    pub heard: u64,
    /// It let a try pass its objective without any answer since.
    pub silent: bool,
    pub aside: bool,
    pub probe_out: bool,
    pub probed: u64,
    /// While set aside: since when, or when a req was last tried there.
    pub risked: u64,
    pub answered: u32,
    pub wanted: u32,
    /// Of a cold machine: the part of a req that this front may send.
    pub credit: f64,
    pub credited: u64,
}

impl Machine {
    /// Nothing is held against it any more.
    pub fn renew(&mut self, room: f64, now: u64) {
        (self.aside, self.heard, self.refused, self.pace) = (false, now, 0, Default::default());
        self.room = Room { tries: room, ..Room::default() };
    }
}

#[derive(Clone, Copy, Default)]
pub struct Try {
    pub machine: usize,
    pub build: u32,
    /// Its machine's start, as listed when it was sent.
    pub started: u64,
    pub sent: u64,
    pub out: bool,
    /// It ran, or may have.
    pub ran: bool,
    pub counted: bool,
    /// Out for so long that its answer may be lost.
    pub stuck: bool,
    /// Its answer streams to the client, and no time is set to it any more.
    pub begun: bool,
    pub settled: bool,
    pub warm: bool,
    /// What its machine held when it was sent.
    pub load: f64,
    /// The other side of the trial had a machine in service when it was sent.
    pub paired: bool,
    /// Comparable with the fleet before the trial.
    pub steady: bool,
}

impl Try {
    pub fn new(machine: usize, build: u32, sent: u64) -> Self {
        Try { machine, build, sent, out: true, ran: true, ..Try::default() }
    }
}

#[derive(Default)]
pub struct Req {
    pub route: usize,
    pub key: Option<String>,
    /// As hinted, or what stands in for it.
    pub work: f64,
    pub came: u64,
    pub due: u64,
    pub objective: u64,
    /// Steps under the best that go first.
    pub rank: i32,
    pub over: bool,
    /// The machine that broke off its last try, until a probe tells whether it still runs; it does not.
    pub suspect: Option<usize>,
    pub deadly: bool,
    pub tries: Vec<Try>,
}

#[derive(Clone, Copy)]
/// Where the newest build stands.
pub struct Rollout {
    pub build: u32,
    pub stage: u32,
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    pub since: u64,
}

/// What an instance knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// As the endpoint list has it.
    pub state: EndpointState,
    /// This instance's attempts in flight there.
    pub in_flight: f64,
    /// Requests in flight that it last reported.
    pub reported_load: f64,
}

pub struct Balancer {
    /// The told settings.
    pub settings: Settings,
    pub now: u64,
    pub stalled: bool,
    pub born: u64,
    /// When this front ends, once it is known.
    pub closes: u64,
    pub rng: Rand64,
    pub machines: Vec<Machine>,
    pub names: BTreeMap<String, usize>,
    pub kinds: Vec<Kind>,
    pub reqs: BTreeMap<u64, Req>,
    /// Where the newest build stands, once the platform has told.
    pub rollout: Option<Rollout>,
    /// A trial was seen since this front's start.
    pub stirred: bool,
    /// Reqs, of no build, and tries.
    pub accepted: Past,
    pub exposed: Past,
    pub recount: Option<u64>,
    pub keys: BTreeMap<String, u32>,
    /// By build and machine.
    pub evidence: BTreeMap<(u32, usize), Tally>,
    /// The same out of a memory: from before this front's start.
    pub recalled: BTreeMap<(u32, usize), Tally>,
    /// A build that was condemned before this front's start, and until when that is remembered.
    pub suspect: Option<(u32, u64)>,
    /// Of the look before.
    pub variances: [Option<[f64; 2]>; TESTS],
    /// The fleet before the trial.
    pub calm: Arm,
    pub fleet: usize,
    pub calm_sends: f64,
    pub calm_at: u64,
    pub condemned: Option<u32>,
    pub condemned_at: u64,
    pub lifted: Option<(u32, u32)>,
    pub leaning: bool,
    pub looked: u64,
    /// The vote that stands, and the one that is out, with the time of its cast.
    pub stands: (u32, u32, Vote, u64),
    pub cast: Option<(u32, u32, Vote, u64)>,
    /// By route, then of all, before a trial: time to answer, work, answers.
    pub usual: Vec<Fading<3>>,
    /// Tries out, and room for them in all.
    pub held: f64,
    pub room: Room,
    /// Times to answer against the usual, and answers, in the own zone and in others.
    pub zones: [Fading<2>; 2],
    /// The best rank of late.
    pub best: f64,
    pub arrivals: Fading<1>,
    pub sends: Fading<1>,
    pub ask_at: u64,
    pub swept: u64,
    /// The next round that was asked for.
    pub wake_at: u64,
}

impl Balancer {
    /// An instance that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Self {
        let now = now.as_micros();
        Balancer {
            now,
            stalled: false,
            born: now,
            closes: u64::MAX,
            rng: Rand64::new(u128::from(seed)),
            machines: Vec::new(),
            names: BTreeMap::new(),
            kinds: Vec::new(),
            reqs: BTreeMap::new(),
            rollout: None,
            stirred: false,
            accepted: Past::default(),
            exposed: Past::default(),
            recount: None,
            keys: BTreeMap::new(),
            evidence: BTreeMap::new(),
            recalled: BTreeMap::new(),
            suspect: None,
            variances: [None; TESTS],
            calm: Arm::default(),
            fleet: 0,
            calm_sends: f64::INFINITY,
            calm_at: 0,
            condemned: None,
            condemned_at: 0,
            lifted: None,
            leaning: false,
            looked: now,
            stands: (0, 0, Vote::Abstain, now),
            cast: None,
            usual: vec![Fading::default(); settings.routes.len() + 1],
            held: 0.0,
            room: Room { tries: f64::INFINITY, ..Room::default() },
            zones: Default::default(),
            best: 0.0,
            arrivals: Fading::default(),
            sends: Fading::default(),
            ask_at: if settings.poll_endpoints { now } else { u64::MAX },
            swept: 0,
            wake_at: now,
            settings,
        }
    }

    /// State and load of an endpoint, if it is known.
    pub fn endpoint_status(&self, name: &str) -> Option<EndpointStatus> {
        let endpoint = &self.machines[self.find(name)?];
        Some(EndpointStatus {
            state: endpoint.standing,
            in_flight: endpoint.held,
            reported_load: endpoint.load.0,
        })
    }

    /// A complete endpoint list begins: what it does not name has gone.
    pub fn on_complete_endpoint_list(&mut self) {
        self.machines.iter_mut().for_each(|m| m.standing = EndpointState::Removed);
    }

    /// This front ends then: what is open must have its answer before, whatever time its client gives.
    pub fn begin_shutdown(&mut self, deadline: Timestamp) {
        let by = deadline.as_micros();
        self.closes = by;
        self.reqs.values_mut().for_each(|rq| (rq.due, rq.objective) = (rq.due.min(by), rq.objective.min(by)));
    }

    /// The answer to an attempt has begun to stream to the client.
    pub fn on_response_started(&mut self, id: u64, n: usize) {
        if let Some(t) = self.reqs.get_mut(&id).and_then(|rq| rq.tries.get_mut(n)) {
            (t.begun, t.stuck) = (true, false);
        }
    }

    /// The client waits for no answer any more.
    pub fn on_client_disconnected(&mut self, id: u64) {
        if let Some(rq) = self.reqs.get_mut(&id) {
            rq.over = true;
            self.forget(id);
        }
    }

    /// Drops less than half an outcome of evidence, keys that bind nothing any more, and the names of machines that
    /// are gone and that nothing speaks of: ids come and go for as long as a front lives.
    pub(crate) fn tidy(&mut self, fades: [f64; TESTS]) {
        for tallies in [&mut self.evidence, &mut self.recalled] {
            for t in tallies.values_mut() {
                t.read(self.now, fades);
            }
            tallies.retain(|_, t| t.all.iter().chain(&t.hits).any(|n| *n >= 0.5));
        }
        let here = self.machines.iter().filter(|m| m.standing != EndpointState::Removed);
        if let Some(oldest) = here.map(|m| m.build).min() {
            self.keys.retain(|_, build| *build > oldest);
        }
        let (reqs, evidence) = (&self.reqs, &self.evidence);
        let spoken_of = |i: usize| {
            let by = |rq: &Req| rq.suspect == Some(i) || rq.tries.iter().any(|t| t.machine == i);
            evidence.keys().chain(self.recalled.keys()).any(|(_, of)| *of == i) || reqs.values().any(by)
        };
        let over = |m: &Machine| m.standing == EndpointState::Removed && !m.probe_out && m.held <= 0.0;
        self.names.retain(|_, i| !over(&self.machines[*i]) || spoken_of(*i));
    }

    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Where the machine of this name is kept, known before or not; a new one takes the place of one whose name
    /// was dropped.
    pub(crate) fn place(&mut self, name: &str) -> usize {
        if let Some(i) = self.find(name) {
            return i;
        }
        let machine = Machine { name: name.into(), started: u64::MAX, ..Machine::default() };
        let left = |i: &usize| self.find(&self.machines[*i].name) != Some(*i);
        let i = (0..self.machines.len()).find(left).unwrap_or(self.machines.len());
        match self.machines.get_mut(i) {
            Some(left) => *left = machine,
            None => self.machines.push(machine),
        }
        self.names.insert(name.into(), i);
        i
    }

    pub(crate) fn kind(&mut self, name: &str) -> usize {
        self.kinds.iter().position(|k| k.name == name).unwrap_or_else(|| {
            self.kinds.push(Kind { name: name.into(), ..Kind::default() });
            self.kinds.len() - 1
        })
    }

    pub(crate) fn forget(&mut self, id: u64) {
        if self.reqs.get(&id).is_some_and(|rq| rq.over && !rq.tries.iter().any(|t| t.out)) {
            self.reqs.remove(&id);
        }
    }

    /// Machines in service of this build or later ones, and of earlier ones.
    pub(crate) fn serving(&self, newest: u32) -> [usize; 2] {
        let ready = self.machines.iter().filter(|m| m.standing == EndpointState::Ready && !m.aside);
        let new = ready.clone().filter(|m| m.build >= newest).count();
        [new, ready.count() - new]
    }

    /// Machines are in service, and all of them are set aside.
    pub(crate) fn deserted(&self) -> bool {
        let mut ready = self.machines.iter().filter(|m| m.standing == EndpointState::Ready).peekable();
        ready.peek().is_some() && ready.all(|m| m.aside)
    }

    /// A machine's own report, for it and for its kind.
    pub(crate) fn note_load(&mut self, i: usize, load: Option<LoadReport>, fade: f64) {
        let Some(x) = load.and_then(|l| l.in_flight.or(l.queued)) else { return };
        let (now, m) = (self.now, &mut self.machines[i]);
        m.load = (x, now);
        self.kinds[m.kind].load.add([x, 1.0], now, fade);
    }

    /// The part of its capacity that a machine has for certain.
    pub(crate) fn warmth(&self, started: u64) -> f64 {
        let age = self.now.saturating_sub(started) as f64 / whole_micros(self.settings.warm_up_time) as f64;
        if started == 0 {
            1.0
        } else {
            (self.settings.warm_up_start + (1.0 - self.settings.warm_up_start) * age).min(1.0)
        }
    }

    /// Seconds that a fading count stands for, of a front that has run at least this long.
    pub(crate) fn spell(&self, fade: f64, least: u64) -> f64 {
        let lived = (self.now - self.born).max(least) as f64;
        fade * (1.0 - (-lived / fade).exp()) / 1e6
    }

    /// One test's sums of the machines with the smallest shares; all start anew.
    pub(crate) fn drain(&mut self, test: usize, fades: [f64; TESTS], part: f64) -> Arm {
        let mut machines = Vec::new();
        for t in self.evidence.values_mut() {
            t.read(self.now, fades);
            machines.push([t.all[test], t.hits[test]]);
            (t.all[test], t.hits[test]) = (0.0, 0.0);
        }
        Arm::of_lower(machines, part)
    }
}
