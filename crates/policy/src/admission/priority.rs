//! Costs and priorities of requests.

use crate::latency::LatencyEstimate;
use crate::settings::Route;
use crate::types::fractional_micros;

/// The highest priority seen decays by this factor with each request, so that it can fall again.
const HIGHEST_PRIORITY_DECAY: f64 = 0.99;
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// How much work a request is, and what its answer is worth by that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestCost {
    /// As hinted by the client, or the latency objective in milliseconds: clients allow longer
    /// requests more time.
    pub(crate) cost: f64,
    /// The cost hint, or 1 without one. It multiplies the priority weight of the route.
    pub(crate) value: f64,
}

impl RequestCost {
    /// The cost of a request of this route.
    pub(crate) fn new(route: &Route, cost_hint: Option<f64>) -> RequestCost {
        let objective_millis = fractional_micros(route.latency_objective) / MICROS_PER_MILLISECOND;
        match cost_hint.filter(|hint| *hint > 0.0) {
            Some(hint) => RequestCost {
                cost: hint,
                value: hint,
            },
            None => RequestCost {
                cost: objective_millis,
                value: 1.0,
            },
        }
    }
}

/// The scale on which the priorities of requests are compared.
#[derive(Debug, Default)]
pub(crate) struct PriorityScale {
    /// The highest priority that a request has had lately.
    highest: f64,
}

impl PriorityScale {
    /// The priority level of a request: steps of two below the highest priority.
    ///
    /// Its priority is its value per expected time. Levels are steps of two, because under
    /// congestion the lower one of two routes with nearly equal priorities would starve otherwise.
    pub(crate) fn level(
        &mut self,
        route: &Route,
        cost: RequestCost,
        expected: Option<LatencyEstimate>,
    ) -> i32 {
        let expected_micros = expected.map_or(1.0, LatencyEstimate::as_micros);
        let priority = route.priority_weight * cost.value / expected_micros.max(1.0);
        self.highest = priority.max(HIGHEST_PRIORITY_DECAY * self.highest);
        (priority / self.highest).log2().round() as i32
    }
}
