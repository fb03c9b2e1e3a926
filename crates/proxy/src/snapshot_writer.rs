//! Keeps what the module remembers: gathers it in slices between turns, and leaves encoding and writing to a thread
//! of its own, for a disk may stall.

use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Logger, debug, info, warn};
use tidescale_policy::Balancer;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteRecord, SnapshotSink,
};
use tidescale_policy::types::{EndpointState, RolloutPhase, Timestamp, whole_micros};
use tidescale_snapshot::disk::Folder;
use tidescale_snapshot::expiry::{self, Listed};
use tidescale_snapshot::format::Image;
use tidescale_snapshot::rate_limit::Schedule;
use tidescale_snapshot::records::*;
use tidescale_snapshot::store::Store;

use crate::operators::SnapshotSettings;
use crate::upstream::Upstream;

/// Machines, or machines' evidence, in a slice.
const SLICE: usize = 64;
const PRIORITY: u8 = 1;

/// What is known beside the module: where machines listen, and when the list was last heard.
pub struct EndpointDirectory<'a> {
    /// The endpoints' processes.
    pub upstream: &'a Upstream,
    /// Version of the endpoint list.
    pub list_version: u64,
    /// When discovery last confirmed it.
    pub list_confirmed_at: Timestamp,
}

impl EndpointDirectory<'_> {
    fn process(&self, id: &str) -> Option<Process> {
        let identity = self.upstream.process_of(id)?;
        let started = identity.started_at.map_or(0, Timestamp::as_micros);
        Some(Process {
            id: id.into(),
            addr: identity.address.to_string(),
            build: identity.build,
            started,
        })
    }
}

/// Facts as they are told.
struct Gathered<'a> {
    now: u64,
    directory: &'a EndpointDirectory<'a>,
    facts: &'a mut Vec<Fact>,
}

impl SnapshotSink for Gathered<'_> {
    fn endpoint(&mut self, record: EndpointRecord<'_>) {
        let Some(process) = self.directory.process(record.name) else {
            return;
        };
        let (seen, kind) = (self.now, record.hardware_class.to_string());
        self.facts.push(Fact::Listed(ListedFact {
            seen: self.directory.list_confirmed_at.as_micros(),
            version: self.directory.list_version,
            process: process.clone(),
            zone: record.zone.into(),
            kind: kind.clone(),
            cell: record.cell,
            state: if record.state == EndpointState::Ready {
                "active"
            } else {
                "leaving"
            }
            .into(),
        }));
        let load = (record.reported_load, record.reported_at.as_micros());
        let (pace, aside) = (record.slowdown, record.ejected);
        self.facts.push(Fact::Machine(MachineFact {
            seen,
            process,
            kind,
            pace,
            load,
            aside,
        }));
    }
    fn hardware_class(&mut self, record: HardwareClassRecord<'_>) {
        let load = record.load.unwrap_or_default();
        let pace = record.slowdown.unwrap_or_default();
        let usual = record.baseline.unwrap_or_default();
        self.facts.push(Fact::Kind(KindFact {
            seen: self.now,
            kind: record.name.into(),
            load,
            pace,
            usual,
        }));
    }
    fn route(&mut self, record: RouteRecord<'_>) {
        let route = record.route.unwrap_or_default().into();
        self.facts.push(Fact::Route(RouteFact {
            seen: self.now,
            route,
            usual: record.baseline,
        }));
    }
    fn outcomes(&mut self, record: OutcomeRecord<'_>) {
        if let Some(process) = self.directory.process(record.endpoint) {
            let (all, hits) = (record.outcomes.into(), record.failures.into());
            self.facts.push(Fact::Evidence(EvidenceFact {
                seen: self.now,
                process,
                build: record.build,
                all,
                hits,
            }));
        }
    }
    fn rejected_build(&mut self, build: u32, rejected_at: Timestamp) {
        self.facts.push(Fact::Condemned(CondemnedFact {
            seen: rejected_at.as_micros(),
            build,
        }));
    }
    fn fleet_baseline(&mut self, record: FleetBaselineRecord) {
        self.facts.push(Fact::Calm(CalmFact {
            seen: record.taken_at.as_micros(),
            outcomes: record.outcomes,
            hits: record.failures,
            spread: record.spread,
            machines: record.endpoints,
            sends: record.attempts_per_second,
        }));
    }
    fn zones(&mut self, slowdowns: [[f64; 2]; 2]) {
        self.facts.push(Fact::Zones(ZonesFact {
            seen: self.now,
            paces: slowdowns,
        }));
    }
    fn key_build(&mut self, key: &str, build: u32) {
        self.facts.push(Fact::Key(KeyFact {
            seen: self.now,
            key: key.into(),
            build,
        }));
    }
    fn rollout(&mut self, record: RolloutRecord) {
        let phase = match record.phase {
            RolloutPhase::Canary => CANARY,
            RolloutPhase::RollingBack => "goingback",
            RolloutPhase::Released => "released",
            RolloutPhase::Withdrawn => "withdrawn",
        };
        self.facts.push(Fact::News(NewsFact {
            seen: self.now,
            build: record.build,
            stage: record.stage,
            phase: phase.into(),
            cap: record.traffic_cap,
            since: record.since.as_micros(),
        }));
    }
}

/// How the file names the phase of a build under evaluation.
const CANARY: &str = "trial";

/// Tells the module what of the image still counts; how many facts did.
pub fn restore(
    image: &Image,
    directory: &EndpointDirectory,
    now: Timestamp,
    policy: &mut Balancer,
) -> usize {
    let now = now.as_micros();
    let standing = |p: &Process| expiry::listed(p, directory.process(&p.id).as_ref());
    // The calm before a trial is of use while that trial goes on, and no longer.
    let trial = |n: &NewsFact| {
        policy
            .rollout
            .is_some_and(|told| told.build == n.build && told.phase == RolloutPhase::Canary)
            && n.phase == CANARY
    };
    let goes_on = image
        .facts
        .iter()
        .any(|f| matches!(f, Fact::News(n) if trial(n)));
    let mut counted = 0;
    for fact in &image.facts {
        let weight = expiry::weight(fact, now);
        let told = match fact {
            Fact::Machine(f) => expiry::machine(f, now, standing(&f.process))
                .map(|m| policy.restore_endpoint(&f.process.id, m.pace, m.aside)),
            Fact::Kind(f) => {
                let k = expiry::kind(f, now);
                (weight > 0.0).then(|| {
                    policy.restore_hardware_class(HardwareClassRecord {
                        name: &f.kind,
                        load: k.load,
                        slowdown: k.pace,
                        baseline: k.usual,
                    })
                })
            }
            Fact::Route(f) => {
                let name = Some(f.route.as_str()).filter(|r| !r.is_empty());
                expiry::route(f, now).map(|usual| {
                    policy.restore_route(RouteRecord {
                        route: name,
                        baseline: usual,
                    })
                })
            }
            Fact::Evidence(f) => {
                expiry::evidence(f, now, standing(&f.process)).map(|(all, hits)| {
                    policy.restore_outcomes(OutcomeRecord {
                        endpoint: &f.process.id,
                        build: f.build,
                        outcomes: &all,
                        failures: &hits,
                    })
                })
            }
            Fact::Condemned(f) => (weight > 0.0)
                .then(|| policy.restore_rejected_build(f.build, Timestamp::from_micros(f.seen))),
            Fact::Calm(f) => (weight > 0.0 && goes_on).then(|| {
                policy.restore_fleet_baseline(FleetBaselineRecord {
                    taken_at: Timestamp::from_micros(f.seen.min(now)),
                    outcomes: weight * f.outcomes,
                    failures: weight * f.hits,
                    spread: f.spread,
                    endpoints: f.machines,
                    attempts_per_second: f.sends,
                });
            }),
            Fact::Zones(f) => {
                (weight > 0.0).then(|| policy.restore_zones(f.paces.map(|p| p.map(|x| x * weight))))
            }
            Fact::Key(f) => (weight > 0.0).then(|| policy.restore_key_build(&f.key, f.build)),
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

pub struct SnapshotWriter {
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

impl SnapshotWriter {
    /// What the folder holds, and what keeps it from now on; none where it can't be held.
    pub fn open(
        set: &SnapshotSettings,
        now: Timestamp,
        log: Logger,
    ) -> Option<(SnapshotWriter, Option<Image>)> {
        let now = now.as_micros();
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
        let mut schedule = Schedule::new(
            whole_micros(set.loop_time_per_second) as f64,
            set.bytes_per_second.as_u64() as f64,
            now,
        );
        let every = whole_micros(set.write_interval);
        let job = schedule.add(PRIORITY, now + every, every);
        let stop_within = set.final_write_timeout;
        let (facts, cursor, out, longest) = (Vec::new(), Cursor::Machines(0), 0, Duration::ZERO);
        Some((
            SnapshotWriter {
                schedule,
                job,
                facts,
                cursor,
                parcels,
                done,
                out,
                stop_within,
                longest,
                log,
            },
            opened.image,
        ))
    }

    /// Some machines, or all the rest; whether all is gathered.
    fn gather(
        &mut self,
        most: usize,
        directory: &EndpointDirectory,
        now: u64,
        from: &mut Balancer,
    ) -> bool {
        let mut gathered = Gathered {
            now,
            directory,
            facts: &mut self.facts,
        };
        match self.cursor {
            Cursor::Machines(at) => {
                let next = from.save_endpoints(at, most, &mut gathered);
                self.cursor = next.map_or(Cursor::Evidence((0, 0)), Cursor::Machines);
            }
            Cursor::Evidence(at) => {
                let next = from.save_outcomes(at, most, &mut gathered);
                self.cursor = next.map_or(Cursor::Rest, Cursor::Evidence);
            }
            Cursor::Rest => {
                from.save_rest(&mut gathered);
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
    pub fn run_slice(
        &mut self,
        directory: &EndpointDirectory,
        now: Timestamp,
        from: &mut Balancer,
    ) {
        let now = now.as_micros();
        while let Ok(done) = self.done.try_recv() {
            self.answered(done, now);
        }
        if self.schedule.next(now).is_none() {
            return;
        }
        let begun = Instant::now();
        if self.gather(SLICE, directory, now, from) {
            self.hand_over(now);
            self.schedule.ended(self.job, now);
        }
        let took = begun.elapsed();
        self.longest = self.longest.max(took);
        self.schedule.spent(took.as_micros() as u64, 0, now);
    }

    /// A thread that still writes an earlier state takes none: a disk that stalls must not fill the memory.
    fn hand_over(&mut self, now: u64) {
        match self
            .parcels
            .try_send((now, std::mem::take(&mut self.facts)))
        {
            Ok(()) => self.out += 1,
            Err(TrySendError::Full(_)) => {
                warn!(self.log, "memory not written"; "why" => "the disk is slow")
            }
            Err(TrySendError::Disconnected(_)) => {
                warn!(self.log, "memory not written"; "why" => "no thread")
            }
        }
    }

    pub fn next_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        let now = now.as_micros();
        self.schedule.wake_at(now).map(Timestamp::from_micros)
    }

    /// The last state, once everything is answered, and no longer than told.
    pub fn write_final(
        &mut self,
        directory: &EndpointDirectory,
        now: Timestamp,
        from: &mut Balancer,
    ) {
        let now = now.as_micros();
        let by = Instant::now() + self.stop_within;
        self.facts.clear();
        self.cursor = Cursor::Machines(0);
        while !self.gather(SLICE, directory, now, from) {}
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
        Fact::Machine(MachineFact { process, .. })
        | Fact::Evidence(EvidenceFact { process, .. }) => Some(expiry::listed(
            process,
            listed.get(process.id.as_str()).copied(),
        )),
        _ => None,
    }
}
