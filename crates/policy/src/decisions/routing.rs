//! Routing: which endpoint an attempt goes to.

use std::collections::BTreeMap;

use crate::Balancer;
use crate::balancer::draw;
use crate::candidates::Candidates;

/// The part of the time left in which an endpoint should usually answer.
const TIME_SHARE: f64 = 0.6;
/// Answers at the baseline that a class, an endpoint, and a zone start with.
const SLOWDOWN_PRIOR: f64 = 2.0;
const ZONE_PRIOR: f64 = 5.0;
/// The own zone is preferred while its slowdown is at most this share of the others', …
const OWN_ZONE_RATIO: f64 = 0.8;
/// … and so many times the price of crossing more, which also weighs on endpoints there.
const CROSSING_FACTOR: f64 = 10.0;
/// No endpoint counts as faster than this.
const MIN_SLOWDOWN: f64 = 0.1;

impl Balancer {
    /// An endpoint for a request: a warming one that is due a request, else one of two drawn by
    /// chance.
    pub(super) fn choose_endpoint(&mut self, id: u64) -> Option<usize> {
        let now = self.clock.now;
        let open = self.open_endpoints(id);
        let request = self.requests.get(id)?;
        let (route, cost) = (request.route, request.cost);
        let left = TIME_SHARE * request.objective_deadline.micros_since(now) as f64;
        let typical = self.latency.expected(route, cost, now).unwrap_or(0.0);
        let expected = self
            .endpoints
            .expected_by_class(typical, SLOWDOWN_PRIOR, now);
        let mut candidates = Candidates::default();
        let mut exposable = BTreeMap::new();
        for index in open {
            let endpoint = &self.endpoints[index];
            let (build, class) = (endpoint.build, endpoint.hardware_class);
            let warm_up_fraction = self.warm_up_fraction(endpoint);
            let may_expose = *exposable
                .entry(build)
                .or_insert_with(|| self.may_expose(build, route));
            if !may_expose {
                continue;
            }
            if warm_up_fraction < 1.0 {
                if self.has_slow_start_credit(index) && expected[class] < left * warm_up_fraction {
                    return Some(index);
                }
            } else if self.is_under_evaluation(build) {
                candidates.canary.push(index);
            } else {
                candidates.released.push(index);
            }
        }
        self.keep_fast_enough(&mut candidates.released, &expected, left);
        self.keep_fast_enough(&mut candidates.canary, &expected, left);
        // Warming endpoints have had theirs, and would leave it to the warm ones of their build.
        let canary_first = self.random.rand_float() < candidates.canary_share();
        let side = candidates.into_side(canary_first);
        self.choose_of_two(&side)
    }

    /// Endpoints that have a place for the request and may take it; those that it has not tried, if
    /// there are any.
    fn open_endpoints(&self, id: u64) -> Vec<usize> {
        let Some(request) = self.requests.get(id) else {
            return Vec::new();
        };
        let lowest_build = self.lowest_build(request);
        let all_ejected = self.endpoints.all_ejected();
        let is_open = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            let has_place = if endpoint.health.ejected {
                all_ejected && self.may_try_ejected(endpoint)
            } else {
                endpoint.limit.admits(endpoint.in_flight)
            };
            has_place
                && endpoint.is_ready()
                && endpoint.build >= lowest_build
                && self.may_attempt(request, endpoint)
        };
        let open: Vec<usize> = (0..self.endpoints.len()).filter(is_open).collect();
        let is_new = |index: &usize| request.attempts.iter().all(|a| a.endpoint != *index);
        let new: Vec<usize> = open.iter().copied().filter(is_new).collect();
        if new.is_empty() { open } else { new }
    }

    /// Heavy requests go where they can be done in time, and leave the rest to light ones.
    fn keep_fast_enough(&self, side: &mut Vec<usize>, expected: &[f64], left: f64) {
        let is_fast = |index: &usize| expected[self.endpoints[*index].hardware_class] <= left;
        if side.iter().any(is_fast) {
            side.retain(is_fast);
        }
    }

    /// The cheaper of two; one of them from the own zone, unless that is so much busier that
    /// crossing is worth it.
    fn choose_of_two(&mut self, side: &[usize]) -> Option<usize> {
        if side.is_empty() {
            return None;
        }
        let now = self.clock.now;
        let is_own = |index: &usize| !self.endpoints[*index].in_other_zone;
        let own: Vec<usize> = side.iter().copied().filter(is_own).collect();
        let zones = self.zone_slowdowns.read(ZONE_PRIOR, now);
        let ratio = OWN_ZONE_RATIO + CROSSING_FACTOR * self.settings.cross_zone_price;
        let prefers_own = zones.own <= ratio * zones.other && !own.is_empty();
        let first = draw(&mut self.random, if prefers_own { &own } else { side });
        let second = draw(&mut self.random, side);
        let second_cost = self.endpoint_cost(second);
        Some(if second_cost < self.endpoint_cost(first) {
            second
        } else {
            first
        })
    }

    /// An endpoint's slowdown, filled up with its class's, times its load against its class.
    fn endpoint_cost(&mut self, index: usize) -> f64 {
        let now = self.clock.now;
        let load = self.endpoint_load(index);
        let slowdown = self.endpoints.slowdown(index, SLOWDOWN_PRIOR, now);
        let crossing = f64::from(self.endpoints[index].in_other_zone);
        let price = 1.0 + crossing * CROSSING_FACTOR * self.settings.cross_zone_price;
        let relative_load = (load.in_flight + 1.0) / (load.class_mean + 1.0);
        relative_load * slowdown.max(MIN_SLOWDOWN) * price
    }
}
