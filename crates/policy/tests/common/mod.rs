//! A balancer with a clock, fed by plain calls, and a record of what it wrote.

use tidescale_policy::decide::Balancer;
use tidescale_policy::front::*;

pub const MS: u64 = 1_000;

/// What was written, a line each: `try 7 m1`, `shed 7`, `error 7`, `vote 2 0 Back`, ...
#[derive(Default)]
pub struct Record(pub Vec<String>);

impl Writer for Record {
    fn upstream_try(&mut self, rq: u64, machine: &str, _until: u64) {
        self.0.push(format!("try {rq} {machine}"));
    }
    fn cancel_try(&mut self, rq: u64, n: usize) {
        self.0.push(format!("cancel {rq} {n}"));
    }
    fn shed(&mut self, rq: u64, _come_back: u64) {
        self.0.push(format!("shed {rq}"));
    }
    fn error(&mut self, rq: u64) {
        self.0.push(format!("error {rq}"));
    }
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        self.0.push(format!("vote {build} {stage} {verdict:?}"));
    }
    fn probe(&mut self, machine: &str, _until: u64) {
        self.0.push(format!("probe {machine}"));
    }
    fn watch_list(&mut self) {
        self.0.push("watch".into());
    }
    fn wake(&mut self, _after: u64) {}
    fn found(&mut self, _finding: &Finding) {}
}

struct Calls<F>(Option<F>);

impl<F: FnOnce(&mut Balancer)> Inbox for Calls<F> {
    fn replay(&mut self, to: &mut Balancer) {
        if let Some(calls) = self.0.take() {
            calls(to);
        }
    }
}

pub struct Bench {
    pub now: u64,
    pub module: Balancer,
}

pub fn settings() -> Settings {
    let route = |name: &str, repeat| Route { name: name.into(), objective: 500 * MS, earnings: 1.0, repeat };
    Settings {
        me: 0,
        fronts: 1,
        zone: "z1".into(),
        routes: vec![
            route("look", Repeat::Retriable),
            route("hold", Repeat::Deduped { scope: Scope::Zone, window: 300 * MS }),
            route("pay", Repeat::NonRetriable),
        ],
        ask_list: false,
        must_ask_in: 10_000 * MS,
        cross_zone_price: 0.0,
        probes: true,
        cancel: true,
        second_copies: true,
        max_tries: 3,
        max_come_back: 0,
        grace: 500 * MS,
        cold_from: 0.3,
        cold_for: 4000 * MS,
        fall_multiple: 2.0,
        fall_for: 1500 * MS,
        stage_caps: vec![0.1, 0.5, 1.0],
        free: 2.0,
        exposure_window: 4000 * MS,
        by_route: false,
        guarded_stages: 1,
        one_way: false,
        timed: true,
        min_dwell: 1000 * MS,
        back_votes: 1,
        votes_per_s: 100.0,
        vote_life: 5000 * MS,
        vote_wait: 1000 * MS,
    }
}

impl Bench {
    pub fn new(set: Settings) -> Self {
        Bench { now: 100_000 * MS, module: Balancer::new(set, 1, 100_000 * MS) }
    }
    /// One round after `pass` microseconds, with these calls as its news.
    pub fn round(&mut self, pass: u64, calls: impl FnOnce(&mut Balancer)) -> Vec<String> {
        self.now += pass;
        let mut out = Record::default();
        self.module.round(self.now, &mut Calls(Some(calls)), &mut out);
        out.0
    }
}

/// A ready machine that has run for long.
pub fn warm(to: &mut Balancer, name: &str, zone: &str, build: u32) {
    to.machine(name, (zone, 0, "k"), build, Standing::Ready, 0);
}

pub fn count(lines: &[String], start: &str) -> usize {
    lines.iter().filter(|l| l.starts_with(start)).count()
}
