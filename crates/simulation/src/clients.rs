//! Clients: request arrivals, routes and retries.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use tidescale_policy::settings::Idempotency;
use tidescale_policy::types::{RequestId, RouteIndex, Timestamp, fractional_micros};

use crate::ids::InstanceIndex;
use crate::parameters::{MICROS_PER_SECOND, REQUEST_DEADLINE, ROUTES};
use crate::random_stream::{RandomStream, stream};

/// Range of the fleet's utilization: the mean work that arrives, as a fraction of the capacity.
const UTILIZATION: Range<f64> = 0.4..0.6;
/// Range of an instance's traffic weight relative to other instances.
const TRAFFIC_WEIGHT: Range<f64> = 0.6..1.4;
/// Request rate under [`Confounder::Burst`](crate::confounder::Confounder::Burst), as a multiple of
/// the normal rate.
const BURST_FACTOR: f64 = 1.7;
/// The most expensive route, whose share of the traffic
/// [`Confounder::HeavyRoute`](crate::confounder::Confounder::HeavyRoute) increases.
const HEAVY_ROUTE: RouteIndex = RouteIndex::new(0);
/// Fraction of all requests that the confounder redirects to [`HEAVY_ROUTE`].
const HEAVY_ROUTE_SHARE: f64 = 0.25;
/// Probability that a client retries a failed request once, if a retry is safe.
const RETRY_SHARE: f64 = 0.6;
/// Range of the delay before a retry.
const RETRY_DELAY: Range<Duration> = Duration::from_millis(60)..Duration::from_millis(300);
/// A request is removed after this multiple of [`REQUEST_DEADLINE`]. By then, none of its attempts
/// is in flight.
const RETENTION_DEADLINES: u32 = 2;

/// The current request rate and mix of routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficPattern {
    /// The normal rate and mix.
    Normal,
    /// A higher rate on all routes.
    Burst,
    /// A larger share of requests on the most expensive route.
    HeavyRoute,
}

/// A request that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientRequest {
    /// The instance that received it.
    pub(crate) instance: InstanceIndex,
    pub(crate) route: RouteIndex,
    /// When it arrived.
    pub(crate) arrived_at: Timestamp,
    /// Whether it is a client's retry of a failed request.
    pub(crate) is_retry: bool,
}

/// A request, and whether it is finished.
struct TrackedRequest {
    request: ClientRequest,
    finished: bool,
}

/// The state of a request after one of its attempts has ended.
pub(crate) struct RequestProgress {
    pub(crate) request: ClientRequest,
    /// Whether this attempt produced the answer to the request.
    pub(crate) answers_request: bool,
    /// Whether the request has been answered, rejected or failed.
    pub(crate) request_finished: bool,
}

/// A retry that a client will send.
pub(crate) struct PlannedRetry {
    /// The instance that will receive it.
    pub(crate) instance: InstanceIndex,
    pub(crate) route: RouteIndex,
    /// Delay until the retry is sent.
    pub(crate) after: Duration,
}

/// All clients of a trial.
pub(crate) struct Clients {
    random: RandomStream,
    /// Requests per second, by [`InstanceIndex`].
    rates: Vec<f64>,
    /// Recent requests; old ones are removed by [`Clients::remove_expired`].
    requests: BTreeMap<RequestId, TrackedRequest>,
}

impl Clients {
    /// Draws the request rate of each instance, for a fleet with the given capacity in cores.
    pub(crate) fn new(
        seed: u64,
        instances: usize,
        capacity: f64,
        random: &mut RandomStream,
    ) -> Clients {
        let mean_cost: f64 = ROUTES
            .iter()
            .map(|route| fractional_micros(route.mean_cost) * route.traffic_share)
            .sum();
        let total_rate = random.uniform_in(UTILIZATION) * capacity * MICROS_PER_SECOND / mean_cost;
        let weights: Vec<f64> = (0..instances)
            .map(|_| random.uniform_in(TRAFFIC_WEIGHT))
            .collect();
        let total_weight: f64 = weights.iter().sum();
        Clients {
            random: RandomStream::new(seed, stream::ARRIVALS),
            rates: weights
                .iter()
                .map(|weight| total_rate * weight / total_weight)
                .collect(),
            requests: BTreeMap::new(),
        }
    }

    /// Draws the time from the trial's start to an instance's first request.
    pub(crate) fn draw_first_arrival(&mut self, instance: InstanceIndex) -> Duration {
        let mean = MICROS_PER_SECOND / self.rates[instance.get()];
        let micros = self.random.exponential(mean);
        Duration::from_micros(micros as u64)
    }

    /// Draws the time to an instance's next request, which is at least one microsecond.
    pub(crate) fn draw_next_arrival(
        &mut self,
        instance: InstanceIndex,
        pattern: TrafficPattern,
    ) -> Duration {
        let factor = match pattern {
            TrafficPattern::Burst => BURST_FACTOR,
            TrafficPattern::Normal | TrafficPattern::HeavyRoute => 1.0,
        };
        let mean = MICROS_PER_SECOND / self.rates[instance.get()] / factor;
        let micros = self.random.exponential(mean);
        Duration::from_micros(micros as u64 + 1)
    }

    /// Draws the route of a new request.
    pub(crate) fn draw_route(&mut self, pattern: TrafficPattern) -> RouteIndex {
        let heavy_share = match pattern {
            TrafficPattern::HeavyRoute => HEAVY_ROUTE_SHARE,
            TrafficPattern::Normal | TrafficPattern::Burst => 0.0,
        };
        let draw = self.random.uniform();
        if draw < heavy_share {
            return HEAVY_ROUTE;
        }
        route_at((draw - heavy_share) / (1.0 - heavy_share))
    }

    /// Records a new request.
    pub(crate) fn insert(&mut self, id: RequestId, request: ClientRequest) {
        let tracked = TrackedRequest {
            request,
            finished: false,
        };
        self.requests.insert(id, tracked);
    }

    /// Returns the route of a request, or `None` if the request has been removed.
    pub(crate) fn route_of(&self, id: RequestId) -> Option<RouteIndex> {
        self.requests.get(&id).map(|tracked| tracked.request.route)
    }

    /// Records the end of an attempt. Returns `None` if the request has been removed.
    pub(crate) fn end_attempt(
        &mut self,
        id: RequestId,
        succeeded: bool,
    ) -> Option<RequestProgress> {
        let tracked = self.requests.get_mut(&id)?;
        let answers_request = succeeded && !tracked.finished;
        tracked.finished |= succeeded;
        Some(RequestProgress {
            request: tracked.request,
            answers_request,
            request_finished: tracked.finished,
        })
    }

    /// Finishes a request without an answer, and returns the retry if the client sends one. Clients
    /// retry a request at most once, and only where that is safe.
    pub(crate) fn finish_unanswered(&mut self, id: RequestId) -> Option<PlannedRetry> {
        let tracked = self.requests.get_mut(&id)?;
        tracked.finished = true;
        let request = tracked.request;
        let route = &ROUTES[request.route.get()];
        let retry_is_safe = route.idempotency != Idempotency::NotIdempotent;
        if request.is_retry || !retry_is_safe || !self.random.bernoulli(RETRY_SHARE) {
            return None;
        }
        Some(PlannedRetry {
            instance: request.instance,
            route: request.route,
            after: self.random.uniform_duration(RETRY_DELAY),
        })
    }

    /// Removes requests that have passed their retention time.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        let retention = REQUEST_DEADLINE * RETENTION_DEADLINES;
        self.requests
            .retain(|_, tracked| now < tracked.request.arrived_at + retention);
    }
}

/// Maps a position in [0, 1) to a route; each route covers an interval of its traffic share.
fn route_at(position: f64) -> RouteIndex {
    let mut remaining = position;
    let mut route = 0;
    while route + 1 < ROUTES.len() && remaining >= ROUTES[route].traffic_share {
        remaining -= ROUTES[route].traffic_share;
        route += 1;
    }
    RouteIndex::new(route)
}
