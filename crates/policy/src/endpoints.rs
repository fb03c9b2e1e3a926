//! The table of endpoints and what is known of each.
//!
//! Owns: the listed state of each endpoint, this instance's attempts in flight there, its health,
//! its concurrency limit and its slow start. Bounded by [`Endpoints::forget_unreferenced`]: names
//! that are gone and that nothing refers to are dropped, and their slots are used again.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

use crate::concurrency::ConcurrencyLimit;
use crate::health::Health;
use crate::requests::Attempt;
use crate::settings::KeyScope;
use crate::statistics::DecayingSums;
use crate::types::{EndpointState, LoadReport, Timestamp};

/// The start of a process that no list has named yet: it differs from every other.
const NEVER_STARTED: Option<Timestamp> = Some(Timestamp::MAX);

/// Decay times of what is known of endpoints, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct DecayTimes {
    /// Of rates, loads and slowdowns.
    pub rates: f64,
    /// Of latency baselines.
    pub baselines: f64,
    /// Of the share of slow answers that concurrency limits follow.
    pub latency_ratios: f64,
}

/// What an endpoint last reported of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    /// Requests in flight there, from all instances.
    pub in_flight: f64,
    /// When it reported that.
    pub at: Timestamp,
}

/// This instance's share of what a warming endpoint can take.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Requests that this instance may send it now; whole ones count.
    pub earned: f64,
    /// When the credit was last brought up to date.
    pub credited_at: Timestamp,
}

impl SlowStart {
    /// Adds what has been earned since the last time, up to a maximum; the rate is in requests a
    /// microsecond.
    pub fn earn(&mut self, rate: f64, maximum: f64, now: Timestamp) {
        let gain = rate * now.micros_since(self.credited_at) as f64;
        self.earned = (self.earned + gain).min(maximum);
        self.credited_at = now;
    }
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// As the endpoint list names it.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// It is in another zone than this instance.
    pub in_other_zone: bool,
    /// Index of its hardware class.
    pub hardware_class: usize,
    /// Its cell within the zone.
    pub cell: u64,
    /// The build that it runs.
    pub build: u32,
    /// What the list says of it.
    pub state: EndpointState,
    /// When its process started; none where it has run for long.
    pub started_at: Option<Timestamp>,
    /// This instance's attempts in flight there.
    pub in_flight: f64,
    /// What it last reported of its load.
    pub reported_load: ReportedLoad,
    /// How many attempts may be in flight there.
    pub limit: ConcurrencyLimit,
    /// Times to answer against the route's baseline, and answers.
    pub slowdown: DecayingSums<2>,
    /// Whether it answers.
    pub health: Health,
    /// This instance's share of it while it warms up.
    pub slow_start: SlowStart,
}

impl Endpoint {
    fn new(name: &str, decay_times: DecayTimes) -> Self {
        Endpoint {
            name: name.into(),
            zone: String::new(),
            in_other_zone: false,
            hardware_class: 0,
            cell: 0,
            build: 0,
            state: EndpointState::Removed,
            started_at: NEVER_STARTED,
            in_flight: 0.0,
            reported_load: ReportedLoad::default(),
            limit: ConcurrencyLimit::new(0.0, decay_times),
            slowdown: DecayingSums::new(decay_times.rates),
            health: Health::default(),
            slow_start: SlowStart::default(),
        }
    }

    /// It takes new requests, as far as the list says.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// It takes new requests and is not ejected.
    pub fn in_service(&self) -> bool {
        self.is_ready() && !self.health.ejected
    }

    /// Microseconds since its process started; the longest time where it has run for long.
    pub fn age_micros(&self, now: Timestamp) -> u64 {
        self.started_at
            .map_or(u64::MAX, |started_at| now.micros_since(started_at))
    }

    /// It is ready, and the process that an attempt was chosen for still runs there.
    pub fn still_runs(&self, build: u32, started_at: Option<Timestamp>) -> bool {
        self.is_ready() && self.build == build && self.started_at == started_at
    }

    /// Nothing is held against it any more.
    pub fn return_to_service(&mut self, limit: f64, now: Timestamp, decay_times: DecayTimes) {
        self.health.ejected = false;
        self.health.last_response_at = now;
        self.health.consecutive_refusals = 0;
        self.slowdown.clear();
        self.limit = ConcurrencyLimit::new(limit, decay_times);
    }
}

/// Endpoints that are equally fast, as seen on all of them.
#[derive(Clone, Debug)]
pub struct HardwareClass {
    /// As the endpoint list names it.
    pub name: String,
    /// Requests that its warm endpoints answered, and the seconds that these stood ready.
    pub completions: DecayingSums<2>,
    /// Requests in flight that they reported, and reports.
    pub load: DecayingSums<2>,
    /// Times to answer against the route's baseline, and answers.
    pub slowdown: DecayingSums<2>,
    /// The same before a rollout: times against the baseline, requests in flight with the one
    /// answered, answers.
    pub baseline: DecayingSums<3>,
}

/// All endpoints and hardware classes, by index and by name.
#[derive(Debug)]
pub struct Endpoints {
    slots: Vec<Endpoint>,
    by_name: BTreeMap<String, usize>,
    /// The hardware classes, by index.
    pub classes: Vec<HardwareClass>,
    decay_times: DecayTimes,
}

impl Endpoints {
    /// An empty table.
    pub fn new(decay_times: DecayTimes) -> Self {
        Endpoints {
            slots: Vec::new(),
            by_name: BTreeMap::new(),
            classes: Vec::new(),
            decay_times,
        }
    }

    /// Decay times of all that the table holds.
    pub fn decay_times(&self) -> DecayTimes {
        self.decay_times
    }

    /// Number of slots, of which some may be free.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Number of names that are known.
    pub fn named_len(&self) -> usize {
        self.by_name.len()
    }

    /// There is no slot.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// All slots in their order, those that are free for another endpoint included.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.iter()
    }

    /// The same, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.slots.iter_mut()
    }

    /// Index of the endpoint of this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Whether this slot still belongs to the name that it carries.
    pub fn is_named(&self, index: usize) -> bool {
        self.find(&self.slots[index].name) == Some(index)
    }

    /// Place of a name among all names, in their order.
    pub fn rank(&self, name: &str) -> usize {
        self.by_name.range(..name.to_string()).count()
    }

    /// Index of the endpoint of this name, known before or not; a new one takes the first slot that
    /// is free.
    pub fn find_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.find(name) {
            return index;
        }
        let endpoint = Endpoint::new(name, self.decay_times);
        let free = (0..self.slots.len()).find(|index| !self.is_named(*index));
        let index = free.unwrap_or(self.slots.len());
        match self.slots.get_mut(index) {
            Some(slot) => *slot = endpoint,
            None => self.slots.push(endpoint),
        }
        self.by_name.insert(name.into(), index);
        index
    }

    /// Index of the hardware class of this name, known before or not.
    pub fn find_or_insert_class(&mut self, name: &str) -> usize {
        let position = self.classes.iter().position(|class| class.name == name);
        position.unwrap_or_else(|| {
            let DecayTimes {
                rates, baselines, ..
            } = self.decay_times;
            self.classes.push(HardwareClass {
                name: name.into(),
                completions: DecayingSums::new(rates),
                load: DecayingSums::new(rates),
                slowdown: DecayingSums::new(rates),
                baseline: DecayingSums::new(baselines),
            });
            self.classes.len() - 1
        })
    }

    /// The hardware class of an endpoint.
    pub fn class_of(&mut self, index: usize) -> &mut HardwareClass {
        &mut self.classes[self.slots[index].hardware_class]
    }

    /// Indexes of all endpoints that take new requests, as far as the list says.
    pub fn ready(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|index| self.slots[*index].is_ready())
            .collect()
    }

    /// Endpoints in service of this build or later ones, and of earlier ones.
    pub fn in_service(&self, newest: u32) -> InService {
        let in_service = self.slots.iter().filter(|endpoint| endpoint.in_service());
        let candidate = in_service
            .clone()
            .filter(|endpoint| endpoint.build >= newest)
            .count();
        InService {
            candidate,
            baseline: in_service.count() - candidate,
        }
    }

    /// Endpoints are ready, and all of them are ejected.
    pub fn all_ejected(&self) -> bool {
        let mut ready = self
            .slots
            .iter()
            .filter(|endpoint| endpoint.is_ready())
            .peekable();
        ready.peek().is_some() && ready.all(|endpoint| endpoint.health.ejected)
    }

    /// Takes an endpoint's report of its load, for it and for its class.
    pub fn record_load(&mut self, index: usize, report: Option<LoadReport>, now: Timestamp) {
        let Some(in_flight) = report.and_then(|report| report.in_flight.or(report.queued)) else {
            return;
        };
        self.slots[index].reported_load = ReportedLoad { in_flight, at: now };
        self.class_of(index).load.add([in_flight, 1.0], now);
    }

    /// Load of an endpoint, and the mean of its class, which stands in for a report of long ago.
    pub fn load(&mut self, index: usize, now: Timestamp, report_decay_time: f64) -> EndpointLoad {
        let [sum, count] = self.class_of(index).load.read(now);
        let class_mean = sum / count.max(1e-9);
        let endpoint = &self.slots[index];
        let age = now.micros_since(endpoint.reported_load.at) as f64;
        let freshness = (-age / report_decay_time).exp();
        let reported = class_mean + (endpoint.reported_load.in_flight - class_mean) * freshness;
        EndpointLoad {
            in_flight: reported.max(endpoint.in_flight),
            class_mean,
        }
    }

    /// What takes `micros` at the baseline, by class; each has so many answers at the baseline to
    /// start with.
    pub fn expected_by_class(&mut self, micros: f64, prior: f64, now: Timestamp) -> Vec<f64> {
        let classes = self.classes.iter_mut();
        classes
            .map(|class| {
                let [sum, answers] = class.slowdown.read(now);
                micros * (sum + prior) / (answers + prior)
            })
            .collect()
    }

    /// Slowdown of an endpoint, with so many answers at its class's slowdown to start with, which
    /// has as many at the baseline.
    pub fn slowdown(&mut self, index: usize, prior: f64, now: Timestamp) -> f64 {
        let [of_class, answers] = self.class_of(index).slowdown.read(now);
        let of_class = (of_class + prior) / (answers + prior);
        let [own, answers] = self.slots[index].slowdown.read(now);
        (own + prior * of_class) / (answers + prior)
    }

    /// Whether an endpoint knows the idempotency keys that an attempt brought to another. One
    /// listed anew since, whenever it started, may have come back in another group.
    pub fn shares_keys(&self, scope: KeyScope, attempt: &Attempt, endpoint: &Endpoint) -> bool {
        let first = &self.slots[attempt.endpoint];
        let same_process = first.started_at == attempt.process_started_at;
        match scope {
            KeyScope::Fleet => true,
            KeyScope::Zone => first.zone == endpoint.zone && same_process,
            KeyScope::Cell => first.cell == endpoint.cell && same_process,
        }
    }

    /// Drops the names of endpoints that are gone, hold nothing and are not referred to.
    pub fn forget_unreferenced(&mut self, is_referenced: impl Fn(usize) -> bool) {
        let slots = &self.slots;
        let is_gone = |index: usize| {
            let endpoint = &slots[index];
            endpoint.state == EndpointState::Removed
                && !endpoint.health.check_in_flight
                && endpoint.in_flight <= 0.0
        };
        self.by_name
            .retain(|_, index| !is_gone(*index) || is_referenced(*index));
    }
}

impl Index<usize> for Endpoints {
    type Output = Endpoint;
    fn index(&self, index: usize) -> &Endpoint {
        &self.slots[index]
    }
}

impl IndexMut<usize> for Endpoints {
    fn index_mut(&mut self, index: usize) -> &mut Endpoint {
        &mut self.slots[index]
    }
}

/// Endpoints in service by side of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InService {
    /// Of the newest build and later ones.
    pub candidate: usize,
    /// Of earlier builds.
    pub baseline: usize,
}

impl InService {
    /// Of all builds.
    pub fn total(self) -> usize {
        self.candidate + self.baseline
    }
}

/// Requests that an endpoint works on.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLoad {
    /// As it reported of late, and at least this instance's own.
    pub in_flight: f64,
    /// Of one endpoint of its class on average.
    pub class_mean: f64,
}
