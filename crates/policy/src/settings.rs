//! Deployment settings that the policy reads. The host decodes and validates them.

use std::time::Duration;

/// Condition under which a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated executions have the same effect as one.
    Idempotent,
    /// Endpoints of one scope do not execute a second request with the same idempotency key, for a
    /// window that starts at the first attempt that may have been executed.
    IdempotencyKey {
        /// Endpoints that share their idempotency keys.
        scope: KeyScope,
        /// How long the endpoints keep a key.
        window: Duration,
    },
    /// A request must not be executed twice.
    NotIdempotent,
}

/// Set of endpoints that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    Fleet,
    /// Endpoints of one availability zone.
    Zone,
    /// Endpoints of one cell.
    Cell,
}

/// A class of requests with common settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in requests and reports.
    pub name: String,
    /// A response within this time has its full value; a later one is worth less.
    pub latency_objective: Duration,
    /// How long a client waits for a response, over all its retries of a request.
    pub client_deadline: Duration,
    /// Value of a response relative to those of other routes.
    pub priority_weight: f64,
    /// Condition under which a request may be executed more than once.
    pub idempotency: Idempotency,
}

impl Route {
    /// Returns whether a client may safely retry a request that may have been executed. It is not
    /// known which endpoint receives the retry, nor when, except that the client gives up at its
    /// deadline. An idempotency key is therefore safe only if all endpoints keep it until then.
    pub fn is_client_retry_safe(&self) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, window } => {
                scope == KeyScope::Fleet && window >= self.client_deadline
            }
            Idempotency::NotIdempotent => false,
        }
    }
}

/// All settings that the policy reads.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this instance, from 0.
    pub instance_index: u32,
    /// Number of instances of the deployment, at least 1.
    pub instance_count: u32,
    /// Availability zone of this instance, as named in the endpoint list.
    pub zone: String,
    /// Routes, indexed by [`RouteIndex`](crate::types::RouteIndex).
    pub routes: Vec<Route>,
    /// Whether the endpoint list must be polled.
    pub poll_endpoints: bool,
    /// Maximum interval between polls of the endpoint list. An instance that has not polled it for
    /// this long is treated as notified of every change.
    pub max_poll_interval: Duration,
    /// Cost of a response from another zone, as a fraction of the response's value.
    pub cross_zone_price: f64,
    /// Whether health checks are allowed. Without them, no endpoint is ejected.
    pub health_checks: bool,
    /// Whether attempts may be cancelled. Without cancellation, no hedged attempts are sent.
    pub cancel_attempts: bool,
    /// Whether two attempts of one request may be in flight simultaneously.
    pub hedging: bool,
    /// Maximum number of attempts for each request, including hedged ones.
    pub max_attempts: usize,
    /// Longest retry delay that may be sent to a client; zero if none is sent.
    pub max_retry_after: Duration,
    /// How long after the notice of a change an instance may still act on the previous state.
    pub grace_period: Duration,
    /// Fraction of its full capacity that an endpoint has right after its start.
    pub warm_up_start: f64,
    /// Time from an endpoint's start until it reaches its full capacity.
    pub warm_up_time: Duration,
    /// An endpoint that is warming up fails under a load of this multiple of its capacity within
    /// [`overload_window`](Settings::overload_window).
    pub overload_multiple: f64,
    /// Time over which [`overload_multiple`](Settings::overload_multiple) applies.
    pub overload_window: Duration,
    /// Traffic cap of each stage of a rollout, as a share of the admitted requests.
    pub stage_caps: Vec<f64>,
    /// Number of attempts at a build under evaluation that are allowed in addition to the traffic
    /// cap.
    pub exposure_allowance: f64,
    /// Window over which attempts and requests are counted for the traffic cap.
    pub exposure_window: Duration,
    /// Whether the traffic cap applies to each route separately.
    pub exposure_by_route: bool,
    /// Number of initial stages in which a build takes idempotent requests only.
    pub guarded_stages: u32,
    /// Whether a request must not go to an earlier build than the latest that has answered a
    /// request with the same idempotency key.
    pub monotonic_key_builds: bool,
    /// Whether the platform advances the stages unless instances vote to hold.
    pub automatic_stages: bool,
    /// Minimum time at a stage before an instance votes to advance.
    pub min_stage_time: Duration,
    /// Number of instances whose votes are needed to roll a build back.
    pub rollback_votes: u32,
    /// Votes per second that the platform accepts from all instances together.
    pub votes_per_second: f64,
    /// How long a vote counts after the platform has accepted it.
    pub vote_lifetime: Duration,
    /// How long to wait for the platform's response to a vote.
    pub vote_timeout: Duration,
}
