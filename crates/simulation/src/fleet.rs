//! What a build and a machine are like, hidden from the fronts, and how a machine serves.

use crate::chance::Chance;

/// A build's hidden nature.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Truth {
    /// Each req takes so many times the earlier build's work; near one, a good build.
    Work(f64),
    /// Errors on one route.
    Errors { route: usize, share: f64 },
    /// Errors where the machine holds more than its cores.
    Busy(f64),
    /// Errors from so many seconds after a machine's start.
    Later { after: f64, share: f64 },
    /// Answers that clients find wrong.
    Wrong(f64),
    /// Reqs that are never answered.
    Hangs(f64),
    /// A shared dependency slows all machines, by the part that this build serves.
    Shared(f64),
    /// Errors on machines of one kind only.
    OnKind { kind: usize, share: f64 },
}

impl Truth {
    pub fn name(self) -> &'static str {
        match self {
            Truth::Work(x) if x < 1.2 => "good",
            Truth::Work(_) => "more work",
            Truth::Errors { route, .. } if route == EFFECT => "errors with an effect",
            Truth::Errors { .. } => "errors on a route",
            Truth::Busy(_) => "errors when busy",
            Truth::Later { .. } => "errors later",
            Truth::Wrong(_) => "wrong answers",
            Truth::Hangs(_) => "hangs",
            Truth::Shared(_) => "slows all",
            Truth::OnKind { .. } => "errors on a kind",
        }
    }
    /// Four in ten are bad; a good one is a little quicker or slower.
    pub fn draw(chance: &mut Chance) -> Truth {
        if chance.of(0.6) {
            Truth::good(chance)
        } else {
            Truth::bad(chance)
        }
    }
    pub fn good(chance: &mut Chance) -> Truth {
        Truth::Work(chance.between(0.88, 1.12))
    }
    pub fn bad(chance: &mut Chance) -> Truth {
        let share = chance.between(0.04, 0.35);
        match chance.below(9) {
            0 => Truth::Work(chance.between(1.4, 3.0)),
            1 => Truth::Errors {
                route: chance.below(2),
                share,
            },
            2 => Truth::Errors {
                route: EFFECT,
                share,
            },
            3 => Truth::Busy(share),
            4 => Truth::Later {
                after: chance.between(3.0, 8.0),
                share,
            },
            5 => Truth::Wrong(share),
            6 => Truth::Hangs(0.4 * share),
            7 => Truth::Shared(chance.between(1.6, 3.0)),
            _ => Truth::OnKind {
                kind: chance.below(2),
                share,
            },
        }
    }
}

/// Routes of the model: two that may be repeated, one deduped, one with an effect.
pub const ROUTES: usize = 4;
pub const EFFECT: usize = 3;

/// What else goes wrong, at a drawn time or just as a stage begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confounder {
    None,
    Slow,
    Neighbours,
    FastErrors,
    Burst,
    HeavyRoute,
    LostZone,
    Stall,
}

impl Confounder {
    pub const ALL: [Confounder; 8] = [
        Confounder::None,
        Confounder::Slow,
        Confounder::Neighbours,
        Confounder::FastErrors,
        Confounder::Burst,
        Confounder::HeavyRoute,
        Confounder::LostZone,
        Confounder::Stall,
    ];
    pub fn name(self) -> &'static str {
        match self {
            Confounder::None => "none",
            Confounder::Slow => "slow machines",
            Confounder::Neighbours => "neighbours",
            Confounder::FastErrors => "fast errors",
            Confounder::Burst => "burst",
            Confounder::HeavyRoute => "heavy route",
            Confounder::LostZone => "lost zone",
            Confounder::Stall => "front stalls",
        }
    }
}

pub struct Machine {
    pub name: String,
    pub zone: usize,
    pub kind: usize,
    pub build: u32,
    /// 0 for long ago.
    pub started: u64,
    pub gone: bool,
    pub draining: bool,
    /// By core, when it is free.
    cores: Vec<u64>,
    /// When what it holds will be done, the earliest first.
    held: std::collections::VecDeque<u64>,
    /// Its own trouble, until then: slower by so much, errors of this share.
    pub slower: f64,
    pub errors: f64,
    pub silent: bool,
}

/// Reqs that a machine takes beyond its cores before it turns them away.
const QUEUE: usize = 60;
pub const COLD_FROM: f64 = 0.4;
pub const COLD_FOR: u64 = 3_000_000;

/// How a req ends at a machine.
pub enum Service {
    Full,
    Never,
    At { done: u64, held: usize },
}

impl Machine {
    pub fn new(name: String, zone: usize, kind: usize, build: u32, started: u64) -> Machine {
        let cores = vec![0; if kind == 0 { 4 } else { 3 }];
        let held = Default::default();
        Machine {
            name,
            zone,
            kind,
            build,
            started,
            gone: false,
            draining: false,
            cores,
            held,
            slower: 1.0,
            errors: 0.0,
            silent: false,
        }
    }
    pub fn holds(&mut self, now: u64) -> usize {
        while self.held.front().is_some_and(|at| *at <= now) {
            self.held.pop_front();
        }
        self.held.len()
    }
    /// One req of so much work in microseconds of a warm core, by `factor` times what the earlier build needs.
    pub fn serve(&mut self, work: f64, factor: f64, now: u64) -> Service {
        if self.silent {
            return Service::Never;
        }
        let held = self.holds(now);
        if held >= self.cores.len() + QUEUE {
            return Service::Full;
        }
        let age = now.saturating_sub(self.started) as f64 / COLD_FOR as f64;
        let warm = if self.started == 0 {
            1.0
        } else {
            (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0)
        };
        let pace = factor * self.slower / warm * if self.kind == 0 { 1.0 } else { 1.4 };
        let core = self.cores.iter_mut().min().expect("a machine has cores");
        let done = now.max(*core) + (work * pace) as u64;
        *core = done;
        let at = self.held.partition_point(|t| *t <= done);
        self.held.insert(at, done);
        Service::At {
            done,
            held: held + 1,
        }
    }
}
