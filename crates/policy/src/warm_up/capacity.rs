//! How many requests a second a warm endpoint serves for this instance.

use std::time::Duration;

use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingMean, TimeConstant, WeightedSum};
use crate::types::{HardwareClassIndex, Timestamp};

/// Over what time the rates are averaged.
const RATE_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Ready time of endpoints that is needed to measure a rate.
const MIN_READY_SECONDS: f64 = 1.0;

/// Responses of warm endpoints, and the seconds for which these were in service, by hardware class.
#[derive(Debug, Default)]
pub(super) struct CapacityMeter {
    classes: IndexedTable<HardwareClassIndex, DecayingMean>,
}

impl CapacityMeter {
    /// Makes room for a hardware class unless it is known.
    pub(super) fn add_class(&mut self, class: HardwareClassIndex) {
        let empty = DecayingMean::new(RATE_TIME_CONSTANT);
        self.classes.put_if_absent(class, empty);
    }

    /// A warm endpoint has responded.
    pub(super) fn record_response(&mut self, class: HardwareClassIndex, now: Timestamp) {
        let response = WeightedSum {
            sum: 1.0,
            weight: 0.0,
        };
        self.classes[class].add_weighted(response, now);
    }

    /// A warm endpoint has been in service for a further `time`.
    pub(super) fn record_ready_time(
        &mut self,
        class: HardwareClassIndex,
        time: Duration,
        now: Timestamp,
    ) {
        let ready_time = WeightedSum {
            sum: 0.0,
            weight: time.as_micros() as f64 / 1e6,
        };
        self.classes[class].add_weighted(ready_time, now);
    }

    /// Responses a second of a warm endpoint of this hardware class, or else of any class, where
    /// enough is known.
    pub(super) fn responses_per_second(
        &mut self,
        class: HardwareClassIndex,
        now: Timestamp,
    ) -> Option<f64> {
        let sums: Vec<WeightedSum> = self
            .classes
            .iter_mut()
            .map(|class| class.read(now))
            .collect();
        let all = sums
            .iter()
            .fold(WeightedSum::default(), |all, class| WeightedSum {
                sum: all.sum + class.sum,
                weight: all.weight + class.weight,
            });
        let by_preference = [sums[class.get()], all];
        let known = by_preference
            .into_iter()
            .find(|sums| sums.weight >= MIN_READY_SECONDS);
        known.map(|sums| sums.sum / sums.weight)
    }
}
