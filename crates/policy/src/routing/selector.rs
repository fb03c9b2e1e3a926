//! Endpoint selection.
//!
//! A warming endpoint with slow-start credit is chosen first. Otherwise two warm endpoints are
//! sampled at random, and the one with the lower cost is chosen (power of two choices). The cost is
//! the product of the load relative to the hardware class, the slowdown, and a factor for
//! cross-zone traffic.

use std::collections::BTreeMap;

use oorandom::Rand64;

use super::candidates::Candidates;
use crate::admission::ConcurrencyLimits;
use crate::endpoints::{Endpoint, EndpointLoads};
use crate::health::HealthChecker;
use crate::indexed_table::IndexedTable;
use crate::latency::{LatencyEstimate, LatencyModel, RequestWork};
use crate::requests::Request;
use crate::retries::may_attempt;
use crate::rollout::{ExposureLimiter, RolloutView};
use crate::statistics::WindowKey;
use crate::step_context::StepContext;
use crate::types::{BuildNumber, EndpointIndex, HardwareClassIndex, RouteIndex};
use crate::warm_up::{SlowStart, warm_up_fraction};

/// Endpoints are avoided if their expected latency exceeds this share of the time that remains
/// until the request misses its latency objective.
const RESPONSE_TIME_SHARE: f64 = 0.6;
/// This instance's zone is preferred while its slowdown is at most this multiple, plus
/// [`CROSS_ZONE_FACTOR`] times the cross-zone price, of the slowdown of the other zones.
const OWN_ZONE_SLOWDOWN_RATIO: f64 = 0.8;
/// Multiplier of the cross-zone price, both in the preference for this instance's zone and in the
/// cost of endpoints in other zones.
const CROSS_ZONE_FACTOR: f64 = 10.0;
/// Lower bound of the slowdown, the latency divided by the baseline latency, in the cost of an
/// endpoint.
const MIN_SLOWDOWN: f64 = 0.1;

/// State that endpoint selection depends on.
pub(crate) struct RoutingInputs<'a> {
    pub(crate) view: RolloutView<'a>,
    pub(crate) health: &'a HealthChecker,
    pub(crate) limits: &'a ConcurrencyLimits,
    /// Limits the traffic to builds under evaluation.
    pub(crate) exposure: &'a ExposureLimiter,
    pub(crate) loads: &'a mut EndpointLoads,
    /// Latencies of routes, endpoints, hardware classes and zones.
    pub(crate) latency: &'a mut LatencyModel,
    /// Slow-start credit of warming endpoints.
    pub(crate) slow_start: &'a mut SlowStart,
}

/// Selects the endpoint for one attempt.
pub(crate) struct EndpointSelector<'a> {
    inputs: RoutingInputs<'a>,
    context: &'a mut StepContext,
}

impl<'a> EndpointSelector<'a> {
    /// Creates a selector for the current step.
    pub(crate) fn new(
        inputs: RoutingInputs<'a>,
        context: &'a mut StepContext,
    ) -> EndpointSelector<'a> {
        EndpointSelector { inputs, context }
    }

    /// Returns an endpoint for a request, if there is one. It must run `lowest_build` or a later
    /// build.
    pub(crate) fn choose(
        &mut self,
        request: &Request,
        lowest_build: BuildNumber,
    ) -> Option<EndpointIndex> {
        let eligible = self.eligible_endpoints(request, lowest_build);
        let time_limit = self.time_limit(request);
        let expected = self.expected_latency_by_class(request);
        let mut candidates = Candidates::default();
        let mut exposure_allowed = BTreeMap::new();
        for index in eligible {
            let endpoint = &self.inputs.view.endpoints[index];
            let build = endpoint.build();
            let may_expose = *exposure_allowed
                .entry(build)
                .or_insert_with(|| self.may_expose(build, request.route));
            if !may_expose {
                continue;
            }
            let warm_up_fraction = warm_up_fraction(endpoint, self.context);
            if warm_up_fraction < 1.0 {
                let class = endpoint.hardware_class;
                let is_fast_enough = expected[class] < time_limit.scaled(warm_up_fraction);
                if self.has_slow_start_credit(index) && is_fast_enough {
                    return Some(index);
                }
            } else if self.inputs.view.is_under_evaluation(build) {
                candidates.canary.push(index);
            } else {
                candidates.released.push(index);
            }
        }
        self.retain_within_time_limit(&mut candidates.released, &expected, time_limit);
        self.retain_within_time_limit(&mut candidates.canary, &expected, time_limit);
        // The probability of an arm is its share of the warm endpoints. Warming endpoints were
        // considered above; if they counted here too, their share of the traffic would go to the
        // warm endpoints of the same build.
        let prefers_canary = self.context.random.rand_float() < candidates.canary_share();
        let arm = candidates.into_preferred_arm(prefers_canary);
        self.choose_cheaper_of_two(&arm)
    }

    /// Returns the highest expected latency at which an endpoint counts as fast enough.
    fn time_limit(&self, request: &Request) -> LatencyEstimate {
        let remaining = request.objective_deadline.micros_since(self.context.now);
        LatencyEstimate::from_micros(RESPONSE_TIME_SHARE * remaining as f64)
    }

    /// Returns the current expected latency of the request by hardware class.
    fn expected_latency_by_class(
        &mut self,
        request: &Request,
    ) -> IndexedTable<HardwareClassIndex, LatencyEstimate> {
        let now = self.context.now;
        let work = RequestWork {
            route: request.route,
            cost: request.cost,
        };
        let baseline = self
            .inputs
            .latency
            .expected_latency(work, now)
            .unwrap_or_default();
        self.inputs.latency.expected_latency_by_class(baseline, now)
    }

    /// Returns the endpoints eligible for the request. If it has not yet been sent to some of them,
    /// only those are returned.
    fn eligible_endpoints(
        &self,
        request: &Request,
        lowest_build: BuildNumber,
    ) -> Vec<EndpointIndex> {
        let endpoints = self.inputs.view.endpoints;
        let panic_mode = self.inputs.health.all_ejected(endpoints);
        let is_eligible = |index: EndpointIndex, endpoint: &Endpoint| {
            self.has_capacity(index, panic_mode)
                && endpoint.build() >= lowest_build
                && may_attempt(request, endpoint, endpoints, self.context)
        };
        let eligible: Vec<EndpointIndex> = endpoints
            .ready()
            .filter(|(index, endpoint)| is_eligible(*index, endpoint))
            .map(|(index, _)| index)
            .collect();
        let is_untried = |index: &EndpointIndex| !request.was_sent_to(*index);
        let untried: Vec<EndpointIndex> = eligible.iter().copied().filter(is_untried).collect();
        if untried.is_empty() {
            eligible
        } else {
            untried
        }
    }

    /// Returns whether the health and the concurrency limit of an endpoint allow one more attempt.
    /// If all endpoints are ejected (panic mode), ejected ones may be tried.
    fn has_capacity(&self, index: EndpointIndex, panic_mode: bool) -> bool {
        let RoutingInputs { health, limits, .. } = &self.inputs;
        let in_flight = self.inputs.loads.in_flight(index);
        if health.is_ejected(index) {
            panic_mode && health.may_send_trial_request(index, in_flight, self.context.now)
        } else {
            limits.admits_at(index, in_flight)
        }
    }

    fn may_expose(&self, build: BuildNumber, route: RouteIndex) -> bool {
        let key = WindowKey { build, route };
        let RoutingInputs { exposure, view, .. } = &self.inputs;
        exposure.may_attempt(key, *view, self.context)
    }

    fn has_slow_start_credit(&mut self, index: EndpointIndex) -> bool {
        let endpoints = self.inputs.view.endpoints;
        let endpoint = endpoints.with_class(index);
        self.inputs
            .slow_start
            .has_credit(endpoint, endpoints, self.context)
    }

    /// Retains the endpoints that are expected to respond in time, if there are any, so that long
    /// requests leave the slow endpoints to short ones.
    fn retain_within_time_limit(
        &self,
        arm: &mut Vec<EndpointIndex>,
        expected: &IndexedTable<HardwareClassIndex, LatencyEstimate>,
        time_limit: LatencyEstimate,
    ) {
        let endpoints = self.inputs.view.endpoints;
        let is_fast_enough =
            |index: &EndpointIndex| expected[endpoints[*index].hardware_class] <= time_limit;
        if arm.iter().any(is_fast_enough) {
            arm.retain(is_fast_enough);
        }
    }

    /// Samples two endpoints at random and returns the one with the lower cost. The first is
    /// sampled from this instance's zone, unless that zone is so slow that the cross-zone price is
    /// worth paying.
    fn choose_cheaper_of_two(&mut self, arm: &[EndpointIndex]) -> Option<EndpointIndex> {
        if arm.is_empty() {
            return None;
        }
        let own_zone = self.in_own_zone(arm);
        let prefers_own = self.prefers_own_zone() && !own_zone.is_empty();
        let first_pool = if prefers_own { &own_zone } else { arm };
        let first = choose_random(&mut self.context.random, first_pool);
        let second = choose_random(&mut self.context.random, arm);
        let second_cost = self.endpoint_cost(second);
        let second_is_better = second_cost < self.endpoint_cost(first);
        Some(if second_is_better { second } else { first })
    }

    fn in_own_zone(&self, arm: &[EndpointIndex]) -> Vec<EndpointIndex> {
        let endpoints = self.inputs.view.endpoints;
        let is_own = |index: &EndpointIndex| !endpoints[*index].in_other_zone;
        arm.iter().copied().filter(is_own).collect()
    }

    fn prefers_own_zone(&mut self) -> bool {
        let slowdowns = self.inputs.latency.zone_slowdowns(self.context.now);
        let ratio =
            OWN_ZONE_SLOWDOWN_RATIO + CROSS_ZONE_FACTOR * self.context.settings.cross_zone_price;
        slowdowns.own <= ratio * slowdowns.other
    }

    /// Returns the cost of sending an attempt to an endpoint.
    fn endpoint_cost(&mut self, index: EndpointIndex) -> f64 {
        let now = self.context.now;
        let endpoints = self.inputs.view.endpoints;
        let endpoint = endpoints.with_class(index);
        let load = self.inputs.loads.load(endpoint, now);
        let slowdown = self.inputs.latency.slowdown(endpoint, now);
        let zones_crossed = f64::from(endpoints[index].in_other_zone);
        let price =
            1.0 + zones_crossed * CROSS_ZONE_FACTOR * self.context.settings.cross_zone_price;
        let relative_load = (load.in_flight + 1.0) / (load.class_mean + 1.0);
        relative_load * slowdown.max(MIN_SLOWDOWN) * price
    }
}

/// Returns a random element of a non-empty pool.
fn choose_random(random: &mut Rand64, pool: &[EndpointIndex]) -> EndpointIndex {
    pool[(random.rand_u64() % pool.len() as u64) as usize]
}
