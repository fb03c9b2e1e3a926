//! Keeps what the module remembers: gathers it in slices between turns, and leaves encoding and writing to a thread
//! of its own, for a disk may stall.

use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Logger, debug, info, warn};
use tidescale_policy::decide::Balancer;
use tidescale_policy::front::{Phase, Standing};
use tidescale_policy::recall::{Known, Recorder};
use tidescale_snapshot::disk::Folder;
use tidescale_snapshot::expiry::{self, Listed};
use tidescale_snapshot::format::Image;
use tidescale_snapshot::rate_limit::Schedule;
use tidescale_snapshot::records::*;
use tidescale_snapshot::store::Store;

use crate::operators::Memory;
use crate::upstream::Upstream;

/// Machines, or machines' evidence, in a slice.
const SLICE: usize = 64;
const PRIORITY: u8 = 1;

/// What is known beside the module: where machines listen, and when the list was last heard.
pub struct Beside<'a> {
    pub upstream: &'a Upstream,
    pub list: (u64, u64),
}

impl Beside<'_> {
    fn process(&self, id: &str) -> Option<Process> {
        let (addr, build, started) = self.upstream.listed(id)?;
        Some(Process { id: id.into(), addr: addr.to_string(), build, started })
    }
}

/// Facts as they are told.
struct Gathered<'a> {
    now: u64,
    beside: &'a Beside<'a>,
    facts: &'a mut Vec<Fact>,
}

impl Recorder for Gathered<'_> {
    fn machine(&mut self, m: Known) {
        let Some(process) = self.beside.process(m.name) else { return };
        let (seen, kind) = (self.now, m.place.2.to_string());
        let (version, heard) = self.beside.list;
        self.facts.push(Fact::Listed(ListedFact {
            seen: heard,
            version,
            process: process.clone(),
            zone: m.place.0.into(),
            kind: kind.clone(),
            cell: m.place.1,
            state: if m.standing == Standing::Ready { "active" } else { "leaving" }.into(),
        }));
        let (pace, load, aside) = (m.pace, m.load, m.aside);
        self.facts.push(Fact::Machine(MachineFact { seen, process, kind, pace, load, aside }));
    }
    fn kind(&mut self, kind: &str, load: [f64; 2], pace: [f64; 2], usual: [f64; 3]) {
        self.facts.push(Fact::Kind(KindFact { seen: self.now, kind: kind.into(), load, pace, usual }));
    }
    fn route(&mut self, route: Option<&str>, usual: [f64; 3]) {
        let route = route.unwrap_or_default().into();
        self.facts.push(Fact::Route(RouteFact { seen: self.now, route, usual }));
    }
    fn evidence(&mut self, machine: &str, build: u32, all: &[f64], hits: &[f64]) {
        if let Some(process) = self.beside.process(machine) {
            let (seen, all, hits) = (self.now, all.into(), hits.into());
            self.facts.push(Fact::Evidence(EvidenceFact { seen, process, build, all, hits }));
        }
    }
    fn condemned(&mut self, build: u32, seen: u64) {
        self.facts.push(Fact::Condemned(CondemnedFact { seen, build }));
    }
    fn calm(&mut self, seen: u64, [outcomes, hits]: [f64; 2], spread: [f64; 3], fleet: (usize, f64)) {
        let (machines, sends) = fleet;
        self.facts.push(Fact::Calm(CalmFact { seen, outcomes, hits, spread, machines, sends }));
    }
    fn zones(&mut self, paces: [[f64; 2]; 2]) {
        self.facts.push(Fact::Zones(ZonesFact { seen: self.now, paces }));
    }
    fn key(&mut self, key: &str, build: u32) {
        self.facts.push(Fact::Key(KeyFact { seen: self.now, key: key.into(), build }));
    }
    fn news(&mut self, build: u32, stage: u32, phase: Phase, cap: f64, since: u64) {
        let phase = format!("{phase:?}").to_lowercase();
        self.facts.push(Fact::News(NewsFact { seen: self.now, build, stage, phase, cap, since }));
    }
}

/// Tells the module what of the image still counts; how many facts did.
pub fn recall(image: &Image, beside: &Beside, now: u64, to: &mut Balancer) -> usize {
    let standing = |p: &Process| expiry::listed(p, beside.process(&p.id).as_ref());
    // The calm before a trial is of use while that trial goes on, and no longer.
    let trial = |n: &NewsFact| {
        to.news.is_some_and(|told| told.build == n.build && told.phase == Phase::Trial) && n.phase == "trial"
    };
    let goes_on = image.facts.iter().any(|f| matches!(f, Fact::News(n) if trial(n)));
    let mut counted = 0;
    for fact in &image.facts {
        let weight = expiry::weight(fact, now);
        let told = match fact {
            Fact::Machine(f) => expiry::machine(f, now, standing(&f.process))
                .map(|m| to.recall_machine(&f.process.id, m.pace, m.aside)),
            Fact::Kind(f) => {
                let k = expiry::kind(f, now);
                (weight > 0.0).then(|| to.recall_kind(&f.kind, k.load, k.pace, k.usual))
            }
            Fact::Route(f) => {
                let name = Some(f.route.as_str()).filter(|r| !r.is_empty());
                expiry::route(f, now).map(|usual| to.recall_route(name, usual))
            }
            Fact::Evidence(f) => expiry::evidence(f, now, standing(&f.process))
                .map(|(all, hits)| to.recall_evidence(&f.process.id, f.build, &all, &hits)),
            Fact::Condemned(f) => (weight > 0.0).then(|| to.recall_condemned(f.build, f.seen)),
            Fact::Calm(f) => (weight > 0.0 && goes_on).then(|| {
                let fleet = (f.machines, f.sends);
                to.recall_calm(f.seen.min(now), [weight * f.outcomes, weight * f.hits], f.spread, fleet);
            }),
            Fact::Zones(f) => (weight > 0.0).then(|| to.recall_zones(f.paces.map(|p| p.map(|x| x * weight)))),
            Fact::Key(f) => (weight > 0.0).then(|| to.recall_key(&f.key, f.build)),
            // Kept for starts without discovery.
            Fact::Listed(_) | Fact::News(_) => None,
        };
        counted += usize::from(told.is_some());
    }
    counted
}

/// A state on its way to the thread that writes.
type Parcel = (u64, Vec<Fact>);

/// Where gathering goes on.
#[derive(Clone, Copy)]
enum Cursor {
    Machines(usize),
    Evidence((u32, usize)),
    Rest,
}

pub struct Keeper {
    schedule: Schedule,
    job: usize,
    facts: Vec<Fact>,
    cursor: Cursor,
    parcels: SyncSender<Parcel>,
    done: Receiver<io::Result<usize>>,
    /// Parcels that have no answer yet.
    out: usize,
    stop_within: Duration,
    /// The longest that a slice has kept the loop.
    longest: Duration,
    log: Logger,
}

impl Keeper {
    /// What the folder holds, and what keeps it from now on; none where it can't be held.
    pub fn open(set: &Memory, now: u64, log: Logger) -> Option<(Keeper, Option<Image>)> {
        let folder = match Folder::hold(&set.folder) {
            Ok(folder) => folder,
            Err(why) => {
                warn!(log, "memory is off"; "folder" => %set.folder.display(), "why" => %why);
                return None;
            }
        };
        let (mut store, opened) = Store::open(folder);
        for note in &opened.notes {
            warn!(log, "memory set aside"; "what" => note);
        }
        let (parcels, taken) = sync_channel::<Parcel>(1);
        let (tell, done) = sync_channel(2);
        let write = move || {
            for (written, facts) in taken {
                if tell.send(store.save(written, facts)).is_err() {
                    return;
                }
            }
        };
        if let Err(e) = thread::Builder::new().name("memory".into()).spawn(write) {
            warn!(log, "memory is off"; "why" => %e);
            return None;
        }
        let mut schedule = Schedule::new(set.time_a_second as f64, set.bytes_a_second as f64, now);
        let job = schedule.add(PRIORITY, now + set.every, set.every);
        let stop_within = Duration::from_micros(set.stop_within);
        let (facts, cursor, out, longest) = (Vec::new(), Cursor::Machines(0), 0, Duration::ZERO);
        Some((
            Keeper { schedule, job, facts, cursor, parcels, done, out, stop_within, longest, log },
            opened.image,
        ))
    }

    /// Some machines, or all the rest; whether all is gathered.
    fn gather(&mut self, most: usize, beside: &Beside, now: u64, from: &mut Balancer) -> bool {
        let mut to = Gathered { now, beside, facts: &mut self.facts };
        match self.cursor {
            Cursor::Machines(at) => {
                let next = from.remember_machines(at, most, &mut to);
                self.cursor = next.map_or(Cursor::Evidence((0, 0)), Cursor::Machines);
            }
            Cursor::Evidence(at) => {
                let next = from.remember_evidence(at, most, &mut to);
                self.cursor = next.map_or(Cursor::Rest, Cursor::Evidence);
            }
            Cursor::Rest => {
                from.remember_rest(&mut to);
                self.cursor = Cursor::Machines(0);
                // What must not be cut off where the whole would be too long comes first.
                self.facts.reverse();
                return true;
            }
        }
        false
    }

    fn answered(&mut self, done: io::Result<usize>, now: u64) {
        self.out -= 1;
        match done {
            Ok(bytes) => {
                debug!(self.log, "memory written"; "bytes" => bytes);
                self.schedule.spent(0, bytes, now);
            }
            Err(e) => warn!(self.log, "memory not written"; "why" => %e),
        }
    }

    /// One slice, where it is time for one.
    pub fn slice(&mut self, beside: &Beside, now: u64, from: &mut Balancer) {
        while let Ok(done) = self.done.try_recv() {
            self.answered(done, now);
        }
        if self.schedule.next(now).is_none() {
            return;
        }
        let begun = Instant::now();
        if self.gather(SLICE, beside, now, from) {
            self.hand_over(now);
            self.schedule.ended(self.job, now);
        }
        let took = begun.elapsed();
        self.longest = self.longest.max(took);
        self.schedule.spent(took.as_micros() as u64, 0, now);
    }

    /// A thread that still writes an earlier state takes none: a disk that stalls must not fill the memory.
    fn hand_over(&mut self, now: u64) {
        match self.parcels.try_send((now, std::mem::take(&mut self.facts))) {
            Ok(()) => self.out += 1,
            Err(TrySendError::Full(_)) => warn!(self.log, "memory not written"; "why" => "the disk is slow"),
            Err(TrySendError::Disconnected(_)) => warn!(self.log, "memory not written"; "why" => "no thread"),
        }
    }

    pub fn wake_at(&mut self, now: u64) -> Option<u64> {
        self.schedule.wake_at(now)
    }

    /// The last state, once everything is answered, and no longer than told.
    pub fn finish(&mut self, beside: &Beside, now: u64, from: &mut Balancer) {
        let by = Instant::now() + self.stop_within;
        self.facts.clear();
        self.cursor = Cursor::Machines(0);
        while !self.gather(SLICE, beside, now, from) {}
        let rest = || by.saturating_duration_since(Instant::now());
        if self.out > 0
            && let Ok(done) = self.done.recv_timeout(rest())
        {
            self.answered(done, now);
        }
        self.hand_over(now);
        while self.out > 0 {
            match self.done.recv_timeout(rest()) {
                Ok(done) => self.answered(done, now),
                Err(_) => return warn!(self.log, "memory not written in time at the end"),
            }
        }
        let longest = self.longest.as_micros() as u64;
        info!(self.log, "memory written at the end"; "longest_slice_us" => longest);
    }
}

/// Ids and processes of a list, for a look at a file without a front.
pub fn processes(image: &Image) -> BTreeMap<&str, &Process> {
    let mut listed = BTreeMap::new();
    for fact in &image.facts {
        if let Fact::Listed(l) = fact {
            listed.insert(l.process.id.as_str(), &l.process);
        }
    }
    listed
}

/// Whether a fact's process is the one that the kept list names.
pub fn stands(fact: &Fact, listed: &BTreeMap<&str, &Process>) -> Option<Listed> {
    match fact {
        Fact::Machine(MachineFact { process, .. }) | Fact::Evidence(EvidenceFact { process, .. }) => {
            Some(expiry::listed(process, listed.get(process.id.as_str()).copied()))
        }
        _ => None,
    }
}
