//! What goes wrong in a trial beside the build: at a drawn time, or just as a stage begins, for some seconds.

use std::time::Duration;

use tidescale_policy::types::{Timestamp, whole_micros};

use crate::endpoint::Impairment;
use crate::fleet::Fleet;
use crate::parameters::{START, TICK};
use crate::random_stream::{RandomStream, stream};

/// Kind of trouble that is not the build's doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confounder {
    /// Nothing else goes wrong.
    None,
    /// Some endpoints are several times as slow.
    Slow,
    /// Some endpoints are a little slower, as beside noisy neighbours.
    Neighbours,
    /// Some endpoints fail requests at once.
    FastErrors,
    /// Clients send more requests.
    Burst,
    /// Clients send more of the costliest requests.
    HeavyRoute,
    /// Endpoints of a whole zone do not answer.
    LostZone,
    /// One instance stands still now and then, and then finds all its events at once.
    Stall,
}

impl Confounder {
    /// All kinds.
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

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Confounder::None => "none",
            Confounder::Slow => "slow endpoints",
            Confounder::Neighbours => "noisy neighbours",
            Confounder::FastErrors => "fast errors",
            Confounder::Burst => "burst",
            Confounder::HeavyRoute => "heavy route",
            Confounder::LostZone => "lost zone",
            Confounder::Stall => "instance stalls",
        }
    }
}

/// Share of the endpoints that a confounder strikes at most, as the range that it is drawn from.
const AFFECTED_SHARE: [f64; 2] = [0.08, 0.25];
/// In a small fleet at least so many endpoints may be struck, …
const AFFECTED_IN_SMALL_FLEETS: usize = 3;
/// … in a large one at most one in so many.
const ENDPOINTS_PER_AFFECTED: usize = 8;
/// Zone that [`Confounder::LostZone`] takes.
const LOST_ZONE: usize = 0;
/// A stalling instance stands still once in this time …
const STALL_INTERVAL: Duration = Duration::from_secs(3);
/// … for this long.
const STALL_LENGTH: Duration = Duration::from_millis(400);

/// One trial's confounder: when it begins and ends, and which endpoints it has struck.
pub(crate) struct ConfounderSchedule {
    kind: Confounder,
    seed: u64,
    begins_at: Timestamp,
    ends_at: Timestamp,
    /// Endpoints that it has struck and not let go of.
    affected: Vec<usize>,
}

impl ConfounderSchedule {
    /// Draws when it begins and how long it lasts.
    pub(crate) fn draw(kind: Confounder, seed: u64, random: &mut RandomStream) -> Self {
        let begins_after_micros = if random.happens(0.5) {
            random.between(2.0, 26.0) * 1e6
        } else {
            // Just as the second or the third stage begins, if nothing holds the rollout up.
            14e6 + random.index_below(2) as f64 * 6e6
        };
        let length_micros = random.between(6.0, 18.0) * 1e6;
        let after = |micros: f64| START + Duration::from_micros(micros as u64);
        ConfounderSchedule {
            kind,
            seed,
            begins_at: after(begins_after_micros),
            ends_at: after(begins_after_micros + length_micros),
            affected: Vec::new(),
        }
    }

    /// Whether this kind of trouble is on.
    pub(crate) fn is_active(&self, kind: Confounder, now: Timestamp) -> bool {
        self.kind == kind && now >= self.begins_at && now < self.ends_at
    }

    /// Whether the instance that stalls stands still.
    pub(crate) fn stalls(&self, now: Timestamp) -> bool {
        let within = now.micros_since(self.begins_at) % whole_micros(STALL_INTERVAL);
        self.is_active(Confounder::Stall, now) && within < whole_micros(STALL_LENGTH)
    }

    /// Impairs endpoints in the tick in which it begins, and mends them in the one in which it ends.
    pub(crate) fn step(&mut self, now: Timestamp, fleet: &mut Fleet) {
        if now == start_of_tick(self.begins_at) {
            let mut random = RandomStream::new(self.seed, stream::CONFOUNDER);
            self.select_affected(fleet, &mut random);
            self.impair(fleet, &mut random);
        }
        if now == start_of_tick(self.ends_at) {
            for endpoint in std::mem::take(&mut self.affected) {
                fleet.endpoint_mut(endpoint).impairment = Impairment::NONE;
            }
        }
    }

    fn select_affected(&mut self, fleet: &Fleet, random: &mut RandomStream) {
        let [least, most] = AFFECTED_SHARE;
        let share = random.between(least, most);
        let slots = fleet.slots();
        let limit = AFFECTED_IN_SMALL_FLEETS.max(slots.len() / ENDPOINTS_PER_AFFECTED);
        let target_count = ((share * slots.len() as f64) as usize).clamp(1, limit);
        for endpoint in slots {
            let lost = self.kind == Confounder::LostZone
                && fleet.endpoint(*endpoint).placement.zone == LOST_ZONE;
            if lost || self.affected.len() < target_count && random.happens(2.0 * share) {
                self.affected.push(*endpoint);
            }
        }
    }

    fn impair(&self, fleet: &mut Fleet, random: &mut RandomStream) {
        for endpoint in &self.affected {
            let impairment = &mut fleet.endpoint_mut(*endpoint).impairment;
            match self.kind {
                Confounder::Slow => impairment.slowdown = random.between(2.0, 6.0),
                Confounder::Neighbours => impairment.slowdown = random.between(1.2, 1.8),
                Confounder::FastErrors => {
                    impairment.failure_probability = random.between(0.2, 0.9);
                }
                Confounder::LostZone => impairment.unresponsive = true,
                Confounder::None
                | Confounder::Burst
                | Confounder::HeavyRoute
                | Confounder::Stall => {}
            }
        }
    }
}

/// The tick that a time falls into.
fn start_of_tick(at: Timestamp) -> Timestamp {
    let tick = whole_micros(TICK);
    Timestamp::from_micros(at.as_micros() / tick * tick)
}
