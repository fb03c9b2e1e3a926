//! How much a fact still counts: from what it is, how old it is, and what the list says now. No fact grows stronger
//! with time, none counts for ever, and a clock that went wrong makes none of them count more.
//!
//! What a recalled fact counts for a *verdict* is not decided here but in the module.

use crate::records::{EvidenceFact, Fact, KindFact, MachineFact, Process, RouteFact};

const SECOND: u64 = 1_000_000;
/// Clocks of one machine before and after its restart differ by less.
const SLACK: u64 = 2 * SECOND;
/// After so many half-lives a fact is over.
const LIVES: u64 = 8;
/// A machine's own pace counts as so many answers at most: the next few outweigh it, and the module lets it fade
/// within seconds, so that a machine that has healed is at its fair share again within 30 s without being probed.
pub const PACE_ANSWERS: f64 = 4.0;
/// What is usual counts as so many answers at most: a fleet that has changed is known anew soon.
pub const USUAL_ANSWERS: f64 = 200.0;
const KIND_ANSWERS: f64 = 20.0;

/// What the list says of the process that a fact speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Address, build and start are the same.
    Same,
    /// The id is another process now, or the list does not name it: nothing is held against either.
    Other,
}

/// Compares what was seen with what the list says now of the same id.
pub fn listed(seen: &Process, now: Option<&Process>) -> Listed {
    if now == Some(seen) {
        Listed::Same
    } else {
        Listed::Other
    }
}

/// Half-life and longest age of a kind of fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    pub half: u64,
    pub most: u64,
}

const fn halving(seconds: u64) -> Life {
    Life {
        half: seconds * SECOND,
        most: LIVES * seconds * SECOND,
    }
}

/// Of suspicion the half-lives are short, of what a fleet is like they are long; what binds does not fade, but ends.
pub fn life(fact: &Fact) -> Life {
    match fact {
        Fact::Machine(_) => halving(10),
        Fact::Evidence(_) => halving(15),
        Fact::Condemned(_) => Life {
            half: 60 * SECOND,
            most: 60 * SECOND,
        },
        Fact::Calm(_) | Fact::Zones(_) => halving(60),
        Fact::Kind(_) | Fact::Route(_) => halving(600),
        Fact::Key(_) => Life {
            half: u64::MAX,
            most: 3600 * SECOND,
        },
        Fact::Listed(_) | Fact::News(_) => Life {
            half: 3600 * SECOND,
            most: 30 * 24 * 3600 * SECOND,
        },
    }
}

/// How long ago; none for what can't be: seen later than now, by more than clocks differ. A leap ahead only makes a
/// fact older.
pub fn age(seen: u64, now: u64) -> Option<u64> {
    if seen > now.saturating_add(SLACK) {
        None
    } else {
        Some(now.saturating_sub(seen))
    }
}

/// From 1 for what was just seen down to 0 for what is over.
pub fn weight(fact: &Fact, now: u64) -> f64 {
    let life = life(fact);
    match age(fact.seen(), now) {
        Some(age) if age < life.most => 0.5f64.powf(age as f64 / life.half as f64),
        _ => 0.0,
    }
}

/// Sums whose last one counts answers, cut to so many of these.
fn cut<const N: usize>(sums: [f64; N], most: f64, weight: f64) -> Option<[f64; N]> {
    let answers = sums[N - 1];
    let whole = sums.iter().all(|x| x.is_finite() && *x >= 0.0) && answers > 0.0 && weight > 0.0;
    whole.then(|| sums.map(|x| x * weight * (most / answers).min(1.0)))
}

/// What is told of a machine that is still the same process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineNow {
    pub pace: Option<[f64; 2]>,
    /// Set aside again, to come back by probes as ever; only what was so within a half-life.
    pub aside: bool,
}

pub fn machine(fact: &MachineFact, now: u64, listed: Listed) -> Option<MachineNow> {
    let weight = weight(&Fact::Machine(fact.clone()), now);
    if listed == Listed::Other || weight == 0.0 {
        return None;
    }
    Some(MachineNow {
        pace: cut(fact.pace, PACE_ANSWERS, weight),
        aside: fact.aside && weight >= 0.5,
    })
}

/// Load, pace and usual pace of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindNow {
    pub load: Option<[f64; 2]>,
    pub pace: Option<[f64; 2]>,
    pub usual: Option<[f64; 3]>,
}

pub fn kind(fact: &KindFact, now: u64) -> KindNow {
    let weight = weight(&Fact::Kind(fact.clone()), now);
    // What machines held then tells nothing of now but for a few seconds.
    let fresh = if age(fact.seen, now).is_some_and(|a| a < 5 * SECOND) {
        weight
    } else {
        0.0
    };
    KindNow {
        load: cut(fact.load, KIND_ANSWERS, fresh),
        pace: cut(fact.pace, KIND_ANSWERS, weight),
        usual: cut(fact.usual, USUAL_ANSWERS, weight),
    }
}

pub fn route(fact: &RouteFact, now: u64) -> Option<[f64; 3]> {
    cut(
        fact.usual,
        USUAL_ANSWERS,
        weight(&Fact::Route(fact.clone()), now),
    )
}

/// Outcomes and hits by test, faded from when they were seen; the module bounds what they may do to a verdict.
pub fn evidence(fact: &EvidenceFact, now: u64, listed: Listed) -> Option<(Vec<f64>, Vec<f64>)> {
    let weight = weight(&Fact::Evidence(fact.clone()), now);
    let sane = |x: &f64| x.is_finite() && *x >= 0.0;
    let whole = fact.all.len() == fact.hits.len() && fact.all.iter().chain(&fact.hits).all(sane);
    let hits_within = fact.all.iter().zip(&fact.hits).all(|(n, k)| *k <= *n + 1.0);
    if listed == Listed::Other || weight == 0.0 || !whole || !hits_within {
        return None;
    }
    let faded = |xs: &[f64]| xs.iter().map(|x| x * weight).collect();
    Some((faded(&fact.all), faded(&fact.hits)))
}
