//! Measures how many requests per second a warm endpoint serves for this instance.

use std::time::Duration;

use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingMean, TimeConstant, WeightedSum};
use crate::types::{HardwareClassIndex, Timestamp};

/// Time constant of the moving average of the rates.
const RATE_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Minimum total time in service from which a rate is computed.
const MIN_SECONDS_IN_SERVICE: f64 = 1.0;

/// Number of responses of warm endpoints and their time in service in seconds, by hardware class.
#[derive(Debug, Default)]
pub(super) struct CapacityMeter {
    classes: IndexedTable<HardwareClassIndex, DecayingMean>,
}

impl CapacityMeter {
    /// Adds a hardware class unless it is known.
    pub(super) fn add_class(&mut self, class: HardwareClassIndex) {
        let empty = DecayingMean::new(RATE_TIME_CONSTANT);
        self.classes.put_if_absent(class, empty);
    }

    /// Records a response of a warm endpoint.
    pub(super) fn record_response(&mut self, class: HardwareClassIndex, now: Timestamp) {
        let response = WeightedSum {
            sum: 1.0,
            weight: 0.0,
        };
        self.classes[class].add_weighted(response, now);
    }

    /// Adds `time` to the time that warm endpoints of a hardware class have been in service.
    pub(super) fn record_time_in_service(
        &mut self,
        class: HardwareClassIndex,
        time: Duration,
        now: Timestamp,
    ) {
        let time_in_service = WeightedSum {
            sum: 0.0,
            weight: time.as_micros() as f64 / 1e6,
        };
        self.classes[class].add_weighted(time_in_service, now);
    }

    /// Returns the responses per second of a warm endpoint of a hardware class, or of all classes
    /// together if too little is known of that class. Returns `None` if too little is known of all.
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
        let class_or_total_sums = by_preference
            .into_iter()
            .find(|sums| sums.weight >= MIN_SECONDS_IN_SERVICE);
        class_or_total_sums.map(|sums| sums.sum / sums.weight)
    }
}
