//! Slowdown of this instance's zone against that of other zones.

use crate::snapshot::{ByZone, ZoneSlowdownSums};
use crate::statistics::{DecayingMean, TimeConstant};
use crate::types::Timestamp;

/// Over what time slowdowns of zones are averaged.
const TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Responses at the baseline that each side starts with.
const PRIOR_RESPONSES: f64 = 5.0;

/// Latencies against the baseline, by zone.
#[derive(Debug)]
pub(super) struct ZoneSlowdowns {
    sums: ByZone<DecayingMean>,
}

impl ZoneSlowdowns {
    /// Nothing is known yet.
    pub(super) fn new() -> ZoneSlowdowns {
        let unknown = DecayingMean::new(TIME_CONSTANT);
        ZoneSlowdowns {
            sums: ByZone {
                own: unknown,
                other: unknown,
            },
        }
    }

    /// Records a latency as a multiple of the baseline.
    pub(super) fn record(&mut self, in_other_zone: bool, slowdown: f64, now: Timestamp) {
        let zone = if in_other_zone {
            &mut self.sums.other
        } else {
            &mut self.sums.own
        };
        zone.add(slowdown, now);
    }

    /// The mean slowdowns.
    pub(super) fn means(&mut self, now: Timestamp) -> ByZone<f64> {
        let sums = self.read(now);
        ByZone {
            own: sums.own.mean_with_prior(1.0, PRIOR_RESPONSES),
            other: sums.other.mean_with_prior(1.0, PRIOR_RESPONSES),
        }
    }

    /// Sums of the slowdowns and numbers of responses.
    pub(super) fn read(&mut self, now: Timestamp) -> ZoneSlowdownSums {
        ByZone {
            own: self.sums.own.read(now),
            other: self.sums.other.read(now),
        }
    }

    /// Restores the sums from a snapshot.
    pub(super) fn restore(&mut self, sums: ZoneSlowdownSums, now: Timestamp) {
        self.sums.own.set(sums.own, now);
        self.sums.other.set(sums.other, now);
    }
}
