//! What a balancer remembers, as plain data; what follows from it is decided in `decide.rs`.

use std::collections::VecDeque;

use crate::front::{Phase, Standing};

/// A sum that decays; brought up to date when read.
#[derive(Clone, Copy, Default)]
pub struct Fading {
    pub sum: f64,
    pub at: u64,
}

impl Fading {
    pub fn read(&mut self, now: u64, fade: f64) -> f64 {
        self.sum *= (-((now - self.at) as f64) / fade).exp();
        self.at = now;
        self.sum
    }
    pub fn add(&mut self, x: f64, now: u64, fade: f64) {
        self.read(now, fade);
        self.sum += x;
    }
}

/// Outcomes of one build on one route: all, failed, slow.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub all: Fading,
    pub failed: Fading,
    pub slow: Fading,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub build: u32,
    pub standing: Standing,
    pub started: u64,
    /// Own tries out, and what its reports leave for the other fronts.
    pub held: f64,
    pub others: f64,
    /// How many own tries it may hold; follows how its answers compare with the latency objective.
    pub room: f64,
    pub narrowed: u64,
    pub pace: f64,
    pub answers: Fading,
    pub faults: Fading,
    pub heard: u64,
    pub aside: bool,
    pub probe_out: bool,
    pub probed: u64,
    pub answered: u32,
    pub wanted: u32,
    pub sends: VecDeque<u64>,
}

pub struct Try {
    pub machine: usize,
    pub build: u32,
    pub sent: u64,
    pub out: bool,
    pub may_have_run: bool,
    pub counted: bool,
    pub settled: bool,
}

pub struct Req {
    pub route: usize,
    pub key: Option<String>,
    pub came: u64,
    pub due: u64,
    pub objective: u64,
    pub rank: f64,
    pub waiting: bool,
    pub over: bool,
    pub opened: bool,
    pub copied: bool,
    pub tries: Vec<Try>,
}

#[derive(Clone, Copy)]
pub struct News {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub since: u64,
}
