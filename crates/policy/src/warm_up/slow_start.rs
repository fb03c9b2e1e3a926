//! This instance's share of the capacity of a warming endpoint.

use std::time::Duration;

use super::capacity::CapacityMeter;
use crate::endpoints::{Endpoint, EndpointTable, EndpointWithClass};
use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingRate, TimeConstant};
use crate::step_context::StepContext;
use crate::types::{EndpointIndex, HardwareClassIndex, Timestamp, fractional_micros};

/// The share that is used of what a warming endpoint can take from all instances together.
const CAPACITY_SHARE: f64 = 0.65;
/// Over what time the rate of arriving requests is averaged, and for how long it counts as measured
/// at least.
const ARRIVALS_TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(5);
const MIN_ARRIVALS_LIFETIME: Duration = Duration::from_secs(1);
/// Credit is saved up for at most this fraction of the overload window.
const MAX_CREDIT_WINDOW_FRACTION: f64 = 0.25;
const FULL_CAPACITY: f64 = 1.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The fraction of its capacity that an endpoint certainly has at present.
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
    /// Requests that may be sent now; whole ones count.
    requests: f64,
    /// When the credit was last brought up to date.
    updated_at: Timestamp,
}

impl SlowStartCredit {
    /// Adds what has been accrued since the last time, up to a maximum; the rate is in requests a
    /// microsecond.
    fn accrue(&mut self, rate: f64, maximum: f64, now: Timestamp) {
        let accrued = rate * now.micros_since(self.updated_at) as f64;
        self.requests = (self.requests + accrued).min(maximum);
        self.updated_at = now;
    }
}

/// Slow start of all endpoints.
#[derive(Debug)]
pub(crate) struct SlowStart {
    credits: IndexedTable<EndpointIndex, SlowStartCredit>,
    capacity: CapacityMeter,
    arrivals: DecayingRate,
}

impl SlowStart {
    /// Without any endpoint yet.
    pub(crate) fn new() -> SlowStart {
        SlowStart {
            credits: IndexedTable::default(),
            capacity: CapacityMeter::default(),
            arrivals: DecayingRate::new(ARRIVALS_TIME_CONSTANT, MIN_ARRIVALS_LIFETIME),
        }
    }

    /// A request has arrived.
    pub(crate) fn record_arrival(&mut self, now: Timestamp) {
        self.arrivals.record(now);
    }

    /// A new endpoint has taken this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.credits.put(index, SlowStartCredit::default());
    }

    /// Makes room for a hardware class unless it is known.
    pub(crate) fn add_class(&mut self, class: HardwareClassIndex) {
        self.capacity.add_class(class);
    }

    /// Another process runs at an endpoint. Each instance starts with another fraction of a
    /// request, in the order of the endpoints' names, so that the instances take turns with the
    /// first requests.
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

    /// A request has been sent to a warming endpoint.
    pub(crate) fn consume_credit(&mut self, index: EndpointIndex) {
        self.credits[index].requests -= 1.0;
    }

    /// A warm endpoint has responded.
    pub(crate) fn record_response(&mut self, class: HardwareClassIndex, now: Timestamp) {
        self.capacity.record_response(class, now);
    }

    /// A warm endpoint has been in service for a further `time`.
    pub(crate) fn record_ready_time(
        &mut self,
        class: HardwareClassIndex,
        time: Duration,
        now: Timestamp,
    ) {
        self.capacity.record_ready_time(class, time, now);
    }

    /// Whether this instance may send a request to a warming endpoint now.
    ///
    /// Its share of what the endpoint can take is accrued over time and may be used once it amounts
    /// to a request. The rate at which warm endpoints of the class serve this instance stands in
    /// for the capacity, so that the shares of all instances add up to it however unevenly traffic
    /// is spread over them.
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

    /// Requests a second that a warm endpoint serves for this instance, or an even part of the
    /// arriving ones while that is not known.
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
