//! Retries of requests after an attempt that may have been executed.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope};
use tidescale_policy::types::{AttemptOutcome, RouteIndex};

use crate::harness::{
    AttemptResultBuilder, BASELINE, CLIENT_DEADLINE, Decision, EndpointBuilder, IDEMPOTENCY_KEY,
    IDEMPOTENT, Instance, NOT_IDEMPOTENT, RequestBuilder, attempt_id, fail, first_attempt,
    list_endpoints, millis, reject, second_attempt, settings,
};

/// The result of an attempt at `m1` in zone `z1`, and the expected retry.
struct RetryCase {
    route: RouteIndex,
    outcome: AttemptOutcome,
    duration: Duration,
    /// Zone of the endpoint `m2`.
    other_zone: &'static str,
    /// Endpoint of the second attempt; `None` if the request fails instead.
    retried_at: Option<&'static str>,
}

impl RetryCase {
    /// Creates the case of an attempt that has failed after 10 ms, with another endpoint in the
    /// same zone.
    fn new(route: RouteIndex) -> RetryCase {
        RetryCase {
            route,
            outcome: AttemptOutcome::Failed,
            duration: millis(10),
            other_zone: "z1",
            retried_at: None,
        }
    }

    fn outcome(mut self, outcome: AttemptOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    fn other_zone(mut self, zone: &'static str) -> Self {
        self.other_zone = zone;
        self
    }

    fn retried_at(mut self, endpoint: &'static str) -> Self {
        self.retried_at = Some(endpoint);
        self
    }

    fn expected(&self) -> Decision {
        let retry = self.retried_at.map(|endpoint| second_attempt(7, endpoint));
        retry.unwrap_or(fail(7))
    }
}

fn retry_cases() -> [RetryCase; 11] {
    use AttemptOutcome::{ConnectionReset, NotSent, Overloaded, Refused};
    let idempotent = || RetryCase::new(IDEMPOTENT);
    let with_key = || RetryCase::new(IDEMPOTENCY_KEY);
    let not_idempotent = || RetryCase::new(NOT_IDEMPOTENT);
    let window = millis(300);
    [
        idempotent().other_zone("z2").retried_at("m2"),
        with_key().retried_at("m2"),
        with_key().other_zone("z2").retried_at("m1"),
        with_key().duration(window - millis(1)).retried_at("m2"),
        with_key().duration(window),
        with_key()
            .duration(window)
            .outcome(Refused)
            .other_zone("z2")
            .retried_at("m2"),
        not_idempotent(),
        not_idempotent().outcome(ConnectionReset),
        not_idempotent().outcome(Overloaded).retried_at("m2"),
        not_idempotent().outcome(Refused).retried_at("m2"),
        not_idempotent().outcome(NotSent).retried_at("m2"),
    ]
}

#[test]
fn attempt_that_may_have_executed_is_retried_only_as_its_route_allows() {
    for case in retry_cases() {
        let mut instance = Instance::new(settings());
        let decisions = instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            RequestBuilder::new(case.route).send(policy, 7);
        });
        assert_eq!(decisions, [first_attempt(7, "m1")]);
        instance.step_now(|policy| {
            EndpointBuilder::new("m2")
                .zone(case.other_zone)
                .deliver_to(policy);
        });

        let result = AttemptResultBuilder::new(case.outcome, case.duration);
        let decisions = instance.step(case.duration, |policy| result.report(policy, 7));

        let RetryCase {
            route,
            outcome,
            duration,
            other_zone,
            ..
        } = &case;
        let name = format!("{route} {outcome:?} {duration:?} {other_zone}");
        assert_eq!(decisions, [case.expected()], "{name}");
    }
}

#[test]
fn request_with_idempotency_key_is_not_retried_after_its_endpoint_has_restarted() {
    // The endpoint has restarted in another zone, so the zone of the first attempt is not known.
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| {
        EndpointBuilder::new("m1").zone("z2").deliver_to(policy);
        RequestBuilder::new(IDEMPOTENCY_KEY).send(policy, 7);
    });
    let restarted_at = instance.now() + millis(5);
    instance.step(millis(10), |policy| {
        EndpointBuilder::new("m1")
            .started_at(restarted_at)
            .deliver_to(policy);
        list_endpoints(policy, &["m2"], BASELINE);
    });

    let reset = AttemptResultBuilder::new(AttemptOutcome::ConnectionReset, millis(20));
    let decisions = instance.step(millis(10), |policy| reset.report(policy, 7));

    assert_eq!(decisions, [fail(7)]);
}

/// Time from the first attempt until the connection of the second one is established, and whether
/// the request may then be written to that connection.
struct LateRetryCase {
    route: RouteIndex,
    written_after: Duration,
    may_write: bool,
}

#[test]
fn retry_whose_connection_is_late_is_written_only_within_the_idempotency_window() {
    let cases = [
        LateRetryCase {
            route: IDEMPOTENCY_KEY,
            written_after: millis(299),
            may_write: true,
        },
        LateRetryCase {
            route: IDEMPOTENCY_KEY,
            written_after: millis(300),
            may_write: false,
        },
        LateRetryCase {
            route: IDEMPOTENT,
            written_after: millis(300),
            may_write: true,
        },
    ];
    for case in cases {
        let mut instance = Instance::new(settings());
        instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            RequestBuilder::new(case.route).send(policy, 7);
        });
        let failed = AttemptResultBuilder::new(AttemptOutcome::Failed, millis(10));
        let decisions = instance.step(millis(10), |policy| failed.report(policy, 7));
        assert_eq!(decisions, [second_attempt(7, "m1")]);

        let connected_after = case.written_after - millis(10);
        let may_write = instance.may_write_after(connected_after, attempt_id(7, 1), |_| {});

        assert_eq!(may_write, case.may_write, "{:?}", case.written_after);
    }
}

/// The result of the only attempt of a request with an idempotency key, and the answer to the
/// client.
struct GivenUpCase {
    scope: KeyScope,
    window: Duration,
    outcome: AttemptOutcome,
    answer: Decision,
}

/// Guards against a duplicate execution by the client's retry: a rejection says that a retry is
/// harmless, but the endpoints may forget the key before the retry reaches them.
#[test]
fn request_with_key_is_rejected_after_an_execution_only_if_the_key_outlives_its_client() {
    use AttemptOutcome::{Cancelled, ConnectionReset, Failed, Overloaded, TimedOut};
    let shorter = CLIENT_DEADLINE - millis(1);
    let case = |scope, window, outcome, answer| GivenUpCase {
        scope,
        window,
        outcome,
        answer,
    };
    let cases = [
        case(KeyScope::Fleet, CLIENT_DEADLINE, Failed, reject(7)),
        case(KeyScope::Fleet, shorter, Failed, fail(7)),
        case(KeyScope::Fleet, shorter, TimedOut, fail(7)),
        case(KeyScope::Fleet, shorter, Cancelled, fail(7)),
        case(KeyScope::Fleet, shorter, ConnectionReset, fail(7)),
        case(KeyScope::Fleet, shorter, Overloaded, reject(7)),
        case(KeyScope::Zone, CLIENT_DEADLINE, Failed, fail(7)),
    ];
    for GivenUpCase {
        scope,
        window,
        outcome,
        answer,
    } in cases
    {
        let mut settings = settings();
        settings.max_attempts = 1;
        settings.routes[IDEMPOTENCY_KEY.get()].idempotency =
            Idempotency::IdempotencyKey { scope, window };
        let mut instance = Instance::new(settings);
        instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            RequestBuilder::new(IDEMPOTENCY_KEY).send(policy, 7);
        });

        let result = AttemptResultBuilder::new(outcome, millis(10));
        let decisions = instance.step(millis(10), |policy| result.report(policy, 7));

        assert_eq!(decisions, [answer], "{scope:?} {window:?} {outcome:?}");
    }
}
