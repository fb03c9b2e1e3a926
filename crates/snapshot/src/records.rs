//! What is kept, each fact with the time it was seen. Times are Unix time in whole microseconds; sums are as the
//! module holds them, decayed to the fact's time, so that a later reader goes on from there.
//!
//! Every field that came after version 1 has a default, and unknown fields are stepped over: a reader of any
//! version understands what it knows of.

use serde::{Deserialize, Serialize};

/// A machine process: with another address, build or start it is another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    pub id: String,
    pub addr: String,
    pub build: u32,
    pub started: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineFact {
    pub seen: u64,
    pub process: Process,
    pub kind: String,
    /// Times to answer against the route's usual, and answers.
    pub pace: [f64; 2],
    /// What it last reported to hold, and when.
    pub load: (f64, u64),
    /// It let tries pass without any answer, or was set aside for that.
    pub aside: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindFact {
    pub seen: u64,
    pub kind: String,
    pub load: [f64; 2],
    pub pace: [f64; 2],
    /// Before a trial: times against the usual, reqs held with the one answered, answers.
    pub usual: [f64; 3],
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteFact {
    pub seen: u64,
    /// Empty for all routes together.
    pub route: String,
    /// Time to answer in microseconds, work, answers.
    pub usual: [f64; 3],
}

/// Outcomes of one machine under one build, by test.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceFact {
    pub seen: u64,
    pub process: Process,
    pub build: u32,
    pub all: Vec<f64>,
    pub hits: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CondemnedFact {
    pub seen: u64,
    pub build: u32,
}

/// The fleet before the trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CalmFact {
    pub seen: u64,
    pub outcomes: f64,
    pub hits: f64,
    pub spread: [f64; 3],
    pub machines: usize,
    /// Tries a second that this front sent.
    pub sends: f64,
}

/// Times to answer against the usual, and answers, in the own zone and in others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonesFact {
    pub seen: u64,
    pub paces: [[f64; 2]; 2],
}

/// A key that goes to no lower build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyFact {
    pub seen: u64,
    pub key: String,
    pub build: u32,
}

/// One line of the list as last heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedFact {
    pub seen: u64,
    pub version: u64,
    pub process: Process,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// `active` or `leaving`; what has left is not on it.
    pub state: String,
}

/// The newest build's state as last heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewsFact {
    pub seen: u64,
    pub build: u32,
    pub stage: u32,
    pub phase: String,
    pub cap: f64,
    pub since: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    Machine(MachineFact),
    Kind(KindFact),
    Route(RouteFact),
    Evidence(EvidenceFact),
    Condemned(CondemnedFact),
    Calm(CalmFact),
    Zones(ZonesFact),
    Key(KeyFact),
    Listed(ListedFact),
    News(NewsFact),
}

impl Fact {
    pub fn seen(&self) -> u64 {
        match self {
            Fact::Machine(f) => f.seen,
            Fact::Kind(f) => f.seen,
            Fact::Route(f) => f.seen,
            Fact::Evidence(f) => f.seen,
            Fact::Condemned(f) => f.seen,
            Fact::Calm(f) => f.seen,
            Fact::Zones(f) => f.seen,
            Fact::Key(f) => f.seen,
            Fact::Listed(f) => f.seen,
            Fact::News(f) => f.seen,
        }
    }

    /// The fact's kind in a word, and what it speaks of.
    pub fn subject(&self) -> (&'static str, String) {
        match self {
            Fact::Machine(f) => (
                "machine",
                format!("{} build {}", f.process.id, f.process.build),
            ),
            Fact::Kind(f) => ("kind", f.kind.clone()),
            Fact::Route(f) if f.route.is_empty() => ("route", "all".into()),
            Fact::Route(f) => ("route", f.route.clone()),
            Fact::Evidence(f) => ("evidence", format!("build {} on {}", f.build, f.process.id)),
            Fact::Condemned(f) => ("condemned", format!("build {}", f.build)),
            Fact::Calm(f) => ("calm", format!("{} machines", f.machines)),
            Fact::Zones(_) => ("zones", "own and others".into()),
            Fact::Key(f) => ("key", format!("{} at build {}", f.key, f.build)),
            Fact::Listed(f) => ("listed", format!("{} {}", f.process.id, f.state)),
            Fact::News(f) => ("news", format!("build {} {}", f.build, f.phase)),
        }
    }
}
