//! Evaluation of a canary against the baseline, and the resulting votes. Names of endpoints of the
//! baseline start with `o`, those of the candidate with `n`.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, VoteResult};

use crate::harness::{
    AttemptResultBuilder, BASELINE, CANDIDATE, CanaryTraffic, Decisions, Exchange, IDEMPOTENT,
    Instance, RequestBuilder, RolloutStatusBuilder, first_attempt, list_canary_fleet,
    list_endpoints, millis, rollback_vote, settings, single_stage_settings,
};

/// Returns an instance with two endpoints of each build while the candidate is a canary.
fn instance_during_canary(traffic_cap: f64) -> Instance {
    let mut instance = Instance::new(single_stage_settings(0.5));
    instance.step_now(|policy| {
        list_canary_fleet(policy);
        let status = RolloutStatusBuilder::canary(CANDIDATE);
        status.traffic_cap(traffic_cap).deliver_to(policy);
    });
    instance
}

/// Returns the number of rollback votes cast in six seconds if this number of every ten attempts at
/// the candidate fail.
fn rollback_votes(failures_per_ten: u64) -> usize {
    let mut instance = instance_during_canary(0.5);
    let mut traffic = CanaryTraffic::new(failures_per_ten);
    let mut decisions = Decisions::default();
    for id in 0..6 * 50 {
        decisions.append(traffic.send(&mut instance, id));
    }
    decisions.count(&rollback_vote())
}

#[test]
fn canary_with_high_error_rate_is_rolled_back() {
    assert!(rollback_votes(4) > 0);
}

#[test]
fn canary_without_errors_is_not_rolled_back() {
    assert_eq!(rollback_votes(0), 0);
}

/// The platform's response to a vote, and how often the vote is cast again within a second.
struct VoteCase {
    result: VoteResult,
    repeat_votes: usize,
}

const VOTE_CASES: [VoteCase; 4] = [
    VoteCase {
        result: VoteResult::Accepted,
        repeat_votes: 0,
    },
    VoteCase {
        result: VoteResult::Busy,
        repeat_votes: 1,
    },
    VoteCase {
        result: VoteResult::Unknown,
        repeat_votes: 1,
    },
    VoteCase {
        result: VoteResult::Failed,
        repeat_votes: 1,
    },
];

/// Sends requests until a rollback vote is cast; all attempts at the candidate fail. Returns the
/// number of rollback votes cast.
fn serve_until_rollback_vote(instance: &mut Instance) -> usize {
    let mut votes = (0..500).map(|id| {
        let exchange = Exchange::new(id).response_after(millis(10));
        let decisions = exchange.run(instance, |decisions| {
            let outcome = if decisions.attempts_at("n") > 0 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            };
            AttemptResultBuilder::new(outcome, millis(10)).finishes_request(true)
        });
        decisions.count(&rollback_vote())
    });
    votes.find(|votes| *votes > 0).unwrap_or(0)
}

#[test]
fn vote_that_was_not_accepted_is_cast_again() {
    for VoteCase {
        result,
        repeat_votes,
    } in VOTE_CASES
    {
        let mut instance = instance_during_canary(1.0);
        assert_eq!(serve_until_rollback_vote(&mut instance), 1);

        instance.step(millis(10), |policy| policy.on_vote_result(result));
        let decisions = instance.wait_steps(4, millis(250));

        let votes = decisions.count(&rollback_vote());
        assert_eq!(votes, repeat_votes, "{result:?}: {decisions:?}");
    }
}

/// Sends eight requests in one step and reports the results of their attempts in the next; attempts
/// at the candidate end with `candidate_outcome`, others succeed.
fn send_batch(
    instance: &mut Instance,
    first_id: u64,
    candidate_outcome: AttemptOutcome,
) -> Decisions {
    let ids = first_id..first_id + 8;
    let started = instance.step(millis(10), |policy| {
        RequestBuilder::new(IDEMPOTENT).send_all(policy, ids.clone());
    });
    instance.step(millis(10), |policy| {
        for id in ids {
            let outcome = if started.contains(&first_attempt(id, "n1")) {
                candidate_outcome
            } else {
                AttemptOutcome::Succeeded
            };
            let result = AttemptResultBuilder::new(outcome, millis(10));
            result.finishes_request(true).report(policy, id);
        }
    })
}

/// Returns whether the candidate is rolled back after all attempts in flight at its endpoint have
/// ended simultaneously with this outcome, three times.
fn is_rolled_back_after(outcome: AttemptOutcome) -> bool {
    let mut instance = Instance::new(single_stage_settings(1.0));
    instance.step_now(|policy| {
        list_endpoints(policy, &["o1"], BASELINE);
        list_endpoints(policy, &["n1"], CANDIDATE);
        RolloutStatusBuilder::canary(CANDIDATE).deliver_to(policy);
    });
    for batch in 0..57 {
        let decisions = send_batch(&mut instance, 8 * batch, AttemptOutcome::Succeeded);
        assert_eq!(decisions.count(&rollback_vote()), 0);
    }
    let mut decisions = Decisions::default();
    for batch in 57..60 {
        decisions.append(send_batch(&mut instance, 8 * batch, outcome));
    }
    decisions.append(instance.wait(millis(250)));
    decisions.count(&rollback_vote()) > 0
}

#[test]
fn crash_with_many_attempts_in_flight_counts_as_one_failure() {
    assert!(!is_rolled_back_after(AttemptOutcome::ConnectionReset));
    assert!(is_rolled_back_after(AttemptOutcome::Failed));
}

/// Replaces the fleet with 16 endpoints of the candidate.
fn replace_fleet_with_candidate(policy: &mut Balancer) {
    policy.on_complete_endpoint_list();
    for index in 0..16 {
        list_endpoints(policy, &[&format!("n{index}")], CANDIDATE);
    }
    RolloutStatusBuilder::canary(CANDIDATE).deliver_to(policy);
}

/// Outcome of the last `failures` of 16 attempts at a candidate that has replaced the baseline.
struct ReplacementCase {
    failures: u64,
    outcome: AttemptOutcome,
    is_rolled_back: bool,
}

const REPLACEMENT_CASES: [ReplacementCase; 3] = [
    ReplacementCase {
        failures: 6,
        outcome: AttemptOutcome::Failed,
        is_rolled_back: false,
    },
    ReplacementCase {
        failures: 12,
        outcome: AttemptOutcome::Failed,
        is_rolled_back: true,
    },
    ReplacementCase {
        failures: 12,
        outcome: AttemptOutcome::Malformed,
        is_rolled_back: false,
    },
];

#[test]
fn only_many_errors_roll_back_a_canary_without_a_concurrent_baseline() {
    for case in REPLACEMENT_CASES {
        let mut instance = Instance::new(single_stage_settings(1.0));
        instance.step_now(|policy| list_endpoints(policy, &["o1"], BASELINE));

        let mut decisions = Decisions::default();
        for id in 0..66 {
            if id == 50 {
                instance.step_now(replace_fleet_with_candidate);
            }
            let outcome = if id >= 66 - case.failures {
                case.outcome
            } else {
                AttemptOutcome::Succeeded
            };
            let result = AttemptResultBuilder::new(outcome, millis(20)).finishes_request(true);
            let exchange = Exchange::new(id).pause(millis(20));
            decisions.append(exchange.run(&mut instance, |_| result));
        }
        decisions.append(instance.wait(millis(250)));

        let is_rolled_back = decisions.count(&rollback_vote()) > 0;
        let name = format!("{} {:?}", case.failures, case.outcome);
        assert_eq!(is_rolled_back, case.is_rolled_back, "{name}");
    }
}

#[test]
fn canary_whose_endpoints_hang_is_rolled_back_although_they_are_ejected() {
    let mut instance = instance_during_canary(0.5);
    let request = RequestBuilder::new(IDEMPOTENT).time_remaining(Duration::from_secs(3));

    let mut decisions = Decisions::default();
    for id in 0..200 {
        let after_request = instance.step(millis(10), |policy| request.send(policy, id));
        if after_request.attempts_at("o") > 0 {
            decisions.append(instance.step(millis(10), |policy| {
                AttemptResultBuilder::succeeded(millis(10)).report(policy, id);
            }));
        }
        decisions.append(after_request);
    }

    assert!(decisions.health_checks_of("n") > 0);
    assert!(decisions.count(&rollback_vote()) > 0);
}

/// Returns whether the candidate is rolled back if its responses take this long and those of the
/// baseline take 20 ms. The instance has received three responses of each route before the rollout.
fn is_rolled_back_at_candidate_latency(candidate_latency: Duration) -> bool {
    let mut instance = Instance::new(single_stage_settings(0.5));
    instance.step_now(|policy| list_endpoints(policy, &["o1", "o2"], BASELINE));
    let mut decisions = Decisions::default();
    for id in 0..200 {
        if id == 9 {
            instance.step_now(|policy| {
                list_endpoints(policy, &["n1", "n2"], CANDIDATE);
                let status = RolloutStatusBuilder::canary(CANDIDATE);
                status.traffic_cap(0.5).deliver_to(policy);
            });
        }
        let route = ((id % 3) as usize).into();
        let request = RequestBuilder::new(route).without_cost_hint();
        let exchange = Exchange::new(id).request(request);
        decisions.append(exchange.run(&mut instance, |decisions| {
            let is_at_candidate = decisions.attempts_at("n") > 0;
            let latency = if is_at_candidate {
                candidate_latency
            } else {
                millis(20)
            };
            AttemptResultBuilder::succeeded(latency)
        }));
    }
    decisions.count(&rollback_vote()) > 0
}

#[test]
fn slow_canary_is_rolled_back_with_few_responses_of_each_route() {
    assert!(!is_rolled_back_at_candidate_latency(millis(20)));
    assert!(is_rolled_back_at_candidate_latency(millis(70)));
}

/// Returns whether the candidate is rolled back if the responses of both builds take this long
/// during its rollout, and those of the baseline took 10 ms before it.
fn is_rolled_back_at_fleet_latency(latency_during_rollout: Duration) -> bool {
    let mut instance = Instance::new(Settings {
        stage_caps: vec![0.1, 1.0],
        ..settings()
    });
    instance.step_now(|policy| {
        list_endpoints(policy, &["o1", "o2", "o3"], BASELINE);
        RolloutStatusBuilder::released(BASELINE)
            .stage(1)
            .deliver_to(policy);
    });
    let mut decisions = Decisions::default();
    for id in 0..300 {
        if id == 150 {
            instance.step_now(|policy| {
                list_endpoints(policy, &["n1"], CANDIDATE);
                let status = RolloutStatusBuilder::canary(CANDIDATE);
                status.traffic_cap(0.1).deliver_to(policy);
            });
        }
        let latency = if id < 150 {
            millis(10)
        } else {
            latency_during_rollout
        };
        let response = AttemptResultBuilder::succeeded(latency);
        decisions.append(Exchange::new(id).run(&mut instance, |_| response));
    }
    decisions.count(&rollback_vote()) > 0
}

#[test]
fn canary_that_slows_the_baseline_endpoints_down_is_rolled_back() {
    assert!(!is_rolled_back_at_fleet_latency(millis(10)));
    assert!(is_rolled_back_at_fleet_latency(millis(40)));
}
