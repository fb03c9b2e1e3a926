//! Ejection of endpoints, health checks, recovery and panic mode.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState};

use crate::harness::{
    AttemptResultBuilder, BASELINE, Decision, Decisions, EndpointBuilder, IDEMPOTENT, Instance,
    NOT_IDEMPOTENT, RequestBuilder, RolloutStatusBuilder, SavedState, first_attempt, health_check,
    list_endpoints, millis, reject, second_attempt, settings,
};

/// Outcome of an endpoint's health check after a reset connection, and the decision on the request
/// that was in flight on it.
struct CrashCase {
    health_check: AttemptOutcome,
    expected: Decision,
}

#[test]
fn request_that_crashed_an_endpoint_is_not_retried() {
    let cases = [
        CrashCase {
            health_check: AttemptOutcome::Succeeded,
            expected: second_attempt(7, "m2"),
        },
        CrashCase {
            health_check: AttemptOutcome::Failed,
            expected: second_attempt(7, "m2"),
        },
        CrashCase {
            health_check: AttemptOutcome::Refused,
            expected: reject(7),
        },
    ];
    for case in cases {
        let mut instance = Instance::new(settings());
        instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            RequestBuilder::new(IDEMPOTENT).send(policy, 7);
        });
        instance.step_now(|policy| list_endpoints(policy, &["m2"], BASELINE));
        let reset = AttemptResultBuilder::new(AttemptOutcome::ConnectionReset, millis(10));
        let after_reset = instance.step(millis(10), |policy| reset.report(policy, 7));
        assert_eq!(after_reset, [health_check("m1")]);

        let decisions = instance.step(millis(10), |policy| {
            policy.on_health_check("m1", case.health_check, None);
        });

        assert_eq!(decisions, [case.expected]);
    }
}

#[test]
fn ejected_endpoint_returns_to_service_after_passed_health_checks() {
    let mut instance = Instance::new(settings());
    let request = RequestBuilder::new(NOT_IDEMPOTENT).time_remaining(Duration::from_secs(5));
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1"], BASELINE);
        request.send_all(policy, 1..3);
    });
    let refused = AttemptResultBuilder::new(AttemptOutcome::Refused, millis(1));
    instance.step_now(|policy| (1..3).for_each(|id| refused.report(policy, id)));

    let mut passed = 0;
    for _ in 0..3 {
        let decisions = instance.wait_steps(45, millis(10));
        assert_eq!(decisions.attempt_count(), 0);
        if decisions.health_checks_of("m1") > 0 {
            passed += 1;
            instance.step(millis(1), |policy| {
                policy.on_health_check("m1", AttemptOutcome::Succeeded, None);
            });
        }
        if passed == 2 {
            break;
        }
    }
    let decisions = instance.step(millis(10), |policy| {
        RequestBuilder::new(IDEMPOTENT).send(policy, 9);
    });

    assert_eq!(decisions, [first_attempt(9, "m1")]);
}

/// Replaces the fleet with one endpoint, which serves one request. In every seventh replacement the
/// endpoint is removed while the request is in flight.
fn replace_fleet(instance: &mut Instance, replacement: u32) {
    let name = format!("m{replacement}");
    let build = replacement / 50;
    let id = u64::from(replacement);
    instance.step_now(|policy| {
        policy.on_complete_endpoint_list();
        EndpointBuilder::new(&name).build(build).deliver_to(policy);
        RolloutStatusBuilder::released(build).deliver_to(policy);
        let request = RequestBuilder::new(IDEMPOTENT).idempotency_key(&name);
        request.send(policy, id);
    });
    if replacement.is_multiple_of(7) {
        instance.step_now(Balancer::on_complete_endpoint_list);
    }
    instance.step(millis(300), |policy| {
        AttemptResultBuilder::succeeded(millis(300)).report(policy, id);
    });
    instance.wait(millis(2700));
}

#[test]
fn tables_stay_bounded_while_endpoints_are_replaced() {
    let mut instance = Instance::new(Settings {
        monotonic_key_builds: true,
        ..settings()
    });
    instance.step_now(|policy| RolloutStatusBuilder::released(BASELINE).deliver_to(policy));

    for replacement in 0..600 {
        replace_fleet(&mut instance, replacement);
    }

    let sizes = instance.policy().table_sizes();
    let all_sizes = [
        sizes.endpoint_indexes,
        sizes.endpoint_names,
        sizes.outcome_counts,
        sizes.key_builds,
        sizes.open_requests,
    ];
    assert!(all_sizes.iter().all(|size| *size < 100), "{sizes:?}");
    assert_listed_again_as_one_endpoint(&mut instance, "m0");
}

/// Asserts that an endpoint that is listed again under its old name has a single entry, with the
/// attributes that were listed last.
fn assert_listed_again_as_one_endpoint(instance: &mut Instance, name: &str) {
    let request = RequestBuilder::new(IDEMPOTENT);
    let while_ready = instance.step_now(|policy| {
        policy.on_complete_endpoint_list();
        EndpointBuilder::new(name).build(99).deliver_to(policy);
        request.send(policy, 10_000);
    });
    assert_eq!(while_ready, [first_attempt(10_000, name)]);
    assert_eq!(SavedState::of(instance).records_of_endpoint(name), 1);
    let index = instance.policy().endpoint_index(name);
    assert!(index.is_some_and(|index| index.get() < 100), "{index:?}");
    let while_draining = instance.step_now(|policy| {
        let endpoint = EndpointBuilder::new(name).build(99);
        endpoint.state(EndpointState::Draining).deliver_to(policy);
        request.send(policy, 10_001);
    });
    assert!(while_draining.is_empty(), "{while_draining:?}");
}

fn is_ejected(instance: &Instance, name: &str) -> bool {
    let status = instance.policy().endpoint_status(name);
    status.expect("the endpoint is listed").ejected
}

/// Sends requests until an endpoint is ejected for refusing them all. Attempts at other endpoints
/// are reported as not sent.
fn eject(instance: &mut Instance, name: &str) {
    let mut ids = 10_000..;
    while let Some(id) = ids.next().filter(|_| !is_ejected(instance, name)) {
        let request = RequestBuilder::new(NOT_IDEMPOTENT).time_remaining(millis(400));
        let decisions = instance.step_now(|policy| request.send(policy, id));
        let outcome = if decisions.attempts_at(name) > 0 {
            AttemptOutcome::Refused
        } else {
            AttemptOutcome::NotSent
        };
        let result = AttemptResultBuilder::new(outcome, Duration::ZERO).finishes_request(true);
        instance.step_now(|policy| result.report(policy, id));
    }
}

/// Ejects an endpoint and returns it to service three times, after which it must pass 16 health
/// checks to return from the next ejection.
fn raise_required_health_checks(instance: &mut Instance, name: &str) {
    for required in [2, 4, 8] {
        eject(instance, name);
        for passed in 0..required {
            assert!(is_ejected(instance, name), "{passed} of {required}");
            instance.step_now(|policy| {
                policy.on_health_check(name, AttemptOutcome::Succeeded, None);
            });
        }
        assert!(!is_ejected(instance, name), "{required}");
    }
}

/// Returns an instance whose two endpoints `m1` and `m2` have just been ejected. Outside panic
/// mode, each would have to pass 16 health checks.
fn instance_in_panic_mode() -> Instance {
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| list_endpoints(policy, &["m1", "m2"], BASELINE));
    raise_required_health_checks(&mut instance, "m1");
    raise_required_health_checks(&mut instance, "m2");
    let request = RequestBuilder::new(NOT_IDEMPOTENT).time_remaining(millis(400));
    instance.step_now(|policy| request.send_all(policy, 1..5));
    let refused = AttemptResultBuilder::new(AttemptOutcome::Refused, millis(1));
    for attempt in [0, 1] {
        instance.step_now(|policy| {
            (1..5).for_each(|id| refused.report_attempt(policy, id, attempt));
        });
    }
    assert!(is_ejected(&instance, "m1") && is_ejected(&instance, "m2"));
    instance
}

/// Runs ten steps of 10 ms: sends a request in the first and, unless `health_check` is `None`,
/// reports that outcome of a health check of each endpoint in the sixth.
fn send_request_and_end_health_checks(
    instance: &mut Instance,
    id: u64,
    health_check: Option<AttemptOutcome>,
) -> Decisions {
    let request = RequestBuilder::new(IDEMPOTENT).time_remaining(millis(400));
    let mut decisions = instance.step(millis(10), |policy| request.send(policy, id));
    decisions.append(instance.wait_steps(4, millis(10)));
    decisions.append(instance.step(millis(10), |policy| {
        for name in ["m1", "m2"] {
            if let Some(outcome) = health_check {
                policy.on_health_check(name, outcome, None);
            }
        }
    }));
    decisions.append(instance.wait_steps(4, millis(10)));
    decisions
}

/// Sends up to 20 requests until an attempt is started for one of them; returns whether one was.
fn starts_an_attempt(instance: &mut Instance, health_check: Option<AttemptOutcome>) -> bool {
    let mut ids = 100..120;
    ids.any(|id| {
        let decisions = send_request_and_end_health_checks(instance, id, health_check);
        let mut attempts = decisions.attempts();
        attempts.any(|(request, _)| request.get() >= 100)
    })
}

/// Outcome of the health checks, or `None` if no outcome is reported, and the longest time until an
/// attempt must be started.
struct PanicModeCase {
    health_check: Option<AttemptOutcome>,
    max_recovery_time: Duration,
}

#[test]
fn instance_whose_endpoints_are_all_ejected_recovers() {
    // Either health checks are lost on the network between this instance and the endpoints, so that
    // only a trial request can end the ejection; or the endpoints pass health checks, two of which
    // are enough in panic mode despite the earlier ejections.
    let cases = [
        PanicModeCase {
            health_check: None,
            max_recovery_time: millis(1500),
        },
        PanicModeCase {
            health_check: Some(AttemptOutcome::Succeeded),
            max_recovery_time: millis(200),
        },
    ];
    for case in cases {
        let mut instance = instance_in_panic_mode();
        let ejected_at = instance.now();

        let recovers = starts_an_attempt(&mut instance, case.health_check);

        let after = instance.now() - ejected_at;
        assert!(recovers && after <= case.max_recovery_time, "{after:?}");
    }
}

#[test]
fn ejected_endpoint_gets_at_most_one_trial_request_a_second_in_panic_mode() {
    let mut instance = instance_in_panic_mode();
    assert!(starts_an_attempt(&mut instance, None));

    let mut decisions = Decisions::default();
    for id in 500..550 {
        let request = RequestBuilder::new(IDEMPOTENT).time_remaining(millis(400));
        decisions.append(instance.step(millis(10), |policy| request.send(policy, id)));
    }

    assert!(decisions.attempt_count() <= 1, "{decisions:?}");
}
