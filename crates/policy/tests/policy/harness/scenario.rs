//! The settings, routes, builds and small fleet that most tests use.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::{Idempotency, KeyScope, Route, Settings};
use tidescale_policy::types::{RouteIndex, Timestamp};

use super::EndpointBuilder;

/// The default start time of instances.
pub const START: Timestamp = Timestamp::from_micros(100_000_000);

/// The route whose requests may be executed any number of times.
pub const IDEMPOTENT: RouteIndex = RouteIndex::new(0);
/// The route whose requests may be repeated within one zone for 300 ms, by their idempotency key.
pub const IDEMPOTENCY_KEY: RouteIndex = RouteIndex::new(1);
/// The route whose requests must not be executed twice.
pub const NOT_IDEMPOTENT: RouteIndex = RouteIndex::new(2);

/// The build that is released before the rollout.
pub const BASELINE: u32 = 1;
/// The build under evaluation.
pub const CANDIDATE: u32 = 2;

/// How long clients wait for a response on all routes.
pub const CLIENT_DEADLINE: Duration = millis(1_000);

/// Returns a duration of this many milliseconds.
pub const fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn route(name: &str, idempotency: Idempotency) -> Route {
    Route {
        name: name.into(),
        latency_objective: millis(500),
        client_deadline: CLIENT_DEADLINE,
        priority_weight: 1.0,
        idempotency,
    }
}

fn routes() -> Vec<Route> {
    let idempotency_key = Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
        window: millis(300),
    };
    vec![
        route("look", Idempotency::Idempotent),
        route("hold", idempotency_key),
        route("pay", Idempotency::NotIdempotent),
    ]
}

/// Returns settings of a single instance in zone `z1`, with three stages and with health checks,
/// cancellation and hedging allowed.
pub fn settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: "z1".into(),
        routes: routes(),
        poll_endpoints: false,
        max_poll_interval: Duration::from_secs(10),
        cross_zone_price: 0.0,
        health_checks: true,
        cancel_attempts: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Duration::ZERO,
        grace_period: millis(500),
        warm_up_start: 0.3,
        warm_up_time: Duration::from_secs(4),
        overload_multiple: 2.0,
        overload_window: millis(1500),
        stage_caps: vec![0.1, 0.5, 1.0],
        exposure_allowance: 2.0,
        exposure_window: Duration::from_secs(4),
        exposure_by_route: false,
        guarded_stages: 1,
        monotonic_key_builds: false,
        automatic_stages: true,
        min_stage_time: Duration::from_secs(1),
        rollback_votes: 1,
        votes_per_second: 100.0,
        vote_lifetime: Duration::from_secs(5),
        vote_timeout: Duration::from_secs(1),
    }
}

/// Returns settings with a single stage that is open to requests of all routes.
pub fn single_stage_settings(traffic_cap: f64) -> Settings {
    Settings {
        stage_caps: vec![traffic_cap],
        guarded_stages: 0,
        ..settings()
    }
}

/// Adds ready endpoints of one build in zone `z1` to the endpoint list.
pub fn list_endpoints(policy: &mut Balancer, names: &[&str], build: u32) {
    for name in names {
        EndpointBuilder::new(name).build(build).deliver_to(policy);
    }
}

/// Adds the endpoints `o1` and `o2` of the baseline and `n1` and `n2` of the candidate to the
/// endpoint list.
pub fn list_canary_fleet(policy: &mut Balancer) {
    list_endpoints(policy, &["o1", "o2"], BASELINE);
    list_endpoints(policy, &["n1", "n2"], CANDIDATE);
}
