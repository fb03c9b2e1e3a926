//! Latency model: baselines and slowdowns that this instance has measured.
//!
//! A *slowdown* is a latency as a multiple of the baseline latency for the route and the cost of
//! the request. Slowdowns are averaged by endpoint, by hardware class, and over this instance's
//! zone and the other zones.

use std::time::Duration;

use super::estimate::{LatencyEstimate, RequestWork};
use super::route_baselines::RouteBaselines;
use super::zones::ZoneSlowdowns;
use crate::endpoints::EndpointWithClass;
use crate::indexed_table::IndexedTable;
use crate::snapshot::{ByZone, ClassLatency, RouteLatency, ZoneSlowdownSums};
use crate::statistics::{DecayingMean, DecayingSums, TimeConstant, WeightedSum};
use crate::types::{EndpointIndex, HardwareClassIndex, RouteIndex, Timestamp};

/// Time constant of the mean slowdowns of endpoints and hardware classes.
const SLOWDOWN_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// Time constant of the baselines of hardware classes; the same as for routes.
const BASELINE_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(30);
/// Weight of the prior of mean slowdowns, in responses. The prior of a hardware class is the
/// baseline, that of an endpoint is the mean of its class.
const PRIOR_RESPONSES: f64 = 2.0;
/// Slowdown that a failed attempt counts as. A response is expected to take a quarter of its
/// latency objective, and a failed attempt counts as taking the whole objective.
const FAILURE_SLOWDOWN: f64 = 4.0;

/// A measured latency and the conditions of the measurement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencySample {
    /// The endpoint to which the attempt was sent.
    pub(crate) endpoint: EndpointWithClass,
    /// Whether the endpoint is in another zone than this instance.
    pub(crate) in_other_zone: bool,
    /// Route and cost of the request.
    pub(crate) work: RequestWork,
    pub(crate) latency: Duration,
    /// Requests in flight at the endpoint, including the measured one.
    pub(crate) endpoint_load: f64,
}

/// Condition under which a latency sample may change the baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselineLearning {
    /// Never, because the endpoint is warming up or its build is under evaluation.
    Never,
    /// Only while no baseline is known, because the fleet is not steady.
    IfUnknown,
    /// Always, because the fleet is steady.
    Always,
}

/// Baseline latency on endpoints of one hardware class, and the load at which it was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassBaseline {
    pub(crate) latency: LatencyEstimate,
    /// Mean number of requests in flight at the endpoint, including the measured one.
    pub(crate) load: f64,
}

/// Statistics of the endpoints of one hardware class.
#[derive(Clone, Copy, Debug)]
struct ClassState {
    slowdown: DecayingMean,
    /// The sums of [`ClassLatency`], over the responses that baselines are learned from.
    baseline: DecayingSums<3>,
}

impl ClassState {
    fn new() -> ClassState {
        ClassState {
            slowdown: DecayingMean::new(SLOWDOWN_TIME_CONSTANT),
            baseline: DecayingSums::new(BASELINE_TIME_CONSTANT),
        }
    }

    /// Returns the mean slowdown of the endpoints of the class.
    fn mean_slowdown(&mut self, now: Timestamp) -> f64 {
        let sums = self.slowdown.read(now);
        sums.mean_with_prior(1.0, PRIOR_RESPONSES)
    }
}

/// Baselines and slowdowns that this instance has measured.
#[derive(Debug)]
pub(crate) struct LatencyModel {
    routes: RouteBaselines,
    classes: IndexedTable<HardwareClassIndex, ClassState>,
    endpoints: IndexedTable<EndpointIndex, DecayingMean>,
    zones: ZoneSlowdowns,
}

impl LatencyModel {
    /// Creates a model without measurements, for this number of routes.
    pub(crate) fn new(routes: usize) -> LatencyModel {
        LatencyModel {
            routes: RouteBaselines::new(routes),
            classes: IndexedTable::default(),
            endpoints: IndexedTable::default(),
            zones: ZoneSlowdowns::new(),
        }
    }

    /// Adds a new endpoint, replacing the state of any previous one with this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        let unknown = DecayingMean::new(SLOWDOWN_TIME_CONSTANT);
        self.endpoints.put(index, unknown);
    }

    /// Adds a hardware class unless it is known.
    pub(crate) fn add_class(&mut self, class: HardwareClassIndex) {
        self.classes.put_if_absent(class, ClassState::new());
    }

    /// Clears the slowdown of an endpoint that has returned to service or runs a new process.
    pub(crate) fn clear_slowdown(&mut self, index: EndpointIndex) {
        self.endpoints[index].clear();
    }

    /// Records the latency of a response, or the duration of an attempt whose response may have
    /// been lost.
    pub(crate) fn record(
        &mut self,
        sample: &LatencySample,
        learning: BaselineLearning,
        now: Timestamp,
    ) {
        let expected = self.expected_latency(sample.work, now);
        let class = &mut self.classes[sample.endpoint.class];
        if let Some(expected) = expected {
            let slowdown = expected.ratio_of(sample.latency);
            self.endpoints[sample.endpoint.index].add(slowdown, now);
            self.zones.record(sample.in_other_zone, slowdown, now);
            class.slowdown.add(slowdown, now);
        }
        let is_learned = match learning {
            BaselineLearning::Never => false,
            BaselineLearning::IfUnknown => expected.is_none(),
            BaselineLearning::Always => true,
        };
        if !is_learned {
            return;
        }
        self.routes.record(sample.work, sample.latency, now);
        if let Some(expected) = expected {
            let slowdown = expected.ratio_of(sample.latency);
            class
                .baseline
                .add([slowdown, sample.endpoint_load, 1.0], now);
        }
    }

    /// Records a failed attempt, which makes its endpoint less likely to be chosen.
    pub(crate) fn record_failure(&mut self, index: EndpointIndex, now: Timestamp) {
        self.endpoints[index].add(FAILURE_SLOWDOWN, now);
    }

    /// Returns the baseline latency of a request of this route and cost, if there are enough
    /// measurements.
    pub(crate) fn expected_latency(
        &mut self,
        work: RequestWork,
        now: Timestamp,
    ) -> Option<LatencyEstimate> {
        self.routes.expected_latency(work, now)
    }

    /// Returns the baseline latency of each route for one unit of cost; infinite if it is not
    /// known.
    pub(crate) fn expected_latency_per_cost(
        &mut self,
        now: Timestamp,
    ) -> IndexedTable<RouteIndex, LatencyEstimate> {
        self.routes.expected_latency_per_cost(now)
    }

    /// Returns the decayed number of responses of all routes together, as of the last reading.
    pub(crate) fn response_count(&self) -> f64 {
        self.routes.response_count()
    }

    /// Returns the baseline of a request of this route and cost on endpoints of a hardware class,
    /// if there are enough measurements.
    pub(crate) fn class_baseline(
        &mut self,
        class: HardwareClassIndex,
        work: RequestWork,
        now: Timestamp,
    ) -> Option<ClassBaseline> {
        let expected = self.expected_latency(work, now)?;
        let [slowdown, load, responses] = self.classes[class].baseline.read(now);
        let responses = responses + PRIOR_RESPONSES;
        let micros = expected.as_micros() * (slowdown + PRIOR_RESPONSES) / responses;
        Some(ClassBaseline {
            latency: LatencyEstimate::from_micros(micros),
            load: (load + PRIOR_RESPONSES) / responses,
        })
    }

    /// Returns the current latency of a request with this baseline latency, by hardware class.
    pub(crate) fn expected_latency_by_class(
        &mut self,
        baseline: LatencyEstimate,
        now: Timestamp,
    ) -> IndexedTable<HardwareClassIndex, LatencyEstimate> {
        let micros = baseline.as_micros();
        let estimates = self.classes.iter_mut().map(|class| {
            let sums = class.slowdown.read(now);
            let responses = sums.weight + PRIOR_RESPONSES;
            LatencyEstimate::from_micros(micros * (sums.sum + PRIOR_RESPONSES) / responses)
        });
        IndexedTable::from_values(estimates.collect())
    }

    /// Returns the current slowdown of an endpoint.
    pub(crate) fn slowdown(&mut self, endpoint: EndpointWithClass, now: Timestamp) -> f64 {
        let class_mean = self.classes[endpoint.class].mean_slowdown(now);
        let own = self.endpoints[endpoint.index].read(now);
        own.mean_with_prior(class_mean, PRIOR_RESPONSES)
    }

    /// Returns the mean slowdowns of this instance's zone and of the other zones.
    pub(crate) fn zone_slowdowns(&mut self, now: Timestamp) -> ByZone<f64> {
        self.zones.means(now)
    }
}

/// Sums of one hardware class that are saved in a snapshot: current slowdowns and baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClassLatencyRecord {
    /// Sum of the current slowdowns and number of responses.
    pub(crate) slowdown: WeightedSum,
    /// Sums over the responses that baselines were learned from.
    pub(crate) baseline: ClassLatency,
}

/// Saving and restoring the sums in snapshots.
impl LatencyModel {
    /// Returns the sum of the slowdowns and the number of responses of an endpoint.
    pub(crate) fn endpoint_sums(&mut self, index: EndpointIndex, now: Timestamp) -> WeightedSum {
        self.endpoints[index].read(now)
    }

    /// Restores the sums of an endpoint.
    pub(crate) fn restore_endpoint(
        &mut self,
        index: EndpointIndex,
        sums: WeightedSum,
        now: Timestamp,
    ) {
        self.endpoints[index].set(sums, now);
    }

    /// Returns the sums of the current slowdowns and of the baseline of a hardware class.
    pub(crate) fn class_sums(
        &mut self,
        class: HardwareClassIndex,
        now: Timestamp,
    ) -> ClassLatencyRecord {
        let class = &mut self.classes[class];
        ClassLatencyRecord {
            slowdown: class.slowdown.read(now),
            baseline: class.baseline.read(now).into(),
        }
    }

    /// Restores the slowdowns of a hardware class.
    pub(crate) fn restore_class_slowdown(
        &mut self,
        class: HardwareClassIndex,
        sums: WeightedSum,
        now: Timestamp,
    ) {
        self.classes[class].slowdown.set(sums, now);
    }

    /// Restores the baseline of a hardware class.
    pub(crate) fn restore_class_baseline(
        &mut self,
        class: HardwareClassIndex,
        sums: ClassLatency,
        now: Timestamp,
    ) {
        self.classes[class].baseline.set(sums.into(), now);
    }

    /// Returns the sums of one route, or of all routes together; `None` if the route is unknown.
    pub(crate) fn route_sums(
        &mut self,
        route: Option<RouteIndex>,
        now: Timestamp,
    ) -> Option<RouteLatency> {
        let sums = self.routes.sums_mut(route)?;
        Some(sums.read(now).into())
    }

    /// Restores the sums of one route, or of all routes together; an unknown route is ignored.
    pub(crate) fn restore_route(
        &mut self,
        route: Option<RouteIndex>,
        sums: RouteLatency,
        now: Timestamp,
    ) {
        if let Some(restored) = self.routes.sums_mut(route) {
            restored.set(sums.into(), now);
        }
    }

    /// Returns the sums of the slowdowns and the numbers of responses of this instance's zone and
    /// of the other zones.
    pub(crate) fn zone_sums(&mut self, now: Timestamp) -> ZoneSlowdownSums {
        self.zones.read(now)
    }

    /// Restores the sums of the zones.
    pub(crate) fn restore_zones(&mut self, sums: ZoneSlowdownSums, now: Timestamp) {
        self.zones.restore(sums, now);
    }
}
