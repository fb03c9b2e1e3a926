//! Clients: when they send requests, on which routes, and when they send one again.

use std::collections::BTreeMap;
use std::time::Duration;

use tidescale_policy::settings::Idempotency;
use tidescale_policy::types::{RequestId, Timestamp};

use crate::parameters::{REQUEST_DEADLINE, ROUTES};
use crate::random_stream::{RandomStream, stream};

/// Share of the fleet's capacity that the requests need, as the range that it is drawn from.
const LOAD: [f64; 2] = [0.4, 0.6];
/// An instance's traffic against the others', as the range that it is drawn from.
const TRAFFIC_SPREAD: [f64; 2] = [0.6, 1.4];
/// Requests under [`Confounder::Burst`](crate::confounder::Confounder::Burst), as a multiple of the usual.
const BURST_FACTOR: f64 = 1.7;
/// Share of the requests that [`Confounder::HeavyRoute`](crate::confounder::Confounder::HeavyRoute) adds to the first
/// route, the costliest one.
const HEAVY_ROUTE_SHARE: f64 = 0.25;
/// Share of the failed requests that clients send once more, where that does no harm.
const RETRY_SHARE: f64 = 0.6;
/// Shortest time until they do.
const RETRY_AFTER_LEAST: Duration = Duration::from_millis(60);
/// Longest time until they do.
const RETRY_AFTER_MOST: Duration = Duration::from_millis(300);
/// A request is forgotten after so many of its deadlines; no attempt of it is under way by then.
const FORGET_AFTER_DEADLINES: u32 = 2;

/// What the clients do at the moment, beside sending as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficPattern {
    /// As usual.
    Usual,
    /// More requests on all routes.
    Burst,
    /// More requests on the costliest route.
    HeavyRoute,
}

/// A request that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientRequest {
    /// The instance that it was sent to.
    pub(crate) instance: usize,
    /// Index of its route.
    pub(crate) route: usize,
    /// When it arrived.
    pub(crate) arrived_at: Timestamp,
    /// It repeats a request that had failed.
    pub(crate) is_retry: bool,
}

/// A request and what has become of it so far.
struct OpenRequest {
    request: ClientRequest,
    attempts: usize,
    finished: bool,
}

/// An attempt that has begun.
pub(crate) struct StartedAttempt {
    /// Index among the request's attempts.
    pub(crate) attempt_index: usize,
    /// Index of the request's route.
    pub(crate) route: usize,
}

/// What the end of an attempt means to its request.
pub(crate) struct AttemptEffect {
    /// The request.
    pub(crate) request: ClientRequest,
    /// The attempt has given the request its answer.
    pub(crate) answers_request: bool,
    /// The request has its answer or waits for none any more.
    pub(crate) request_finished: bool,
}

/// A request that a client will send once more.
pub(crate) struct PlannedRetry {
    /// The instance that it will be sent to.
    pub(crate) instance: usize,
    /// Index of its route.
    pub(crate) route: usize,
    /// Time until then.
    pub(crate) after: Duration,
}

/// All clients of a trial.
pub(crate) struct Clients {
    random: RandomStream,
    /// By instance, requests a second.
    rates: Vec<f64>,
    /// Requests of the last few seconds, by number.
    requests: BTreeMap<RequestId, OpenRequest>,
}

impl Clients {
    /// Draws how many requests each instance gets of a fleet with this capacity, in cores.
    pub(crate) fn new(
        seed: u64,
        instances: usize,
        capacity: f64,
        random: &mut RandomStream,
    ) -> Clients {
        let mean_cost_micros: f64 = ROUTES
            .iter()
            .map(|route| route.mean_cost_micros * route.traffic_share)
            .sum();
        let total_rate = random.between(LOAD[0], LOAD[1]) * capacity * 1e6 / mean_cost_micros;
        let weights: Vec<f64> = (0..instances)
            .map(|_| random.between(TRAFFIC_SPREAD[0], TRAFFIC_SPREAD[1]))
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

    /// Time from the trial's start to an instance's first request.
    pub(crate) fn draw_first_arrival(&mut self, instance: usize) -> Duration {
        let micros = self.random.exponential(1e6 / self.rates[instance]);
        Duration::from_micros(micros as u64)
    }

    /// Time from one request of an instance to the next, at least a microsecond.
    pub(crate) fn draw_next_arrival(
        &mut self,
        instance: usize,
        pattern: TrafficPattern,
    ) -> Duration {
        let factor = match pattern {
            TrafficPattern::Burst => BURST_FACTOR,
            TrafficPattern::Usual | TrafficPattern::HeavyRoute => 1.0,
        };
        let micros = self.random.exponential(1e6 / self.rates[instance] / factor);
        Duration::from_micros(micros as u64 + 1)
    }

    /// The route of a new request.
    pub(crate) fn draw_route(&mut self, pattern: TrafficPattern) -> usize {
        let heavy_share = match pattern {
            TrafficPattern::HeavyRoute => HEAVY_ROUTE_SHARE,
            TrafficPattern::Usual | TrafficPattern::Burst => 0.0,
        };
        let draw = self.random.uniform();
        if draw < heavy_share {
            return 0;
        }
        let mut rest = (draw - heavy_share) / (1.0 - heavy_share);
        let mut route = 0;
        while route + 1 < ROUTES.len() && rest >= ROUTES[route].traffic_share {
            rest -= ROUTES[route].traffic_share;
            route += 1;
        }
        route
    }

    /// Keeps a request that was sent under this number.
    pub(crate) fn insert(&mut self, number: RequestId, request: ClientRequest) {
        let open = OpenRequest {
            request,
            attempts: 0,
            finished: false,
        };
        self.requests.insert(number, open);
    }

    /// Counts an attempt of a request; none where the request is forgotten.
    pub(crate) fn start_attempt(&mut self, number: RequestId) -> Option<StartedAttempt> {
        let open = self.requests.get_mut(&number)?;
        let attempt_index = open.attempts;
        open.attempts += 1;
        Some(StartedAttempt {
            attempt_index,
            route: open.request.route,
        })
    }

    /// Takes the end of an attempt; none where the request is forgotten.
    pub(crate) fn end_attempt(
        &mut self,
        number: RequestId,
        succeeded: bool,
    ) -> Option<AttemptEffect> {
        let open = self.requests.get_mut(&number)?;
        let answers_request = succeeded && !open.finished;
        open.finished |= succeeded;
        Some(AttemptEffect {
            request: open.request,
            answers_request,
            request_finished: open.finished,
        })
    }

    /// Ends a request without an answer. Some clients send theirs once more, where that does no harm.
    pub(crate) fn give_up(&mut self, number: RequestId) -> Option<PlannedRetry> {
        let open = self.requests.get_mut(&number)?;
        open.finished = true;
        let request = open.request;
        let harmless = ROUTES[request.route].idempotency != Idempotency::NotIdempotent;
        if request.is_retry || !harmless || !self.random.happens(RETRY_SHARE) {
            return None;
        }
        let after = self
            .random
            .duration_between(RETRY_AFTER_LEAST, RETRY_AFTER_MOST);
        Some(PlannedRetry {
            instance: request.instance,
            route: request.route,
            after,
        })
    }

    /// Drops requests that are long over.
    pub(crate) fn forget_old(&mut self, now: Timestamp) {
        let kept_for = REQUEST_DEADLINE * FORGET_AFTER_DEADLINES;
        self.requests
            .retain(|_, open| now < open.request.arrived_at + kept_for);
    }
}
