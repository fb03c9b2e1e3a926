//! Request costs and priorities.

use crate::latency::LatencyEstimate;
use crate::settings::Route;
use crate::types::fractional_micros;

/// Factor by which the highest recorded priority decays with each request, so that it adapts
/// downwards too.
const HIGHEST_PRIORITY_DECAY: f64 = 0.99;
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// Amount of work that a request causes, and the value of its response for prioritization.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CostAndValue {
    /// The client's cost hint, or else the latency objective in milliseconds, on the assumption
    /// that clients allow more time for longer requests.
    pub(crate) cost: f64,
    /// Multiplier of the route's priority weight: the cost hint, or 1 without one.
    pub(crate) value: f64,
}

impl CostAndValue {
    /// Returns the cost of a request; cost hints that are not positive are ignored.
    pub(crate) fn new(route: &Route, cost_hint: Option<f64>) -> CostAndValue {
        let objective_millis = fractional_micros(route.latency_objective) / MICROS_PER_MILLISECOND;
        match cost_hint.filter(|hint| *hint > 0.0) {
            Some(hint) => CostAndValue {
                cost: hint,
                value: hint,
            },
            None => CostAndValue {
                cost: objective_millis,
                value: 1.0,
            },
        }
    }
}

/// Converts the priorities of requests to levels relative to the highest recent priority.
#[derive(Debug, Default)]
pub(crate) struct PriorityScale {
    /// Highest recent priority; each request multiplies it by [`HIGHEST_PRIORITY_DECAY`].
    highest: f64,
}

impl PriorityScale {
    /// Returns the priority level of a request: the rounded binary logarithm of its priority
    /// relative to the highest recent one.
    ///
    /// The priority is the request's weighted value per unit of expected latency. Levels are a
    /// factor of two apart, because otherwise the lower of two nearly equal priorities would
    /// starve under congestion.
    pub(crate) fn level(
        &mut self,
        route: &Route,
        cost_and_value: CostAndValue,
        expected: Option<LatencyEstimate>,
    ) -> i32 {
        let expected_micros = expected.map_or(1.0, LatencyEstimate::as_micros);
        let priority = route.priority_weight * cost_and_value.value / expected_micros.max(1.0);
        self.highest = priority.max(HIGHEST_PRIORITY_DECAY * self.highest);
        (priority / self.highest).log2().round() as i32
    }
}
