//! The deployment's settings that the policy reads, decoded and checked by its host.

use std::time::Duration;

/// Whether it is harmful to execute a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Endpoints of one scope drop repeated requests with the same key, for a window from the first
    /// attempt that may have executed.
    IdempotencyKey {
        /// Which endpoints share their keys.
        scope: KeyScope,
        /// How long they keep a key.
        window: Duration,
    },
    /// Must not be executed twice.
    NotIdempotent,
}

impl Idempotency {
    /// A client may send the request again to any endpoint without harm.
    pub fn is_safe_everywhere(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => scope == KeyScope::Fleet,
            Idempotency::NotIdempotent => false,
        }
    }
}

/// Which endpoints share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    Fleet,
    /// Endpoints of one zone.
    Zone,
    /// Endpoints of one cell.
    Cell,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in requests and reports.
    pub name: String,
    /// An answer counts in full only if it comes within this time.
    pub latency_objective: Duration,
    /// The value of an answer relative to those of other routes.
    pub priority_weight: f64,
    /// Whether it may be executed twice.
    pub idempotency: Idempotency,
}

/// All settings that the policy reads.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this instance, from 0.
    pub instance_index: u32,
    /// Number of instances.
    pub instance_count: u32,
    /// This instance's zone.
    pub zone: String,
    /// The kinds of requests, by index.
    pub routes: Vec<Route>,
    /// The endpoint list has to be polled.
    pub poll_endpoints: bool,
    /// An instance that has not polled the list for this long counts as notified of every change.
    pub max_poll_interval: Duration,
    /// Price of an answer from another zone, as a share of the answer's value.
    pub cross_zone_price: f64,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancel_attempts: bool,
    /// Two attempts of one request may be in flight simultaneously.
    pub hedging: bool,
    /// Attempts for each request.
    pub max_attempts: usize,
    /// The longest retry time that may be sent to a client; zero where none is sent.
    pub max_retry_after: Duration,
    /// How long after the notice of a change the state before it may still be acted on.
    pub grace_period: Duration,
    /// Share of its capacity that an endpoint has right after its start.
    pub warm_up_start: f64,
    /// Time from an endpoint's start until it has its full capacity.
    pub warm_up_time: Duration,
    /// A warming endpoint fails at this multiple of its capacity, …
    pub overload_multiple: f64,
    /// … within this time.
    pub overload_window: Duration,
    /// Traffic cap of each stage of a rollout.
    pub stage_caps: Vec<f64>,
    /// Attempts at a build under evaluation that are allowed in addition to the cap.
    pub exposure_allowance: f64,
    /// Attempts and requests are counted over this window.
    pub exposure_window: Duration,
    /// They are counted for each route separately.
    pub exposure_by_route: bool,
    /// Number of first stages that take idempotent requests only.
    pub guarded_stages: u32,
    /// A key that a later build has answered must not go to an earlier one.
    pub monotonic_key_builds: bool,
    /// Stages advance automatically unless held.
    pub automatic_stages: bool,
    /// The shortest time at a stage.
    pub min_stage_time: Duration,
    /// Instances that have to vote to roll a build back.
    pub rollback_votes: u32,
    /// Votes a second that the platform takes from all instances together.
    pub votes_per_second: f64,
    /// How long a vote counts.
    pub vote_lifetime: Duration,
    /// How long the platform's response to a vote is awaited.
    pub vote_timeout: Duration,
}
