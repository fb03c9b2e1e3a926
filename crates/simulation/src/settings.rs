//! Settings of the simulated proxy instances.

use std::time::Duration;

use tidescale_policy::settings::{Route, Settings};
use tidescale_policy::types::HardwareClassIndex;

use crate::case::{SettingsProfile, TrialCase};
use crate::ids::{InstanceIndex, ZoneIndex};
use crate::parameters::{
    REQUEST_DEADLINE, ROUTES, STAGES, VOTE_LIFETIME, WARM_UP_START, WARM_UP_TIME, ZONE_COUNT,
};
use crate::rollout::rollback_votes;

/// Limit on votes per second for each instance. No instance casts as many, so the limit never takes
/// effect.
const VOTES_PER_SECOND_AND_INSTANCE: usize = 16;

pub(crate) fn instance_settings(case: TrialCase, instance: InstanceIndex) -> Settings {
    let size = case.size;
    let strict = case.profile == SettingsProfile::Strict;
    Settings {
        instance_index: instance.get() as u32,
        instance_count: size.instances as u32,
        zone: zone_name(ZoneIndex::new(instance.get() % ZONE_COUNT)),
        routes: routes(),
        poll_endpoints: strict,
        max_poll_interval: if strict {
            Duration::from_secs(2)
        } else {
            Duration::MAX
        },
        cross_zone_price: 0.01,
        health_checks: true,
        cancel_attempts: true,
        hedging: !strict,
        max_attempts: 4,
        max_retry_after: Duration::from_secs(1),
        grace_period: Duration::from_secs(1),
        warm_up_start: WARM_UP_START,
        warm_up_time: WARM_UP_TIME,
        overload_multiple: 2.0,
        overload_window: Duration::from_millis(1_500),
        stage_caps: STAGES.iter().map(|stage| stage.traffic_cap).collect(),
        exposure_allowance: 3.0,
        exposure_window: Duration::from_secs(4),
        exposure_by_route: strict,
        guarded_stages: 1,
        monotonic_key_builds: strict,
        automatic_stages: !strict,
        min_stage_time: Duration::from_millis(1_500),
        rollback_votes: rollback_votes(size) as u32,
        votes_per_second: (VOTES_PER_SECOND_AND_INSTANCE * size.instances) as f64,
        vote_lifetime: VOTE_LIFETIME,
        vote_timeout: Duration::from_millis(800),
    }
}

pub(crate) fn zone_name(zone: ZoneIndex) -> String {
    format!("z{}", zone.get())
}

pub(crate) fn hardware_class_name(hardware_class: HardwareClassIndex) -> String {
    format!("k{hardware_class}")
}

fn routes() -> Vec<Route> {
    ROUTES
        .iter()
        .enumerate()
        .map(|(index, route)| Route {
            name: format!("r{index}"),
            latency_objective: route.latency_objective,
            client_deadline: REQUEST_DEADLINE,
            priority_weight: route.priority_weight,
            idempotency: route.idempotency,
        })
        .collect()
}
