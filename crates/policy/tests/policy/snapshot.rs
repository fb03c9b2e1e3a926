//! Snapshots: instances that restore the state saved by a predecessor, compared with instances that
//! start without it.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::snapshot::{HardwareClassRecord, RouteLatency, RouteRecord};
use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::{AttemptOutcome, BuildNumber, EndpointState, Timestamp, Vote};

use crate::harness::{
    AttemptResultBuilder, BASELINE, CANDIDATE, CanaryTraffic, EndpointBuilder, Exchange,
    IDEMPOTENT, Instance, RequestBuilder, RolloutStatusBuilder, START, SavedState, first_attempt,
    health_check, hold_vote, list_canary_fleet, list_endpoints, millis, settings,
    single_stage_settings,
};

/// Returns an instance that starts during a canary.
fn start_during_canary(now: Timestamp) -> Instance {
    let mut instance = Instance::starting_at(now, single_stage_settings(0.5));
    instance.step_now(|policy| {
        list_canary_fleet(policy);
        let status = RolloutStatusBuilder::canary(CANDIDATE);
        let age = Duration::from_secs(5);
        status.traffic_cap(0.5).age(age).deliver_to(policy);
    });
    instance
}

/// Returns an instance that restarts during a canary and restores the saved state.
fn restart_during_canary(now: Timestamp, saved: &SavedState) -> Instance {
    let mut instance = start_during_canary(now);
    instance.step_now(|policy| saved.restore(policy));
    instance
}

/// A series of requests; `failures_per_ten` of every ten attempts at the candidate fail.
struct RequestSeries {
    requests: u64,
    failures_per_ten: u64,
}

impl RequestSeries {
    /// Sends the requests until the candidate is rejected. Returns the number of attempts at the
    /// candidate until then, or `None` if it is not rejected.
    fn attempts_until_rejection(&self, instance: &mut Instance) -> Option<u64> {
        let mut traffic = CanaryTraffic::new(self.failures_per_ten);
        // Makes request ids differ between an instance and its predecessor.
        let first_id = instance.now().as_micros();
        for id in first_id..first_id + self.requests {
            traffic.send(instance, id);
            if instance.policy().rejected_build() == Some(BuildNumber::new(CANDIDATE)) {
                return Some(traffic.candidate_attempts());
            }
        }
        None
    }
}

const FAILING_CANDIDATE: RequestSeries = RequestSeries {
    requests: 2000,
    failures_per_ten: 4,
};

/// Returns the state saved by an instance that has rejected the candidate, and when it was saved.
fn saved_after_rejection() -> (SavedState, Timestamp) {
    let mut instance = start_during_canary(START);
    assert!(
        FAILING_CANDIDATE
            .attempts_until_rejection(&mut instance)
            .is_some()
    );
    let saved = SavedState::of(&mut instance);
    assert_eq!(saved.rejected_build(), Some(BuildNumber::new(CANDIDATE)));
    (saved, instance.now())
}

#[test]
fn restored_outcomes_alone_reject_no_build() {
    let (saved, saved_at) = saved_after_rejection();
    let mut instance = restart_during_canary(saved_at + Duration::from_secs(1), &saved);

    instance.wait_steps(200, millis(50));

    assert_eq!(instance.policy().rejected_build(), None);
}

#[test]
fn build_that_no_longer_fails_is_not_rejected_for_restored_outcomes() {
    let (saved, saved_at) = saved_after_rejection();
    let mut instance = restart_during_canary(saved_at + Duration::from_secs(1), &saved);
    let healthy_candidate = RequestSeries {
        requests: 1000,
        failures_per_ten: 0,
    };

    let attempts = healthy_candidate.attempts_until_rejection(&mut instance);

    assert_eq!(attempts, None);
}

#[test]
fn restored_outcomes_halve_the_attempts_until_a_failing_build_is_rejected() {
    let (saved, saved_at) = saved_after_rejection();
    let now = saved_at + Duration::from_secs(1);

    let restored = &mut restart_during_canary(now, &saved);
    let attempts_restored = FAILING_CANDIDATE
        .attempts_until_rejection(restored)
        .unwrap();
    let fresh = &mut start_during_canary(now);
    let attempts_fresh = FAILING_CANDIDATE.attempts_until_rejection(fresh).unwrap();

    assert!(
        attempts_restored * 2 <= attempts_fresh,
        "{attempts_restored} attempts, {attempts_fresh} without a snapshot"
    );
}

#[test]
fn ten_restarts_in_a_row_count_no_outcome_twice() {
    let mut instance = start_during_canary(START);
    let traffic = RequestSeries {
        requests: 60,
        failures_per_ten: 2,
    };
    traffic.attempts_until_rejection(&mut instance);
    let mut saved = SavedState::of(&mut instance);
    let outcomes = saved.total_outcomes();
    assert!(outcomes > 10.0);

    for _ in 0..10 {
        instance = restart_during_canary(instance.now(), &saved);
        saved = SavedState::of(&mut instance);
    }

    let outcomes_after = saved.total_outcomes();
    assert!(
        outcomes_after <= outcomes * 1.001,
        "{outcomes_after} of {outcomes}"
    );
}

/// Returns an instance with four endpoints that has restored `m1` as slow. Health checks are
/// disabled, so a restored ejection has no effect.
fn instance_with_restored_slow_endpoint(ejected: bool) -> Instance {
    let mut instance = Instance::new(Settings {
        health_checks: false,
        ..settings()
    });
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1", "m2", "m3", "m4"], BASELINE);
        policy.restore_route(RouteRecord {
            route: None,
            baseline: RouteLatency {
                latency: 10.0 * 10_000.0,
                cost: 10.0,
                responses: 10.0,
            },
        });
        let slowdown = WeightedSum {
            sum: 32.0,
            weight: 4.0,
        };
        policy.restore_endpoint("m1", Some(slowdown), ejected);
    });
    instance
}

/// Sends requests with ids up to `last_id` to a fleet in which `m1` is no longer slow. Returns the
/// share of the requests that are sent to `m1`, counting those whose result is reported at
/// `START + from` or later.
fn share_of_restored_endpoint(ejected: bool, from: Duration, last_id: u64) -> f64 {
    let mut instance = instance_with_restored_slow_endpoint(ejected);
    let (mut attempts, mut requests) = (0, 0);
    for id in 0..=last_id {
        // From 5 ms to 15 ms, around the baseline latency of 10 ms.
        let response = AttemptResultBuilder::succeeded(millis(5 + id * 7 % 11));
        let exchange = Exchange::new(id).response_after(millis(10));
        let mut is_at_restored = false;
        exchange.run(&mut instance, |decisions| {
            is_at_restored = decisions.attempts_at("m1") > 0;
            response
        });
        if instance.now() >= START + from {
            requests += 1;
            attempts += u64::from(is_at_restored);
        }
    }
    attempts as f64 / f64::from(requests)
}

#[test]
fn restored_slow_endpoint_is_avoided_at_first_and_gets_its_share_within_thirty_seconds() {
    for ejected in [false, true] {
        let first = share_of_restored_endpoint(ejected, Duration::ZERO, 60);
        let later = share_of_restored_endpoint(ejected, Duration::from_secs(30), 2499);

        assert!(first < 0.15, "{first}");
        assert!(later > 0.18, "{later}");
    }
}

#[test]
fn restored_ejected_endpoint_is_checked_immediately_and_returns_after_passed_checks() {
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1"], BASELINE);
        policy.restore_endpoint("m1", None, true);
    });
    assert_eq!(instance.wait(millis(250)), [health_check("m1")]);
    let request = RequestBuilder::new(IDEMPOTENT).time_remaining(Duration::from_secs(3));
    let while_ejected = instance.step(millis(1), |policy| request.send(policy, 1));
    assert!(while_ejected.is_empty());

    for _ in 0..2 {
        instance.step(millis(1), |policy| {
            policy.on_health_check("m1", AttemptOutcome::Succeeded, None);
        });
        instance.wait(millis(500));
    }
    let decisions = instance.step(millis(1), |policy| {
        RequestBuilder::new(IDEMPOTENT).send(policy, 2);
    });

    assert_eq!(decisions, [first_attempt(2, "m1")]);
}

/// Lists one ready endpoint of each build during a canary.
fn list_both_builds(policy: &mut Balancer) {
    list_endpoints(policy, &["old"], BASELINE);
    list_endpoints(policy, &["new"], CANDIDATE);
    RolloutStatusBuilder::canary(CANDIDATE)
        .stage(1)
        .deliver_to(policy);
}

#[test]
fn build_that_answered_a_key_is_restored_if_key_builds_are_monotonic() {
    for monotonic_key_builds in [true, false] {
        let settings = Settings {
            monotonic_key_builds,
            exposure_allowance: 1.0,
            guarded_stages: 0,
            ..settings()
        };
        let request = RequestBuilder::new(IDEMPOTENT).idempotency_key("k");
        let mut instance = Instance::new(settings.clone());
        instance.step_now(|policy| {
            list_both_builds(policy);
            let old = EndpointBuilder::new("old").build(BASELINE);
            old.state(EndpointState::Draining).deliver_to(policy);
            request.send(policy, 1);
        });
        instance.step(millis(10), |policy| {
            list_endpoints(policy, &["old"], BASELINE);
            AttemptResultBuilder::succeeded(millis(10)).report(policy, 1);
        });
        let saved = SavedState::of(&mut instance);

        let mut restarted = Instance::seeded(3, instance.now(), settings);
        restarted.step_now(|policy| {
            list_both_builds(policy);
            saved.restore(policy);
            request.send(policy, 2);
        });

        let build = restarted.policy().key_build("k");
        let expected = monotonic_key_builds.then_some(BuildNumber::new(CANDIDATE));
        assert_eq!(build, expected);
    }
}

/// Restores records of fast endpoints that have served a high load.
fn restore_high_capacity(policy: &mut Balancer) {
    policy.restore_hardware_class(HardwareClassRecord {
        name: "k",
        load: Some([900.0, 20.0].into()),
        slowdown: Some([0.1, 20.0].into()),
        baseline: Some([10.0, 10.0, 200.0].into()),
    });
    policy.restore_endpoint("cold", Some([0.1, 4.0].into()), false);
    policy.restore_route(RouteRecord {
        route: None,
        baseline: [1000.0, 200.0, 200.0].into(),
    });
}

/// Returns the number of attempts at a warming endpoint in 1.5 seconds.
fn attempts_at_warming_endpoint(restores_snapshot: bool) -> usize {
    let mut instance = Instance::new(settings());
    let started_at = instance.now() - millis(100);
    instance.step_now(|policy| {
        EndpointBuilder::new("cold")
            .started_at(started_at)
            .deliver_to(policy);
        if restores_snapshot {
            restore_high_capacity(policy);
        }
    });
    let mut attempts = 0;
    for id in 0..300 {
        let response = AttemptResultBuilder::succeeded(millis(5));
        let exchange = Exchange::new(id).pause(millis(5));
        let decisions = exchange
            .response_after(Duration::ZERO)
            .run(&mut instance, |decisions| {
                attempts += decisions.attempts_at("cold");
                response
            });
        assert_eq!(decisions.health_checks_of("cold"), 0);
    }
    attempts
}

#[test]
fn restored_state_does_not_increase_the_attempts_at_a_warming_endpoint() {
    let attempts_restored = attempts_at_warming_endpoint(true);
    let attempts_fresh = attempts_at_warming_endpoint(false);

    assert!(
        attempts_restored <= attempts_fresh,
        "{attempts_restored} attempts, {attempts_fresh} without a snapshot"
    );
}

#[test]
fn rejection_holds_the_build_for_a_minute_even_across_a_restart() {
    // Seconds since the rejection, and whether the build is held at the start of its stage.
    for (seconds, is_held) in [(0, true), (58, true), (60, false), (4000, false)] {
        let now = Timestamp::ZERO + Duration::from_secs(100_000);
        let mut instance = Instance::starting_at(now, single_stage_settings(0.5));
        instance.step_now(|policy| {
            list_endpoints(policy, &["n1"], CANDIDATE);
            let status = RolloutStatusBuilder::canary(CANDIDATE);
            status.traffic_cap(0.5).deliver_to(policy);
            let rejected_at = now - Duration::from_secs(seconds);
            policy.restore_rejected_build(BuildNumber::new(CANDIDATE), rejected_at);
        });

        let first_second = instance.wait_steps(4, millis(250));
        let later = instance.wait_steps(40, millis(250));

        assert_eq!(
            first_second.contains(&hold_vote()),
            is_held,
            "{first_second:?}"
        );
        // A restored rejection alone causes no rollback vote, even after the hold has ended.
        assert!(
            later.votes().all(|vote| vote != Vote::RollBack),
            "{later:?}"
        );
    }
}
