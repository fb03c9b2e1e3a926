//! Concurrency limits per endpoint, and the total limit across all endpoints.

use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, LimitSample};
use crate::indexed_table::IndexedTable;
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, EndpointIndex, fractional_micros};

/// Initial limit of an endpoint that has already warmed up.
const INITIAL_LIMIT: f64 = 6.0;
/// Initial limit of an endpoint that returns to service after an ejection.
const LIMIT_AFTER_EJECTION: f64 = 2.0;
/// Initial limit of a warming endpoint.
const WARMING_LIMIT: f64 = 1.0;
/// Lower bound of the total limit, per endpoint in service and summed over all instances. With
/// fewer attempts in flight, slow endpoints would idle.
const MIN_ATTEMPTS_PER_ENDPOINT: f64 = 2.0;
/// Timeouts are attributed to the load of the whole fleet while more than one in this many
/// responses is slow.
const OVERLOAD_RESPONSES_PER_SLOW: f64 = 10.0;

/// Result of an attempt, with the data that the concurrency limits need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyObservation {
    /// Endpoint to which the attempt was sent.
    pub(crate) endpoint: EndpointIndex,
    /// Number of this instance's attempts in flight at the endpoint.
    pub(crate) endpoint_in_flight: f64,
    /// How the attempt ended.
    pub(crate) outcome: AttemptOutcome,
    /// Time from sending the attempt to its end.
    pub(crate) latency: Duration,
    /// Latency objective of the route.
    pub(crate) objective: Duration,
}

/// The concurrency limits of an instance.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimits {
    endpoints: IndexedTable<EndpointIndex, ConcurrencyLimit>,
    total: ConcurrencyLimit,
    /// Number of attempts in flight that count towards the total limit.
    in_flight: f64,
}

impl ConcurrencyLimits {
    /// Creates an empty set of limits; the total is unlimited at first.
    pub(crate) fn new() -> ConcurrencyLimits {
        ConcurrencyLimits {
            endpoints: IndexedTable::default(),
            total: ConcurrencyLimit::new(f64::INFINITY),
            in_flight: 0.0,
        }
    }

    /// Adds an endpoint that admits no attempts until its process is known.
    pub(crate) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints.put(index, ConcurrencyLimit::new(0.0));
    }

    /// Resets the limit of an endpoint at which a new process runs.
    pub(crate) fn record_process_start(&mut self, index: EndpointIndex, warms_up: bool) {
        let limit = if warms_up {
            WARMING_LIMIT
        } else {
            INITIAL_LIMIT
        };
        self.endpoints[index] = ConcurrencyLimit::new(limit);
    }

    /// Resets the limit of an endpoint that has returned to service after an ejection.
    pub(crate) fn return_to_service(&mut self, index: EndpointIndex) {
        self.endpoints[index] = ConcurrencyLimit::new(LIMIT_AFTER_EJECTION);
    }

    /// Returns whether the limit of an endpoint allows one more attempt.
    pub(crate) fn admits_at(&self, index: EndpointIndex, in_flight: f64) -> bool {
        self.endpoints[index].admits(in_flight)
    }

    /// Returns whether the total limit allows one more attempt.
    pub(crate) fn admits(&self) -> bool {
        self.total.admits(self.in_flight)
    }

    /// Returns whether more than half of all responses are slow for their latency objective.
    pub(crate) fn is_congested(&self) -> bool {
        self.total.is_congested()
    }

    /// Returns whether the fleet as a whole is overloaded, in which case a timeout does not count
    /// against its endpoint.
    pub(crate) fn fleet_is_overloaded(&self) -> bool {
        self.total.exceeds_one_slow_per(OVERLOAD_RESPONSES_PER_SLOW)
    }

    /// Increments the number of attempts in flight.
    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1.0;
    }

    /// Sets the number of attempts in flight that count towards the total limit.
    pub(crate) fn set_in_flight(&mut self, in_flight: f64) {
        self.in_flight = in_flight;
    }

    /// Adapts the limits to the result of an attempt. The total limit learns from the attempts at
    /// all endpoints, which gives an instance with little traffic enough samples.
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

    /// Lowers the total limit towards the number of attempts in flight.
    pub(crate) fn lower_idle_limit(&mut self) {
        self.total.lower_idle_limit(self.in_flight);
    }

    /// Keeps the total limit at or above this instance's share of [`MIN_ATTEMPTS_PER_ENDPOINT`].
    /// After a stall of this instance the limit is lifted, because latencies measured across the
    /// stall are indistinguishable from latencies under congestion.
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
