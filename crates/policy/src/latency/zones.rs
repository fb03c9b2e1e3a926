//! Mean slowdowns of this instance's zone and of the other zones.

use crate::snapshot::{ByZone, ZoneSlowdownSums};
use crate::statistics::{DecayingMean, TimeConstant};
use crate::types::Timestamp;

/// Time constant of the mean slowdowns of zones.
const TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Weight of the baseline as the prior of both means, in responses.
const PRIOR_RESPONSES: f64 = 5.0;

/// Slowdowns of this instance's zone and of the other zones.
#[derive(Debug)]
pub(super) struct ZoneSlowdowns {
    sums: ByZone<DecayingMean>,
}

impl ZoneSlowdowns {
    /// Creates slowdowns without measurements.
    pub(super) fn new() -> ZoneSlowdowns {
        let unknown = DecayingMean::new(TIME_CONSTANT);
        ZoneSlowdowns {
            sums: ByZone {
                own: unknown,
                other: unknown,
            },
        }
    }

    /// Records the slowdown of a response.
    pub(super) fn record(&mut self, in_other_zone: bool, slowdown: f64, now: Timestamp) {
        let zone = if in_other_zone {
            &mut self.sums.other
        } else {
            &mut self.sums.own
        };
        zone.add(slowdown, now);
    }

    /// Returns the mean slowdowns, including the prior.
    pub(super) fn means(&mut self, now: Timestamp) -> ByZone<f64> {
        let sums = self.read(now);
        ByZone {
            own: sums.own.mean_with_prior(1.0, PRIOR_RESPONSES),
            other: sums.other.mean_with_prior(1.0, PRIOR_RESPONSES),
        }
    }

    /// Returns the sums of the slowdowns and the numbers of responses.
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
