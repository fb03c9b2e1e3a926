//! Admission and rejection of requests: priorities, concurrency limits, deadlines and shutdown.

use std::time::Duration;

use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState};

use crate::harness::{
    AttemptResultBuilder, BASELINE, Decision, EndpointBuilder, IDEMPOTENCY_KEY, IDEMPOTENT,
    Instance, NOT_IDEMPOTENT, RequestBuilder, first_attempt, list_endpoints, millis, reject,
    settings,
};

#[test]
fn request_without_endpoints_is_rejected_once_before_its_deadline() {
    for route in [IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT] {
        let mut instance = Instance::new(settings());
        let deadline = instance.now() + millis(200);
        let request = RequestBuilder::new(route).time_remaining(millis(200));

        let mut decisions = instance.step_now(|policy| request.send(policy, 7));
        for _ in 0..40 {
            decisions.append(instance.wait(millis(10)));
            assert!(instance.now() < deadline || decisions.len() == 1);
        }

        assert_eq!(decisions, [reject(7)]);
    }
}

/// Priority weight of the older of two waiting requests, and the attempt that is started first; the
/// newer request has a weight of 1.
struct PriorityCase {
    older_request_weight: f64,
    expected: Decision,
}

#[test]
fn newer_request_is_sent_first_unless_the_older_has_a_much_higher_priority() {
    let cases = [
        PriorityCase {
            older_request_weight: 1.2,
            expected: first_attempt(8, "m1"),
        },
        PriorityCase {
            older_request_weight: 4.0,
            expected: first_attempt(7, "m1"),
        },
    ];
    for case in cases {
        let mut settings = settings();
        settings.routes[NOT_IDEMPOTENT.get()].priority_weight = case.older_request_weight;
        let mut instance = Instance::new(settings);
        let request = RequestBuilder::new(IDEMPOTENT);
        instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            request.send_all(policy, 0..6);
        });
        let waiting = instance.step(millis(1), |policy| {
            RequestBuilder::new(NOT_IDEMPOTENT).send(policy, 7);
        });
        instance.step(millis(1), |policy| request.send(policy, 8));
        assert!(waiting.is_empty());

        let result = AttemptResultBuilder::new(AttemptOutcome::Failed, millis(3));
        let decisions = instance.step(millis(1), |policy| {
            result.finishes_request(true).report(policy, 0);
        });

        assert_eq!(decisions, [case.expected]);
    }
}

/// Removes and returns the oldest request in flight if `id` is at least 20 higher.
fn take_oldest(in_flight: &mut Vec<u64>, id: u64) -> Option<u64> {
    let is_due = in_flight.first().is_some_and(|oldest| id >= oldest + 20);
    is_due.then(|| in_flight.remove(0))
}

#[test]
fn slow_fleet_is_not_left_idle_if_latency_is_independent_of_load() {
    // All responses are slow, regardless of the number of attempts in flight: a lower concurrency
    // limit would not make them faster, and would reject requests that the endpoints could serve.
    let mut instance = Instance::new(Settings {
        instance_count: 2,
        ..settings()
    });
    instance.step_now(|policy| list_endpoints(policy, &["m1", "m2", "m3", "m4"], BASELINE));

    let mut in_flight: Vec<u64> = Vec::new();
    for id in 0..2_000 {
        let oldest = take_oldest(&mut in_flight, id);
        let decisions = instance.step(millis(10), |policy| {
            if let Some(oldest) = oldest {
                AttemptResultBuilder::succeeded(millis(200)).report(policy, oldest);
            }
            RequestBuilder::new(IDEMPOTENT).send(policy, id);
        });
        in_flight.extend(decisions.attempts().map(|(request, _)| request.get()));
    }

    assert!(in_flight.len() >= 3, "{} in flight", in_flight.len());
}

#[test]
fn shutdown_rejects_all_open_requests_before_its_deadline() {
    // The clients would wait for longer than the shutdown takes. Without an endpoint the requests
    // are queued; with one they are in flight until the host times them out.
    for endpoints in [&[][..], &["m1"]] {
        let mut instance = Instance::new(settings());
        let request = RequestBuilder::new(IDEMPOTENT).time_remaining(Duration::from_secs(8));
        let mut decisions = instance.step_now(|policy| {
            list_endpoints(policy, endpoints, BASELINE);
            request.send(policy, 7);
        });

        let deadline = instance.now() + millis(400);
        decisions.append(instance.step(millis(10), |policy| policy.begin_shutdown(deadline)));
        decisions.append(instance.step(millis(10), |policy| request.send(policy, 8)));
        while instance.now() < deadline {
            decisions.append(instance.wait(millis(10)));
        }
        let in_flight = [7, 8]
            .into_iter()
            .filter(|id| decisions.attempts_of(*id) > 0);
        let in_flight: Vec<u64> = in_flight.collect();
        let timed_out = AttemptResultBuilder::new(AttemptOutcome::TimedOut, millis(400));
        decisions.append(instance.step_now(|policy| {
            for id in &in_flight {
                timed_out.report(policy, *id);
            }
        }));

        let all_rejected = decisions.contains(&reject(7)) && decisions.contains(&reject(8));
        assert!(all_rejected, "{decisions:?}");
        assert_eq!(in_flight.len(), 2 * endpoints.len());
    }
}

#[test]
fn waiting_request_is_rejected_in_the_step_at_its_deadline_or_latency_objective() {
    // All further steps take place at the wake-up times that the policy requests.
    for time_remaining in [333, 500, 504, 777].map(millis) {
        let mut instance = Instance::new(settings());
        let sent_at = instance.now();
        let request = RequestBuilder::new(IDEMPOTENT).time_remaining(time_remaining);
        let decisions = instance.step_now(|policy| {
            let draining = EndpointBuilder::new("m1").state(EndpointState::Draining);
            draining.deliver_to(policy);
            request.send(policy, 7);
        });
        assert!(decisions.is_empty());

        let steps = std::iter::repeat_with(|| {
            let pause = instance.policy().wake_up_at() - instance.now();
            instance.wait(pause)
        });
        let first_decisions = steps.take(200).find(|step| !step.is_empty());

        assert_eq!(
            first_decisions.expect("the request is answered"),
            [reject(7)]
        );
        let waited = (instance.now() - sent_at).as_millis();
        assert_eq!(waited, time_remaining.min(millis(500)).as_millis());
    }
}
