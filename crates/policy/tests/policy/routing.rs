//! Selection of an endpoint by zone, latency and state.

use std::ops::RangeInclusive;
use std::time::Duration;

use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState};

use crate::harness::{
    AttemptResultBuilder, BASELINE, EndpointBuilder, Exchange, IDEMPOTENT, Instance,
    RequestBuilder, list_endpoints, millis, settings,
};

/// Latencies in both zones, and the accepted range of the number of attempts in the instance's own
/// zone, out of 300. Names of endpoints in the own zone start with `h`, those of others with `f`.
struct ZoneCase {
    own_zone: Duration,
    other_zone: Duration,
    attempts_in_own_zone: RangeInclusive<usize>,
}

const ZONE_CASES: [ZoneCase; 2] = [
    ZoneCase {
        own_zone: millis(10),
        other_zone: millis(10),
        attempts_in_own_zone: 190..=300,
    },
    ZoneCase {
        own_zone: millis(40),
        other_zone: millis(10),
        attempts_in_own_zone: 0..=160,
    },
];

#[test]
fn own_zone_is_preferred_while_it_is_not_slower() {
    for case in ZONE_CASES {
        let mut instance = Instance::new(Settings {
            cross_zone_price: 0.02,
            ..settings()
        });
        instance.step_now(|policy| {
            for name in ["f1", "f2", "f3", "f4"] {
                EndpointBuilder::new(name).zone("z2").deliver_to(policy);
            }
        });

        let mut attempts = 0;
        for id in 0..330 {
            if id == 30 {
                instance.step_now(|policy| list_endpoints(policy, &["h1", "h2"], BASELINE));
            }
            Exchange::new(id).run(&mut instance, |decisions| {
                let is_own_zone = decisions.attempts_at("h") > 0;
                attempts += usize::from(is_own_zone);
                let latency = if is_own_zone {
                    case.own_zone
                } else {
                    case.other_zone
                };
                AttemptResultBuilder::succeeded(latency)
            });
        }

        let accepted = case.attempts_in_own_zone;
        assert!(accepted.contains(&attempts), "{attempts}, not {accepted:?}");
    }
}

#[test]
fn endpoint_whose_attempts_time_out_is_avoided() {
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| list_endpoints(policy, &["m1", "m2"], BASELINE));

    let mut attempts = 0;
    for id in 0..300 {
        let exchange = Exchange::new(id).response_after(millis(10));
        exchange.run(&mut instance, |decisions| {
            let is_at_first = decisions
                .attempts()
                .any(|(request, name)| request.get() == id && name == "m1");
            attempts += usize::from(is_at_first);
            // Two in three requests at `m1` time out.
            if is_at_first && id % 3 > 0 {
                AttemptResultBuilder::new(AttemptOutcome::TimedOut, millis(900))
                    .finishes_request(true)
            } else {
                AttemptResultBuilder::succeeded(millis(10))
            }
        });
    }

    assert!(attempts < 100, "{attempts}");
}

/// A change of the endpoint list after which an endpoint gets no new attempts.
struct ListChange {
    list_is_complete: bool,
    listed_state: Option<EndpointState>,
}

const LIST_CHANGES: [ListChange; 3] = [
    ListChange {
        list_is_complete: false,
        listed_state: Some(EndpointState::Draining),
    },
    ListChange {
        list_is_complete: false,
        listed_state: Some(EndpointState::Removed),
    },
    ListChange {
        list_is_complete: true,
        listed_state: None,
    },
];

#[test]
fn endpoint_that_is_draining_removed_or_not_listed_gets_no_attempt() {
    for case in LIST_CHANGES {
        let mut instance = Instance::new(settings());
        instance.step_now(|policy| list_endpoints(policy, &["m1"], BASELINE));

        let decisions = instance.step_now(|policy| {
            if case.list_is_complete {
                policy.on_complete_endpoint_list();
            }
            if let Some(state) = case.listed_state {
                EndpointBuilder::new("m1").state(state).deliver_to(policy);
            }
            RequestBuilder::new(IDEMPOTENT).send(policy, 7);
        });

        assert!(decisions.is_empty(), "{decisions:?}");
    }
}
