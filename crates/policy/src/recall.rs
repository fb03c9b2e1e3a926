//! What a balancer remembers over a restart: out to a [`Recorder`], and in again as plain calls, already weighed by
//! age. Open reqs, exposure, credits of cold machines, room and votes are neither told nor taken: a front that
//! restarts has taken nothing yet, and may send no more than one that knows nothing.

use std::collections::BTreeMap;

use crate::decide::{Balancer, EVIDENCE_FADE, RATE_FADE, USUAL_FADE};
use crate::front::{Phase, Standing};
use crate::state::{Arm, Fading, TESTS, Tally};

/// A machine as it is listed, and what was learned of it.
pub struct Known<'a> {
    pub name: &'a str,
    pub place: (&'a str, u64, &'a str),
    pub build: u32,
    pub standing: Standing,
    pub started: u64,
    /// Times to answer against the route's usual, and answers.
    pub pace: [f64; 2],
    /// What it last reported to hold, and when.
    pub load: (f64, u64),
    pub aside: bool,
}

/// Takes what is to be remembered; sums are as of now.
pub trait Recorder {
    fn machine(&mut self, machine: Known);
    /// `usual`: times against the usual, reqs held with the one answered, answers.
    fn kind(&mut self, kind: &str, load: [f64; 2], pace: [f64; 2], usual: [f64; 3]);
    /// Of all routes where none is named: time to answer in microseconds, work, answers.
    fn route(&mut self, route: Option<&str>, usual: [f64; 3]);
    fn evidence(&mut self, machine: &str, build: u32, all: &[f64], hits: &[f64]);
    fn condemned(&mut self, build: u32, seen: u64);
    /// The fleet before the trial: outcomes and hits, machines, this front's tries a second.
    fn calm(&mut self, seen: u64, sums: [f64; 2], spread: [f64; 3], fleet: (usize, f64));
    fn zones(&mut self, paces: [[f64; 2]; 2]);
    fn key(&mut self, key: &str, build: u32);
    fn news(&mut self, build: u32, stage: u32, phase: Phase, cap: f64, since: u64);
}

/// For so long the fact that a build was condemned holds it on a restarted front, where it is on trial still.
pub const SUSPECT_FOR: u64 = 60_000_000;

impl Balancer {
    /// Machines from this number on, so many at most; the number to go on with, none after the last.
    pub fn remember_machines(&mut self, from: usize, most: usize, out: &mut dyn Recorder) -> Option<usize> {
        let (now, end) = (self.now, self.machines.len().min(from + most));
        for i in from..end {
            let pace = self.machines[i].pace.read(now, RATE_FADE);
            let m = &self.machines[i];
            if m.standing == Standing::Gone || self.find(&m.name) != Some(i) {
                continue;
            }
            out.machine(Known {
                name: &m.name,
                place: (&m.zone, m.cell, &self.kinds[m.kind].name),
                build: m.build,
                standing: m.standing,
                started: m.started,
                pace,
                load: m.load,
                aside: m.aside,
            });
        }
        (end < self.machines.len()).then_some(end)
    }

    /// All but machines and evidence.
    pub fn remember_rest(&mut self, out: &mut dyn Recorder) {
        let now = self.now;
        if let Some(n) = self.news {
            out.news(n.build, n.stage, n.phase, n.cap, n.since);
        }
        for (key, build) in &self.keys {
            out.key(key, *build);
        }
        let suspect = self.suspect.filter(|(_, until)| now < *until);
        let suspect = suspect.map(|(build, until)| (build, until - SUSPECT_FOR));
        if let Some((build, seen)) = self.condemned.map(|build| (build, self.condemned_at)).or(suspect) {
            out.condemned(build, seen);
        }
        for k in &mut self.kinds {
            let (load, pace) = (k.load.read(now, RATE_FADE), k.pace.read(now, RATE_FADE));
            out.kind(&k.name, load, pace, k.usual.read(now, USUAL_FADE));
        }
        for (r, usual) in self.usual.iter_mut().enumerate() {
            let name = self.set.routes.get(r).map(|route| route.name.as_str());
            out.route(name, usual.read(now, USUAL_FADE));
        }
        if self.calm.outcomes > 0.0 {
            let c = self.calm;
            out.calm(self.calm_at, [c.outcomes, c.hits], c.spread, (self.fleet, self.calm_sends));
        }
        out.zones(self.zones.each_mut().map(|z| z.read(now, RATE_FADE)));
    }

    /// Evidence from this build and machine on, so much at most; where to go on, none after the last.
    pub fn remember_evidence(
        &mut self,
        from: (u32, usize),
        most: usize,
        out: &mut dyn Recorder,
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
            out.evidence(&self.machines[*i].name, *build, &all, &hits);
        }
        keys.last().filter(|_| !whole).map(|(build, i)| (*build, i + 1))
    }

    /// A machine's pace, and whether it is set aside until probes say otherwise.
    pub fn recall_machine(&mut self, name: &str, pace: Option<[f64; 2]>, aside: bool) {
        let Some(i) = self.find(name) else { return };
        let (now, probes) = (self.now, self.set.probes);
        let m = &mut self.machines[i];
        if let Some(sums) = pace {
            m.pace = Fading { at: now, sums };
        }
        // Where nothing may be probed, nothing would bring it back.
        if aside && probes && m.standing == Standing::Ready {
            (m.aside, m.answered, m.probed, m.risked) = (true, 0, 0, self.now);
        }
    }

    pub fn recall_kind(
        &mut self,
        name: &str,
        load: Option<[f64; 2]>,
        pace: Option<[f64; 2]>,
        usual: Option<[f64; 3]>,
    ) {
        let (now, kind) = (self.now, self.kind(name));
        let k = &mut self.kinds[kind];
        load.into_iter().for_each(|sums| k.load = Fading { at: now, sums });
        pace.into_iter().for_each(|sums| k.pace = Fading { at: now, sums });
        usual.into_iter().for_each(|sums| k.usual = Fading { at: now, sums });
    }

    /// Of all routes where none is named.
    pub fn recall_route(&mut self, name: Option<&str>, sums: [f64; 3]) {
        let all = self.set.routes.len();
        let of = |name: &str| self.set.routes.iter().position(|r| r.name == name);
        if let Some(r) = name.map_or(Some(all), of) {
            self.usual[r] = Fading { at: self.now, sums };
        }
    }

    /// The fleet as it was before a trial that goes on.
    pub fn recall_calm(&mut self, seen: u64, sums: [f64; 2], spread: [f64; 3], fleet: (usize, f64)) {
        let [outcomes, hits] = sums;
        self.calm = Arm { outcomes, hits, spread };
        (self.calm_at, self.fleet, self.calm_sends) = (seen, fleet.0, fleet.1);
    }

    pub fn recall_zones(&mut self, paces: [[f64; 2]; 2]) {
        self.zones = paces.map(|sums| Fading { at: self.now, sums });
    }

    /// A key that goes no lower: where keys go one way, a front that has forgotten them would break the rule.
    pub fn recall_key(&mut self, key: &str, build: u32) {
        if self.set.one_way {
            self.keys.insert(key.into(), build);
        }
    }

    /// Outcomes of before the restart, by test; what they may do to a verdict is decided where verdicts are.
    pub fn recall_evidence(&mut self, machine: &str, build: u32, all: &[f64], hits: &[f64]) {
        let (Some(i), Ok(all), Ok(hits)) = (self.find(machine), all.try_into(), hits.try_into()) else {
            return;
        };
        if self.machines[i].build == build {
            self.recalled.insert((build, i), Tally { at: self.now, all, hits });
        }
    }

    /// A build that was condemned then.
    pub fn recall_condemned(&mut self, build: u32, seen: u64) {
        self.suspect = Some((build, seen.min(self.now) + SUSPECT_FOR));
    }
}
