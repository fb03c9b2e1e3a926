//! Baseline latency by route: the latency of a request of a given cost on a healthy fleet.

use std::time::Duration;

use super::estimate::{LatencyEstimate, RequestWork};
use crate::indexed_table::IndexedTable;
use crate::statistics::{DecayingSums, TimeConstant};
use crate::types::{RouteIndex, Timestamp, fractional_micros};

/// Time constant of the baselines. It is long, so that a baseline does not follow a fleet that
/// degrades.
const TIME_CONSTANT: TimeConstant = TimeConstant::from_secs(30);
/// Number of responses, of all routes together, that an estimate needs. It is also the weight of
/// the mean of all routes as the prior for a single route.
const MIN_RESPONSES: f64 = 5.0;

/// Latencies by route, and of all routes together as the prior for routes with few responses.
#[derive(Debug)]
pub(super) struct RouteBaselines {
    /// For each route, the sums of [`RouteLatency`](crate::snapshot::RouteLatency).
    routes: IndexedTable<RouteIndex, DecayingSums<3>>,
    /// The same sums over the responses of all routes.
    all_routes: DecayingSums<3>,
}

impl RouteBaselines {
    /// Creates baselines without measurements, for this number of routes.
    pub(super) fn new(routes: usize) -> RouteBaselines {
        let unknown = DecayingSums::new(TIME_CONSTANT);
        RouteBaselines {
            routes: IndexedTable::from_values(vec![unknown; routes]),
            all_routes: unknown,
        }
    }

    /// Records a response.
    pub(super) fn record(&mut self, work: RequestWork, latency: Duration, now: Timestamp) {
        let values = [fractional_micros(latency), work.cost, 1.0];
        self.all_routes.add(values, now);
        self.routes[work.route].add(values, now);
    }

    /// Returns the baseline latency of this work, if there are enough measurements.
    pub(super) fn expected_latency(
        &mut self,
        work: RequestWork,
        now: Timestamp,
    ) -> Option<LatencyEstimate> {
        let [all_latency, all_cost, all_responses] = self.all_routes.read(now);
        let [own_latency, own_cost, _] = self.routes[work.route].read(now);
        if all_responses < MIN_RESPONSES {
            return None;
        }
        let prior_cost = MIN_RESPONSES * all_cost / all_responses;
        let prior_latency = prior_cost * all_latency / all_cost;
        let micros = (own_latency + prior_latency) / (own_cost + prior_cost) * work.cost;
        Some(LatencyEstimate::from_micros(micros))
    }

    /// Returns the baseline latency of each route for one unit of cost; infinite if it is not
    /// known.
    pub(super) fn expected_latency_per_cost(
        &mut self,
        now: Timestamp,
    ) -> IndexedTable<RouteIndex, LatencyEstimate> {
        let routes = (0..self.routes.len()).map(RouteIndex::new);
        let estimates = routes.map(|route| {
            self.expected_latency(RequestWork { route, cost: 1.0 }, now)
                .unwrap_or(LatencyEstimate::INFINITE)
        });
        IndexedTable::from_values(estimates.collect())
    }

    /// Returns the decayed number of responses of all routes together, as of the last reading.
    pub(super) fn response_count(&self) -> f64 {
        let [_, _, responses] = self.all_routes.last_read();
        responses
    }

    /// Returns the sums of one route, or of all routes together; `None` if the route is unknown.
    pub(super) fn sums_mut(&mut self, route: Option<RouteIndex>) -> Option<&mut DecayingSums<3>> {
        match route {
            Some(route) => self.routes.get_mut(route),
            None => Some(&mut self.all_routes),
        }
    }
}
