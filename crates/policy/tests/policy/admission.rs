//! Which requests are served, and which are rejected.

use crate::harness::*;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState, Timestamp};

#[test]
fn a_request_without_endpoints_is_rejected_once_and_in_time() {
    for route in 0..3 {
        let mut instance = Instance::new(settings());
        let mut all = instance.step(0, |policy| request(policy, 7, route, None, 200 * MS, 1.0));
        for _ in 0..40 {
            all.extend(instance.step(10 * MS, |_| {}));
            assert!(instance.now < 100_200 * MS || all.len() == 1);
        }
        assert_eq!(all, ["reject 7"]);
    }
}

#[test]
fn routes_of_similar_priority_take_turns_under_the_concurrency_limit() {
    // What the older of two waiting requests earns -> which goes first: the newer, unless it earns far less.
    for (earnings, wanted) in [(1.2, "attempt 8 m1"), (4.0, "attempt 7 m1")] {
        let mut set = settings();
        set.routes[2].priority_weight = earnings;
        let mut instance = Instance::new(set);
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            (0..6).for_each(|id| request(policy, id, 0, None, 900 * MS, 1.0));
        });
        let waiting = instance.step(MS, |policy| request(policy, 7, 2, None, 900 * MS, 1.0));
        instance.step(MS, |policy| request(policy, 8, 0, None, 900 * MS, 1.0));
        assert_eq!(waiting.len(), 0);
        let got = instance.step(MS, |policy| {
            outcome(policy, 0, 0, AttemptOutcome::Failed, 3 * MS, true, None);
        });
        assert_eq!(got, [wanted]);
    }
}

#[test]
fn a_fleet_that_is_slow_by_itself_is_not_left_idle() {
    // Every answer is hard, however few are out: narrowing further would only reject what endpoints could do.
    let mut instance = Instance::new(Settings {
        instance_count: 2,
        ..settings()
    });
    instance.step(0, |policy| {
        ["m1", "m2", "m3", "m4"]
            .into_iter()
            .for_each(|m| warm(policy, m, "z1", 1));
    });
    let mut out: Vec<u64> = Vec::new();
    for id in 0..2_000 {
        let first = out.first().copied().filter(|id_then| id >= id_then + 20);
        let got = instance.step(10 * MS, |policy| {
            first.into_iter().for_each(|id| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    200 * MS,
                    true,
                    None,
                );
            });
            request(policy, id, 0, None, 900 * MS, 1.0);
        });
        out.retain(|id| Some(*id) != first);
        out.extend(got.iter().filter_map(|l| {
            l.strip_prefix("attempt ")?
                .split(' ')
                .next()?
                .parse::<u64>()
                .ok()
        }));
    }
    assert!(out.len() >= 3, "{} out", out.len());
}

#[test]
fn an_instance_that_shuts_down_answers_all_requests_before_its_deadline() {
    // Whatever time the client gives: held for want of endpoints, or out and timed out by the host.
    for machines in [&[][..], &["m1"]] {
        let mut instance = Instance::new(settings());
        let mut all = instance.step(0, |policy| {
            machines.iter().for_each(|m| warm(policy, m, "z1", 1));
            request(policy, 7, 0, None, 8000 * MS, 1.0);
        });
        let by = instance.now + 400 * MS;
        all.extend(instance.step(10 * MS, |policy| {
            policy.begin_shutdown(Timestamp::from_micros(by));
        }));
        all.extend(instance.step(10 * MS, |policy| {
            request(policy, 8, 0, None, 8000 * MS, 1.0);
        }));
        while instance.now < by {
            all.extend(instance.step(10 * MS, |_| {}));
        }
        let out: Vec<u64> = [7, 8]
            .into_iter()
            .filter(|id| all.contains(&format!("attempt {id} m1")))
            .collect();
        all.extend(instance.step(0, |policy| {
            out.iter().for_each(|id| {
                outcome(
                    policy,
                    *id,
                    0,
                    AttemptOutcome::TimedOut,
                    400 * MS,
                    false,
                    None,
                );
            });
        }));
        assert!(
            all.contains(&"reject 7".into()) && all.contains(&"reject 8".into()),
            "{all:?}"
        );
        assert_eq!(out.len(), 2 * machines.len());
    }
}

#[test]
fn a_waiting_request_is_given_up_in_the_step_in_which_its_time_is_over() {
    // Rounds come only when the policy has asked for them.
    for left in [333, 500, 504, 777] {
        let mut instance = Instance::new(settings());
        let begun = instance.now;
        let got = instance.step(0, |policy| {
            endpoint(policy, "m1", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            request(policy, 7, 0, None, left * MS, 1.0);
        });
        assert!(got.is_empty());
        let got = std::iter::repeat_with(|| {
            instance.step(
                instance.policy.wake_up_at().as_micros() - instance.now,
                |_| {},
            )
        });
        assert_eq!(
            got.take(200).find(|got| !got.is_empty()),
            Some(vec!["reject 7".to_string()])
        );
        assert_eq!((instance.now - begun) / MS, left.min(500), "{left}");
    }
}
