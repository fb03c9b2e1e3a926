//! Monotonic key builds: an idempotency key that a later build has answered is not sent to an
//! earlier one, except during a rollback.

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, BuildNumber, EndpointState, RolloutPhase};

use crate::harness::{
    AttemptResultBuilder, BASELINE, CANDIDATE, Decision, EndpointBuilder, IDEMPOTENT, Instance,
    RequestBuilder, RolloutStatusBuilder, attempt_id, first_attempt, list_endpoints, millis,
    settings,
};

/// Expected attempt of a request whose key the candidate has already answered.
struct KeyCase {
    monotonic_key_builds: bool,
    phase: RolloutPhase,
    /// The candidate's endpoint is draining, so only the baseline's can be selected.
    candidate_drains: bool,
    expected: Decision,
}

fn key_cases() -> [KeyCase; 3] {
    [
        KeyCase {
            monotonic_key_builds: true,
            phase: RolloutPhase::Canary,
            candidate_drains: false,
            expected: first_attempt(2, "new"),
        },
        KeyCase {
            monotonic_key_builds: true,
            phase: RolloutPhase::RollingBack,
            candidate_drains: true,
            expected: first_attempt(2, "old"),
        },
        KeyCase {
            monotonic_key_builds: false,
            phase: RolloutPhase::Canary,
            candidate_drains: true,
            expected: first_attempt(2, "old"),
        },
    ]
}

#[test]
fn key_answered_by_a_canary_stays_there_if_key_builds_are_monotonic() {
    for case in key_cases() {
        let mut instance = Instance::new(Settings {
            monotonic_key_builds: case.monotonic_key_builds,
            exposure_allowance: 1.0,
            ..settings()
        });
        instance.step_now(|policy| {
            list_endpoints(policy, &["new"], CANDIDATE);
            announce_canary(policy);
            send_with_key(policy, 1, "k");
        });
        instance.step(millis(10), |policy| {
            AttemptResultBuilder::succeeded(millis(10)).report(policy, 1);
        });

        let decisions = instance.step(millis(10), |policy| {
            if case.candidate_drains {
                drain(policy, "new", CANDIDATE);
            }
            list_endpoints(policy, &["old"], BASELINE);
            RolloutStatusBuilder::new(CANDIDATE, case.phase)
                .stage(1)
                .deliver_to(policy);
            send_with_key(policy, 2, "k");
        });

        assert_eq!(decisions, [case.expected]);
    }
}

fn announce_canary(policy: &mut Balancer) {
    let status = RolloutStatusBuilder::canary(CANDIDATE).stage(1);
    status.deliver_to(policy);
}

fn drain(policy: &mut Balancer, name: &str, build: u32) {
    let endpoint = EndpointBuilder::new(name).build(build);
    endpoint.state(EndpointState::Draining).deliver_to(policy);
}

fn monotonic_settings() -> Settings {
    Settings {
        monotonic_key_builds: true,
        health_checks: false,
        ..settings()
    }
}

fn send_with_key(policy: &mut Balancer, id: u64, key: &str) {
    let request = RequestBuilder::new(IDEMPOTENT).idempotency_key(key);
    request.send(policy, id);
}

/// Returns an instance during a canary, with request 1 with the key `a` in flight at its only
/// endpoint.
fn instance_with_key_in_flight_at(endpoint: &str, build: u32) -> Instance {
    let mut instance = Instance::new(monotonic_settings());
    let decisions = instance.step_now(|policy| {
        list_endpoints(policy, &[endpoint], build);
        announce_canary(policy);
        send_with_key(policy, 1, "a");
    });
    assert_eq!(decisions, [first_attempt(1, endpoint)]);
    instance
}

/// Returns an instance with request 1 with the key `a` in flight at the candidate, whose endpoint
/// `m2` is draining. The only ready endpoint is `m1`, which runs the baseline.
fn instance_with_key_in_flight_at_candidate() -> Instance {
    let mut instance = instance_with_key_in_flight_at("m2", CANDIDATE);
    instance.step_now(|policy| {
        drain(policy, "m2", CANDIDATE);
        list_endpoints(policy, &["m1"], BASELINE);
    });
    instance
}

#[test]
fn key_in_flight_at_a_later_build_is_sent_to_an_earlier_one_only_once_it_was_rejected() {
    let mut instance = instance_with_key_in_flight_at_candidate();

    let while_in_flight = instance.step(millis(1), |policy| {
        send_with_key(policy, 2, "a");
        send_with_key(policy, 3, "b");
    });
    let overloaded = AttemptResultBuilder::new(AttemptOutcome::Overloaded, millis(2));
    let after_rejection = instance.step(millis(1), |policy| {
        overloaded.finishes_request(true).report(policy, 1);
    });

    assert_eq!(while_in_flight, [first_attempt(3, "m1")]);
    assert_eq!(after_rejection, [first_attempt(2, "m1")]);
}

#[test]
fn key_answered_by_a_later_build_is_sent_to_an_earlier_one_only_during_a_rollback() {
    let mut instance = instance_with_key_in_flight_at_candidate();
    instance.step(millis(1), |policy| send_with_key(policy, 2, "a"));

    let after_answer = instance.step(millis(1), |policy| {
        AttemptResultBuilder::succeeded(millis(2)).report(policy, 1);
    });
    let during_rollback = instance.step(millis(1), |policy| {
        let status = RolloutStatusBuilder::new(CANDIDATE, RolloutPhase::RollingBack);
        status.stage(1).traffic_cap(0.0).deliver_to(policy);
    });

    assert!(after_answer.is_empty(), "{after_answer:?}");
    assert_eq!(during_rollback, [first_attempt(2, "m1")]);
}

#[test]
fn attempt_at_an_earlier_build_is_not_written_after_a_later_one_has_answered_its_key() {
    let mut instance = instance_with_key_in_flight_at("m1", BASELINE);

    let may_write = instance.may_write_after(millis(1), attempt_id(1, 0), |policy| {
        policy.restore_key_build("a", BuildNumber::new(CANDIDATE));
    });

    assert!(!may_write);
}

/// Outcome of the attempt at the candidate, and whether the key may then be sent to the baseline.
struct AnswerCase {
    outcome: AttemptOutcome,
    /// The baseline then answers an earlier request with the same key.
    baseline_answers_later: bool,
    may_return_to_baseline: bool,
}

impl AnswerCase {
    const fn new(outcome: AttemptOutcome, may_return_to_baseline: bool) -> AnswerCase {
        AnswerCase {
            outcome,
            baseline_answers_later: false,
            may_return_to_baseline,
        }
    }
}

const ANSWER_CASES: [AnswerCase; 8] = [
    AnswerCase::new(AttemptOutcome::Succeeded, false),
    AnswerCase {
        baseline_answers_later: true,
        ..AnswerCase::new(AttemptOutcome::Succeeded, false)
    },
    AnswerCase::new(AttemptOutcome::ConnectionReset, false),
    AnswerCase::new(AttemptOutcome::TimedOut, false),
    AnswerCase::new(AttemptOutcome::Malformed, false),
    AnswerCase::new(AttemptOutcome::Cancelled, false),
    AnswerCase::new(AttemptOutcome::Failed, true),
    AnswerCase::new(AttemptOutcome::Refused, true),
];

/// Returns an instance with two requests with the key `a` in flight: first request 1 at the
/// baseline, then request 2 at the candidate.
fn instance_with_key_in_flight_at_both_builds() -> Instance {
    let mut instance = instance_with_key_in_flight_at("m1", BASELINE);
    let at_candidate = instance.step(millis(1), |policy| {
        drain(policy, "m1", BASELINE);
        list_endpoints(policy, &["m2"], CANDIDATE);
        send_with_key(policy, 2, "a");
    });
    assert_eq!(at_candidate, [first_attempt(2, "m2")]);
    instance
}

#[test]
fn key_that_a_later_build_may_have_answered_stays_with_it() {
    for case in ANSWER_CASES {
        let mut instance = instance_with_key_in_flight_at_both_builds();
        let result = AttemptResultBuilder::new(case.outcome, millis(1)).finishes_request(true);
        instance.step(millis(1), |policy| {
            drain(policy, "m2", CANDIDATE);
            result.client_disconnects().report(policy, 2);
        });
        if case.baseline_answers_later {
            instance.step(millis(1), |policy| {
                AttemptResultBuilder::succeeded(millis(3)).report(policy, 1);
            });
        }

        let decisions = instance.step(millis(1), |policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            send_with_key(policy, 3, "a");
        });

        let attempts = decisions.count(&first_attempt(3, "m1"));
        let name = format!("{:?}: {decisions:?}", case.outcome);
        assert_eq!(attempts, usize::from(case.may_return_to_baseline), "{name}");
    }
}
