//! Load of endpoints: this instance's attempts in flight, and the endpoints' own reports, which
//! include the requests of all instances.

use super::endpoint::EndpointWithClass;
use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingMean, TimeConstant, WeightedSum};
use crate::types::{EndpointIndex, HardwareClassIndex, LoadReport, Timestamp};

/// Time constant of the mean load that the endpoints of a hardware class report.
const CLASS_LOAD_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Time constant with which the weight of an endpoint's last report decays in its load estimate.
/// The mean of the hardware class has the remaining weight.
const REPORT_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(1);
/// Lower bound of the divisor in the mean of a class, which avoids a division by zero while there
/// are no reports.
const MIN_REPORT_WEIGHT: f64 = 1e-9;

/// The last load report of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    /// Requests in flight at the endpoint, from all instances.
    pub(crate) in_flight: f64,
    /// When the report arrived.
    pub(crate) reported_at: Timestamp,
}

/// Estimated number of requests in flight at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLoad {
    /// Requests in flight according to recent reports, but at least this instance's own attempts.
    pub(crate) in_flight: f64,
    /// Mean of the requests in flight that endpoints of the hardware class reported.
    pub(crate) class_mean: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadState {
    /// This instance's attempts in flight at the endpoint.
    in_flight: f64,
    reported: ReportedLoad,
}

/// Loads of all endpoints, and mean loads of the hardware classes.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoads {
    endpoints: IndexedTable<EndpointIndex, LoadState>,
    /// Reported requests in flight, by hardware class.
    classes: IndexedTable<HardwareClassIndex, DecayingMean>,
}

impl EndpointLoads {
    /// Adds a new endpoint, replacing the state of any previous one with this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints.put(index, LoadState::default());
    }

    /// Adds a hardware class unless it is known.
    pub(crate) fn add_class(&mut self, class: HardwareClassIndex) {
        let without_reports = DecayingMean::new(CLASS_LOAD_TIME_CONSTANT);
        self.classes.put_if_absent(class, without_reports);
    }

    /// Discards the load report of the previous process at an endpoint.
    pub(crate) fn record_process_start(&mut self, index: EndpointIndex) {
        self.endpoints[index].reported = ReportedLoad::default();
    }

    /// Increments the number of this instance's attempts in flight at an endpoint.
    pub(crate) fn start_attempt(&mut self, index: EndpointIndex) {
        self.endpoints[index].in_flight += 1.0;
    }

    /// Decrements the number of this instance's attempts in flight at an endpoint.
    pub(crate) fn end_attempt(&mut self, index: EndpointIndex) {
        self.endpoints[index].in_flight -= 1.0;
    }

    /// Returns the number of this instance's attempts in flight at an endpoint.
    pub(crate) fn in_flight(&self, index: EndpointIndex) -> f64 {
        self.endpoints[index].in_flight
    }

    /// Returns the last load report of an endpoint.
    pub(crate) fn reported(&self, index: EndpointIndex) -> ReportedLoad {
        self.endpoints[index].reported
    }

    /// Records a load report for the endpoint and for its hardware class. The queue length is
    /// used if the number of requests in flight is not reported.
    pub(crate) fn record_report(
        &mut self,
        endpoint: EndpointWithClass,
        report: Option<LoadReport>,
        now: Timestamp,
    ) {
        let Some(in_flight) = report.and_then(|report| report.in_flight.or(report.queued)) else {
            return;
        };
        self.endpoints[endpoint.index].reported = ReportedLoad {
            in_flight,
            reported_at: now,
        };
        self.classes[endpoint.class].add(in_flight, now);
    }

    /// Estimates the load of an endpoint. As the last report ages, the estimate approaches the mean
    /// of the hardware class.
    pub(crate) fn load(&mut self, endpoint: EndpointWithClass, now: Timestamp) -> EndpointLoad {
        let reports = self.classes[endpoint.class].read(now);
        let class_mean = reports.sum / reports.weight.max(MIN_REPORT_WEIGHT);
        let state = self.endpoints[endpoint.index];
        let freshness = REPORT_TIME_CONSTANT.remaining_between(state.reported.reported_at, now);
        let reported = class_mean + (state.reported.in_flight - class_mean) * freshness;
        EndpointLoad {
            in_flight: reported.max(state.in_flight),
            class_mean,
        }
    }

    /// Returns the decayed sum of the reported requests in flight at the endpoints of a hardware
    /// class, and the decayed number of those reports.
    pub(crate) fn class_reports(
        &mut self,
        class: HardwareClassIndex,
        now: Timestamp,
    ) -> WeightedSum {
        self.classes[class].read(now)
    }

    /// Restores the decayed sum and number of the reports of a hardware class from a snapshot.
    pub(crate) fn restore_class(
        &mut self,
        class: HardwareClassIndex,
        reports: WeightedSum,
        now: Timestamp,
    ) {
        self.classes[class].set(reports, now);
    }
}
