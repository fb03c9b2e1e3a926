//! Load of endpoints: this instance's attempts in flight, and what endpoints report of requests
//! from all instances.

use super::endpoint::EndpointWithClass;
use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingMean, TimeConstant, WeightedSum};
use crate::types::{EndpointIndex, HardwareClassIndex, LoadReport, Timestamp};

/// Over what time the loads that the endpoints of a hardware class report are averaged.
const CLASS_LOAD_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// How fast an endpoint's own report is replaced by the mean of its hardware class.
const REPORT_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(1);
/// Keeps the mean of a class without reports finite.
const MIN_REPORT_WEIGHT: f64 = 1e-9;

/// The last load report of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    /// Requests in flight there, from all instances.
    pub(crate) in_flight: f64,
    /// When it was reported.
    pub(crate) reported_at: Timestamp,
}

/// Requests that an endpoint executes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLoad {
    /// As reported lately, and at least this instance's own.
    pub(crate) in_flight: f64,
    /// Of one endpoint of its hardware class on average.
    pub(crate) class_mean: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadState {
    /// This instance's attempts in flight there.
    in_flight: f64,
    reported: ReportedLoad,
}

/// Loads of all endpoints and the mean loads of the hardware classes.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoads {
    endpoints: IndexedTable<EndpointIndex, LoadState>,
    /// Sum and number of the reports.
    classes: IndexedTable<HardwareClassIndex, DecayingMean>,
}

impl EndpointLoads {
    /// A new endpoint has taken this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints.put(index, LoadState::default());
    }

    /// Makes room for a hardware class unless it is known.
    pub(crate) fn add_class(&mut self, class: HardwareClassIndex) {
        let without_reports = DecayingMean::new(CLASS_LOAD_TIME_CONSTANT);
        self.classes.put_if_absent(class, without_reports);
    }

    /// Another process runs at an endpoint.
    pub(crate) fn record_process_start(&mut self, index: EndpointIndex) {
        self.endpoints[index].reported = ReportedLoad::default();
    }

    /// An attempt has been sent to an endpoint.
    pub(crate) fn start_attempt(&mut self, index: EndpointIndex) {
        self.endpoints[index].in_flight += 1.0;
    }

    /// An attempt at an endpoint has ended.
    pub(crate) fn end_attempt(&mut self, index: EndpointIndex) {
        self.endpoints[index].in_flight -= 1.0;
    }

    /// This instance's attempts in flight at an endpoint.
    pub(crate) fn in_flight(&self, index: EndpointIndex) -> f64 {
        self.endpoints[index].in_flight
    }

    /// The last report of an endpoint.
    pub(crate) fn reported(&self, index: EndpointIndex) -> ReportedLoad {
        self.endpoints[index].reported
    }

    /// Records an endpoint's report of its load, for it and for its hardware class.
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

    /// Load of an endpoint; an old report is replaced by the mean of its hardware class.
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

    /// Sum and number of the reports of a hardware class.
    pub(crate) fn class_reports(
        &mut self,
        class: HardwareClassIndex,
        now: Timestamp,
    ) -> WeightedSum {
        self.classes[class].read(now)
    }

    /// Restores the reports of a hardware class from a snapshot.
    pub(crate) fn restore_class(
        &mut self,
        class: HardwareClassIndex,
        reports: WeightedSum,
        now: Timestamp,
    ) {
        self.classes[class].set(reports, now);
    }
}
