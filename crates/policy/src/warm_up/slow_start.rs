//! Tracks this instance's share of the capacity of each warming endpoint as slow-start credit.

use std::time::Duration;

use super::capacity::CapacityMeter;
use crate::endpoints::{Endpoint, EndpointTable, EndpointWithClass};
use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingRate, TimeConstant};
use crate::step_context::StepContext;
use crate::types::{EndpointIndex, HardwareClassIndex, Timestamp, fractional_micros};

/// Slow start uses this share of the load that a warming endpoint may receive from all instances
/// together.
const CAPACITY_SHARE: f64 = 0.65;
/// Time constant of the moving average of the arrival rate.
const ARRIVALS_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
/// The arrival rate is computed over at least this time, so that it is not excessive after the
/// first requests.
const MIN_ARRIVALS_LIFETIME: Duration = Duration::from_secs(1);
/// Credit accrues for at most this fraction of the overload window.
const MAX_CREDIT_WINDOW_FRACTION: f64 = 0.25;
const FULL_CAPACITY: f64 = 1.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the fraction of its full capacity that an endpoint is guaranteed to have now. An
/// endpoint whose start time is not listed counts as warm.
pub(crate) fn warm_up_fraction(endpoint: &Endpoint, context: &StepContext) -> f64 {
    let Some(started_at) = endpoint.process.started_at else {
        return FULL_CAPACITY;
    };
    let start = context.settings.warm_up_start;
    let age = fractional_micros(context.now - started_at);
    let progress = age / fractional_micros(context.settings.warm_up_time);
    (start + (FULL_CAPACITY - start) * progress).min(FULL_CAPACITY)
}

/// Requests that this instance may send to one warming endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStartCredit {
    /// Number of requests that may be sent now; a fraction below one allows no request.
    requests: f64,
    /// When the credit was last updated.
    updated_at: Timestamp,
}

impl SlowStartCredit {
    /// Adds the credit accrued since the last update, up to `maximum`. The rate is in requests per
    /// microsecond.
    fn accrue(&mut self, rate: f64, maximum: f64, now: Timestamp) {
        let accrued = rate * now.micros_since(self.updated_at) as f64;
        self.requests = (self.requests + accrued).min(maximum);
        self.updated_at = now;
    }
}

/// Slow-start state of all endpoints.
#[derive(Debug)]
pub(crate) struct SlowStart {
    credits: IndexedTable<EndpointIndex, SlowStartCredit>,
    capacity: CapacityMeter,
    arrivals: DecayingRate,
}

impl SlowStart {
    /// Creates the state without any endpoints.
    pub(crate) fn new() -> SlowStart {
        SlowStart {
            credits: IndexedTable::default(),
            capacity: CapacityMeter::default(),
            arrivals: DecayingRate::new(ARRIVALS_TIME_CONSTANT, MIN_ARRIVALS_LIFETIME),
        }
    }

    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: Timestamp) {
        self.arrivals.record(now);
    }

    /// Adds an endpoint without credit.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.credits.put(index, SlowStartCredit::default());
    }

    /// Adds a hardware class unless it is known.
    pub(crate) fn add_class(&mut self, class: HardwareClassIndex) {
        self.capacity.add_class(class);
    }

    /// Resets the credit of an endpoint at which a new process runs. Each instance starts with a
    /// different fraction of a request, which depends on its index and on the rank of the
    /// endpoint's name, so that the first requests of the instances are staggered.
    pub(crate) fn record_process_start(
        &mut self,
        index: EndpointIndex,
        name_rank: usize,
        context: &StepContext,
    ) {
        let instance_count = context.settings.instance_count;
        let offset = (name_rank as u32 + context.settings.instance_index) % instance_count;
        self.credits[index] = SlowStartCredit {
            requests: f64::from(offset) / f64::from(instance_count),
            updated_at: context.now,
        };
    }

    /// Deducts a request that has been sent to a warming endpoint.
    pub(crate) fn consume_credit(&mut self, index: EndpointIndex) {
        self.credits[index].requests -= 1.0;
    }

    /// Records a response of a warm endpoint.
    pub(crate) fn record_response(&mut self, class: HardwareClassIndex, now: Timestamp) {
        self.capacity.record_response(class, now);
    }

    /// Adds `time` to the time that warm endpoints of a hardware class have been in service.
    pub(crate) fn record_time_in_service(
        &mut self,
        class: HardwareClassIndex,
        time: Duration,
        now: Timestamp,
    ) {
        self.capacity.record_time_in_service(class, time, now);
    }

    /// Updates the credit of a warming endpoint and returns whether it covers a request.
    ///
    /// The capacity is approximated by the rate at which warm endpoints of the hardware class serve
    /// this instance. The shares of all instances therefore add up to the capacity, however
    /// unevenly traffic is distributed over the instances.
    pub(crate) fn has_credit(
        &mut self,
        endpoint: EndpointWithClass,
        endpoints: &EndpointTable,
        context: &StepContext,
    ) -> bool {
        let fraction = warm_up_fraction(&endpoints[endpoint.index], context);
        let capacity = self.capacity(endpoint.class, endpoints, context);
        let multiple = context.settings.overload_multiple;
        let rate = CAPACITY_SHARE * multiple * fraction * capacity / MICROS_PER_SECOND;
        let window = fractional_micros(context.settings.overload_window);
        let maximum = 1.0 + rate * window * MAX_CREDIT_WINDOW_FRACTION;
        let slow_start_credit = &mut self.credits[endpoint.index];
        slow_start_credit.accrue(rate, maximum, context.now);
        slow_start_credit.requests >= 1.0
    }

    /// Returns the requests per second that a warm endpoint serves for this instance. While that is
    /// not known, returns the arrival rate divided by the number of ready endpoints.
    fn capacity(
        &mut self,
        class: HardwareClassIndex,
        endpoints: &EndpointTable,
        context: &StepContext,
    ) -> f64 {
        let measured = self.capacity.responses_per_second(class, context.now);
        measured.unwrap_or_else(|| {
            let ready = endpoints.ready().count().max(1);
            let arrivals = self.arrivals.per_second(context.uptime(), context.now);
            arrivals / ready as f64
        })
    }
}
