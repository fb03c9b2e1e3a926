//! The concurrency limits of all endpoints, and the limit on all attempts together.

use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, LimitSample};
use crate::indexed_table::IndexedTable;
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, EndpointIndex, fractional_micros};

/// Attempts that may be in flight at first, before the limit adapts: at an endpoint that has run
/// for long, …
const INITIAL_LIMIT: f64 = 6.0;
/// … at one that returns to service after an ejection.
const LIMIT_AFTER_EJECTION: f64 = 2.0;
/// … and at one that warms up.
const WARMING_LIMIT: f64 = 1.0;
/// Attempts from all instances together that each endpoint in service takes under any congestion:
/// with fewer, slow endpoints would idle.
const MIN_ATTEMPTS_PER_ENDPOINT: f64 = 2.0;
/// Time-outs are caused by the load of the fleet while more than one response in this number is
/// slow.
const OVERLOAD_RESPONSES_PER_SLOW: f64 = 10.0;

/// The end of an attempt as far as concurrency limits depend on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyObservation {
    /// The endpoint.
    pub(crate) endpoint: EndpointIndex,
    /// This instance's attempts in flight there.
    pub(crate) endpoint_in_flight: f64,
    /// How the attempt ended.
    pub(crate) outcome: AttemptOutcome,
    /// How long it took.
    pub(crate) latency: Duration,
    /// The latency objective of its route.
    pub(crate) objective: Duration,
}

/// All concurrency limits of an instance.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimits {
    endpoints: IndexedTable<EndpointIndex, ConcurrencyLimit>,
    total: ConcurrencyLimit,
    /// Attempts in flight that count towards the limit on all attempts.
    in_flight: f64,
}

impl ConcurrencyLimits {
    /// Without any endpoint yet, and with no limit on all attempts.
    pub(crate) fn new() -> ConcurrencyLimits {
        ConcurrencyLimits {
            endpoints: IndexedTable::default(),
            total: ConcurrencyLimit::new(f64::INFINITY),
            in_flight: 0.0,
        }
    }

    /// A new endpoint has taken this index.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints.put(index, ConcurrencyLimit::new(0.0));
    }

    /// Another process runs at an endpoint.
    pub(crate) fn record_process_start(&mut self, index: EndpointIndex, warms_up: bool) {
        let limit = if warms_up {
            WARMING_LIMIT
        } else {
            INITIAL_LIMIT
        };
        self.endpoints[index] = ConcurrencyLimit::new(limit);
    }

    /// An endpoint has returned to service after an ejection.
    pub(crate) fn return_to_service(&mut self, index: EndpointIndex) {
        self.endpoints[index] = ConcurrencyLimit::new(LIMIT_AFTER_EJECTION);
    }

    /// Whether one more attempt is within the limit of an endpoint.
    pub(crate) fn admits_at(&self, index: EndpointIndex, in_flight: f64) -> bool {
        self.endpoints[index].admits(in_flight)
    }

    /// Whether one more attempt is within the limit on all attempts.
    pub(crate) fn admits(&self) -> bool {
        self.total.admits(self.in_flight)
    }

    /// More than half of all responses took too large a share of their latency objective.
    pub(crate) fn is_congested(&self) -> bool {
        self.total.is_congested()
    }

    /// The fleet is so slow that a time-out does not make its endpoint less likely to be chosen.
    pub(crate) fn fleet_is_overloaded(&self) -> bool {
        self.total.exceeds_one_slow_per(OVERLOAD_RESPONSES_PER_SLOW)
    }

    /// An attempt has been sent.
    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1.0;
    }

    /// Sets how many attempts in flight count towards the limit on all attempts.
    pub(crate) fn set_in_flight(&mut self, in_flight: f64) {
        self.in_flight = in_flight;
    }

    /// Adapts the limits to the end of an attempt. An instance with little traffic learns from all
    /// of its attempts together.
    pub(crate) fn record(&mut self, observed: &LatencyObservation, context: &StepContext) {
        let shows_load = matches!(
            observed.outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::Overloaded | AttemptOutcome::TimedOut
        );
        if context.stalled || !shows_load {
            return;
        }
        let ratio = if observed.outcome == AttemptOutcome::Succeeded {
            fractional_micros(observed.latency) / fractional_micros(observed.objective)
        } else {
            1.0
        };
        let endpoint_sample = LimitSample {
            ratio,
            objective: observed.objective,
            in_flight: observed.endpoint_in_flight,
        };
        self.endpoints[observed.endpoint].record(endpoint_sample, context.now);
        if observed.outcome != AttemptOutcome::TimedOut {
            let total_sample = LimitSample {
                in_flight: self.in_flight,
                ..endpoint_sample
            };
            self.total.record(total_sample, context.now);
        }
    }

    /// Lowers the limit on all attempts to near what is in use.
    pub(crate) fn lower_idle_limit(&mut self) {
        self.total.lower_idle_limit(self.in_flight);
    }

    /// Keeps the limit on all attempts at this instance's share of what endpoints take under any
    /// congestion. After a stall there is no limit, because a stall looks like congestion.
    pub(crate) fn enforce_minimum(&mut self, endpoints_in_service: usize, context: &StepContext) {
        let instances = f64::from(context.settings.instance_count);
        let minimum = if context.stalled {
            f64::INFINITY
        } else {
            MIN_ATTEMPTS_PER_ENDPOINT * endpoints_in_service as f64 / instances
        };
        self.total.raise_to(minimum);
    }
}
