//! Retries and hedged attempts.

use std::time::Duration;

use tidescale_policy::types::{AttemptOutcome, RouteIndex};

use crate::harness::{
    AttemptResultBuilder, BASELINE, Decision, Decisions, Exchange, IDEMPOTENCY_KEY, IDEMPOTENT,
    Instance, NOT_IDEMPOTENT, RequestBuilder, cancel, first_attempt, list_endpoints, millis,
    second_attempt, settings,
};

#[test]
fn second_attempt_waits_for_the_end_of_the_first_without_known_latencies() {
    // A hedged attempt would double the load under congestion, and a request that is expensive
    // takes as long at another endpoint.
    let mut instance = Instance::new(settings());
    let request = RequestBuilder::new(IDEMPOTENT).time_remaining(millis(2000));
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1"], BASELINE);
        request.send(policy, 1);
    });
    instance.step_now(|policy| list_endpoints(policy, &["m2"], BASELINE));

    let in_flight = instance.wait_steps(40, millis(10));
    let failed = AttemptResultBuilder::new(AttemptOutcome::Failed, millis(410));
    let after_failure = instance.step(millis(10), |policy| failed.report(policy, 1));

    assert_eq!(in_flight.attempt_count(), 0, "{in_flight:?}");
    assert_eq!(after_failure, [second_attempt(1, "m2")]);
}

/// How long the first attempt of a request has been in flight, and whether the request is hedged by
/// then.
struct HedgeCase {
    name: &'static str,
    route: RouteIndex,
    age: Duration,
    /// Number of requests that the endpoint has rejected as overloaded just before.
    rejected_under_load: u64,
    is_hedged: bool,
}

impl HedgeCase {
    const DEFAULT: HedgeCase = HedgeCase {
        name: "more than half the objective",
        route: IDEMPOTENT,
        age: millis(251),
        rejected_under_load: 0,
        is_hedged: true,
    };
}

const HEDGE_CASES: [HedgeCase; 7] = [
    HedgeCase::DEFAULT,
    HedgeCase {
        name: "less than half the objective",
        age: millis(240),
        is_hedged: false,
        ..HedgeCase::DEFAULT
    },
    HedgeCase {
        name: "few slow responses",
        rejected_under_load: 20,
        ..HedgeCase::DEFAULT
    },
    HedgeCase {
        name: "congestion",
        rejected_under_load: 60,
        is_hedged: false,
        ..HedgeCase::DEFAULT
    },
    HedgeCase {
        name: "within the idempotency window of 300 ms",
        route: IDEMPOTENCY_KEY,
        ..HedgeCase::DEFAULT
    },
    HedgeCase {
        name: "after the idempotency window",
        route: IDEMPOTENCY_KEY,
        age: millis(310),
        is_hedged: false,
        ..HedgeCase::DEFAULT
    },
    HedgeCase {
        name: "not idempotent",
        route: NOT_IDEMPOTENT,
        is_hedged: false,
        ..HedgeCase::DEFAULT
    },
];

/// Returns an instance that has measured the latency of the endpoint `m1` over 120 responses.
fn instance_with_known_latency() -> Instance {
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| list_endpoints(policy, &["m1"], BASELINE));
    for id in 0..120 {
        let response = AttemptResultBuilder::succeeded(millis(20));
        Exchange::new(id).run(&mut instance, |_| response);
    }
    instance
}

/// Lets the endpoint `m1` reject requests as overloaded. The rejections count as slow responses,
/// regardless of their duration.
fn reject_under_load(instance: &mut Instance, requests: u64) {
    for id in 200..200 + requests {
        let rejected = AttemptResultBuilder::new(AttemptOutcome::Overloaded, Duration::ZERO);
        Exchange::new(id).run(instance, |decisions| {
            assert_eq!(*decisions, [first_attempt(id, "m1")]);
            rejected.finishes_request(true)
        });
    }
}

/// Returns the mean latency of the responses of the idempotent route, in microseconds.
fn mean_latency(instance: &mut Instance) -> f64 {
    let sums = instance.route_latency(IDEMPOTENT);
    sums.latency / sums.responses
}

/// Filters decisions for started attempts and rejected requests.
fn attempts_and_rejections(decisions: &Decisions) -> Decisions {
    decisions.filtered(|decision| {
        matches!(
            decision,
            Decision::StartAttempt { .. } | Decision::RejectRequest { .. }
        )
    })
}

#[test]
fn attempt_that_may_be_lost_is_hedged_and_the_first_response_counts() {
    for case in HEDGE_CASES {
        let name = case.name;
        let mut instance = instance_with_known_latency();
        reject_under_load(&mut instance, case.rejected_under_load);
        let latency_before = mean_latency(&mut instance);
        let request = RequestBuilder::new(case.route);
        let after_request = instance.step(millis(10), |policy| request.send(policy, 900));
        assert_eq!(
            attempts_and_rejections(&after_request),
            [first_attempt(900, "m1")],
            "{name}"
        );
        instance.step_now(|policy| list_endpoints(policy, &["m2"], BASELINE));

        let decisions = attempts_and_rejections(&instance.wait(case.age));

        if !case.is_hedged {
            assert!(decisions.is_empty(), "{name}: {decisions:?}");
            continue;
        }
        assert_eq!(decisions, [second_attempt(900, "m2")], "{name}");
        let response = AttemptResultBuilder::succeeded(millis(20));
        let decisions = instance.step(millis(20), |policy| {
            response.report_attempt(policy, 900, 1);
        });
        let is_cancel = |decision: &Decision| matches!(decision, Decision::CancelAttempt { .. });
        assert_eq!(decisions.filtered(is_cancel), [cancel(900)], "{name}");
        // The first attempt's latency must be included in the mean, or each hedged attempt would
        // lower the latency estimate.
        let latency_after = mean_latency(&mut instance);
        let is_counted = latency_after > latency_before * 1.01;
        assert!(
            case.route != IDEMPOTENT || is_counted,
            "{name}: {latency_after}"
        );
    }
}
