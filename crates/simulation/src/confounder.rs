//! Confounders: disturbances in a trial that the build does not cause. A confounder starts at a
//! random time or at the start of a rollout stage, and lasts for several seconds.

use std::ops::Range;
use std::time::Duration;

use tidescale_policy::types::{Timestamp, whole_micros};

use crate::endpoint::Impairment;
use crate::fleet::Fleet;
use crate::ids::{EndpointId, ZoneIndex};
use crate::parameters::{MICROS_PER_SECOND, START, TICK};
use crate::random_stream::{RandomStream, stream};

/// A kind of disturbance that the build does not cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confounder {
    /// No disturbance.
    None,
    /// Some endpoints slow down by a large factor.
    SlowEndpoints,
    /// Some endpoints slow down slightly, as with noisy neighbours on a shared host.
    NoisyNeighbours,
    /// Some endpoints fail requests immediately.
    FastErrors,
    /// Clients send requests at a higher rate.
    Burst,
    /// Clients send a larger share of requests on the most expensive route.
    HeavyRoute,
    /// All endpoints of one zone, and sometimes a few others, are unresponsive.
    LostZone,
    /// One instance is repeatedly descheduled for a short time, and then handles the events of that
    /// time in a single step.
    Stall,
}

impl Confounder {
    /// All kinds of confounders.
    pub const ALL: [Confounder; 8] = [
        Confounder::None,
        Confounder::SlowEndpoints,
        Confounder::NoisyNeighbours,
        Confounder::FastErrors,
        Confounder::Burst,
        Confounder::HeavyRoute,
        Confounder::LostZone,
        Confounder::Stall,
    ];

    /// Returns the display name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Confounder::None => "none",
            Confounder::SlowEndpoints => "slow endpoints",
            Confounder::NoisyNeighbours => "noisy neighbours",
            Confounder::FastErrors => "fast errors",
            Confounder::Burst => "burst",
            Confounder::HeavyRoute => "heavy route",
            Confounder::LostZone => "lost zone",
            Confounder::Stall => "instance stalls",
        }
    }
}

/// Range from which the target share of impaired endpoints is drawn. The limits below may reduce
/// the target, which is at least one endpoint.
const IMPAIRED_SHARE: Range<f64> = 0.08..0.25;
/// In a small fleet, at most this number of endpoints is impaired.
const SMALL_FLEET_IMPAIRED_LIMIT: usize = 3;
/// In a large fleet, at most one in this number of endpoints is impaired. The higher one of the two
/// limits applies.
const ENDPOINTS_PER_IMPAIRED: usize = 8;
/// The zone that becomes unresponsive under [`Confounder::LostZone`].
const LOST_ZONE: ZoneIndex = ZoneIndex::new(0);
/// Time from the start of one stall to the start of the next.
const STALL_INTERVAL: Duration = Duration::from_secs(3);
const STALL_DURATION: Duration = Duration::from_millis(400);

/// Range of random start times, in seconds from the trial's start.
const UNIFORM_START_SECONDS: Range<f64> = 2.0..26.0;
/// Approximate start of the second stage if no votes hold the rollout, in seconds from the trial's
/// start.
const SECOND_STAGE_START_SECONDS: f64 = 14.0;
/// Approximate time from one stage's start to the next, in seconds: stage time plus boot time.
const STAGE_AND_BOOT_SECONDS: f64 = 6.0;
/// Range of the confounder's duration, in seconds.
const DURATION_SECONDS: Range<f64> = 6.0..18.0;

/// The confounder of one trial: its start and end, and the endpoints that it impairs.
pub(crate) struct ConfounderSchedule {
    kind: Confounder,
    seed: u64,
    starts_at: Timestamp,
    ends_at: Timestamp,
    /// The endpoints that it currently impairs.
    impaired: Vec<EndpointId>,
}

impl ConfounderSchedule {
    /// Draws the start and the duration of a confounder.
    pub(crate) fn draw(kind: Confounder, seed: u64, random: &mut RandomStream) -> Self {
        let start_seconds = if random.bernoulli(0.5) {
            random.uniform_in(UNIFORM_START_SECONDS)
        } else {
            let stages = random.index_below(2) as f64;
            SECOND_STAGE_START_SECONDS + stages * STAGE_AND_BOOT_SECONDS
        };
        let duration_seconds = random.uniform_in(DURATION_SECONDS);
        ConfounderSchedule {
            kind,
            seed,
            starts_at: seconds_after_start(start_seconds),
            ends_at: seconds_after_start(start_seconds + duration_seconds),
            impaired: Vec::new(),
        }
    }

    /// Returns whether a confounder of this kind is active now.
    pub(crate) fn is_active(&self, kind: Confounder, now: Timestamp) -> bool {
        self.kind == kind && now >= self.starts_at && now < self.ends_at
    }

    /// Returns whether the stalled instance is descheduled now.
    pub(crate) fn stall_in_progress(&self, now: Timestamp) -> bool {
        let micros_into_interval = now.micros_since(self.starts_at) % whole_micros(STALL_INTERVAL);
        self.is_active(Confounder::Stall, now)
            && micros_into_interval < whole_micros(STALL_DURATION)
    }

    /// Impairs endpoints in the tick in which the confounder starts, and restores them in the tick
    /// in which it ends.
    pub(crate) fn step(&mut self, now: Timestamp, fleet: &mut Fleet) {
        if now == start_of_tick(self.starts_at) {
            let mut random = RandomStream::new(self.seed, stream::CONFOUNDER);
            self.select_impaired(fleet, &mut random);
            self.impair(fleet, &mut random);
        }
        if now == start_of_tick(self.ends_at) {
            for endpoint in std::mem::take(&mut self.impaired) {
                fleet.endpoint_mut(endpoint).impairment = Impairment::NONE;
            }
        }
    }

    /// Selects random endpoints up to the limits. Under [`Confounder::LostZone`], all endpoints of
    /// the lost zone are selected regardless of the limits.
    fn select_impaired(&mut self, fleet: &Fleet, random: &mut RandomStream) {
        let share = random.uniform_in(IMPAIRED_SHARE);
        let slots = fleet.slots();
        let limit = SMALL_FLEET_IMPAIRED_LIMIT.max(slots.len() / ENDPOINTS_PER_IMPAIRED);
        let target_count = ((share * slots.len() as f64) as usize).clamp(1, limit);
        for endpoint in slots {
            let is_in_lost_zone = self.kind == Confounder::LostZone
                && fleet.endpoint(*endpoint).placement.zone == LOST_ZONE;
            if is_in_lost_zone
                || self.impaired.len() < target_count && random.bernoulli(2.0 * share)
            {
                self.impaired.push(*endpoint);
            }
        }
    }

    fn impair(&self, fleet: &mut Fleet, random: &mut RandomStream) {
        for endpoint in &self.impaired {
            let impairment = &mut fleet.endpoint_mut(*endpoint).impairment;
            match self.kind {
                Confounder::SlowEndpoints => impairment.slowdown = random.uniform_in(2.0..6.0),
                Confounder::NoisyNeighbours => impairment.slowdown = random.uniform_in(1.2..1.8),
                Confounder::FastErrors => {
                    impairment.failure_probability = random.uniform_in(0.2..0.9);
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

fn seconds_after_start(seconds: f64) -> Timestamp {
    START + Duration::from_micros((seconds * MICROS_PER_SECOND) as u64)
}

/// Returns the start of the tick that contains this time.
fn start_of_tick(at: Timestamp) -> Timestamp {
    let tick = whole_micros(TICK);
    Timestamp::from_micros(at.as_micros() / tick * tick)
}
