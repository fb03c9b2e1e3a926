//! The guards of the rules, each at its edge.

use crate::harness::*;
use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState, RolloutPhase};

#[test]
fn an_attempt_that_may_have_executed_is_retried_only_as_its_route_allows() {
    // route, how the first attempt ended, time until then, a second endpoint's zone -> further attempt, reject, error
    let table = [
        (0, AttemptOutcome::Failed, 10, "z2", "attempt 7 m2"),
        (1, AttemptOutcome::Failed, 10, "z1", "attempt 7 m2"),
        (1, AttemptOutcome::Failed, 10, "z2", "attempt 7 m1"),
        (1, AttemptOutcome::Failed, 299, "z1", "attempt 7 m2"),
        (1, AttemptOutcome::Failed, 300, "z1", "fail 7"),
        (1, AttemptOutcome::Refused, 300, "z2", "attempt 7 m2"),
        (2, AttemptOutcome::Failed, 10, "z1", "fail 7"),
        (2, AttemptOutcome::ConnectionReset, 10, "z1", "fail 7"),
        (2, AttemptOutcome::Overloaded, 10, "z1", "attempt 7 m2"),
        (2, AttemptOutcome::Refused, 10, "z1", "attempt 7 m2"),
        (2, AttemptOutcome::NotSent, 10, "z1", "attempt 7 m2"),
    ];
    for (route, end, after, zone, wanted) in table {
        let mut instance = Instance::new(settings());
        let sent = instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            request(policy, 7, route, None, 900 * MS, 1.0);
        });
        assert_eq!(sent, ["attempt 7 m1"]);
        instance.step(0, |policy| warm(policy, "m2", zone, 1));
        let got = instance.step(after * MS, |policy| {
            outcome(policy, 7, 0, end, after * MS, false, None);
        });
        assert_eq!(got, [wanted], "{route} {end:?} {after} {zone}: {got:?}");
    }
}

#[test]
fn a_restarted_endpoint_shares_no_idempotency_keys() {
    // Its id may have retry in another zone, where the group that saw the first attempt is not known.
    let mut instance = Instance::new(settings());
    instance.step(0, |policy| {
        warm(policy, "m1", "z2", 1);
        request(policy, 7, 1, None, 900 * MS, 1.0);
    });
    let now = instance.now;
    instance.step(10 * MS, |policy| {
        endpoint(
            policy,
            "m1",
            ("z1", 0, "k"),
            1,
            EndpointState::Ready,
            now + 5 * MS,
        );
        warm(policy, "m2", "z1", 1);
    });
    let got = instance.step(10 * MS, |policy| {
        outcome(
            policy,
            7,
            0,
            AttemptOutcome::ConnectionReset,
            20 * MS,
            false,
            None,
        );
    });
    assert_eq!(got, ["fail 7"]);
}

#[test]
fn no_attempt_goes_to_an_endpoint_that_drains_is_removed_or_is_not_in_a_complete_list() {
    for (whole, standing) in [
        (false, Some(EndpointState::Draining)),
        (false, Some(EndpointState::Removed)),
        (true, None),
    ] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| warm(policy, "m1", "z1", 1));
        let got = instance.step(0, |policy| {
            endpoint_list(policy, whole);
            standing
                .into_iter()
                .for_each(|st| endpoint(policy, "m1", ("z1", 0, "k"), 1, st, 0));
            request(policy, 7, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(got.len(), 0, "{got:?}");
    }
}

/// Only a endpoint of the canary is there: what goes out is what rule 5 allows.
fn exposed(set: Settings, build: u32, stage: u32, cap: f64, route: usize, reqs: u64) -> usize {
    let mut instance = Instance::new(set);
    let got = instance.step(0, |policy| {
        warm(policy, "m1", "z1", build);
        rollout_status(policy, 2, stage, RolloutPhase::Canary, cap, 0);
        (0..reqs).for_each(|id| request(policy, id, route, None, 900 * MS, 1.0));
    });
    count(&got, "attempt")
}

#[test]
fn exposure_stays_within_allowance_and_cap() {
    // build listed, stage, cap told, route, requests -> attempts
    let table = [
        (2, 1, 0.5, 0, 1, 1),
        (2, 1, 0.1, 0, 10, 3),
        (2, 1, 0.1, 0, 9, 2),
        (2, 1, 0.0, 0, 10, 0),
        (2, 0, 0.1, 2, 10, 0),
        (2, 1, 0.1, 2, 10, 3),
        // Not announced yet: as in the first stage.
        (3, 2, 1.0, 0, 10, 3),
        (3, 2, 1.0, 2, 10, 0),
    ];
    for (build, stage, cap, route, reqs, wanted) in table {
        let got = exposed(settings(), build, stage, cap, route, reqs);
        assert_eq!(got, wanted, "{build} {stage} {cap} {route} {reqs}");
    }
}

#[test]
fn exposure_is_counted_by_route_where_settings_say_so() {
    for (by_route, wanted) in [(false, 3), (true, 2)] {
        let mut instance = Instance::new(Settings {
            exposure_by_route: by_route,
            ..settings()
        });
        let got = instance.step(0, |policy| {
            warm(policy, "m1", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 0.1, 0);
            (0..10).for_each(|id| request(policy, id, usize::from(id >= 5), None, 900 * MS, 1.0));
        });
        let first = (0..5)
            .filter(|id| got.contains(&format!("attempt {id} m1")))
            .count();
        assert_eq!(
            if by_route {
                first
            } else {
                count(&got, "attempt")
            },
            wanted
        );
    }
}

#[test]
fn the_exposure_window_drops_attempts_after_its_length_only() {
    for (pass, wanted) in [(4000 * MS, 0), (4000 * MS + 1, 1)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 0.1, 0);
            (0..2).for_each(|id| request(policy, id, 0, None, 900 * MS, 1.0));
        });
        instance.step(20 * MS, |policy| {
            (0..2).for_each(|id| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    20 * MS,
                    true,
                    None,
                );
            });
        });
        let got = instance.step(pass - 20 * MS, |policy| {
            request(policy, 9, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(count(&got, "attempt"), wanted);
    }
}

#[test]
fn a_key_answered_by_the_canary_stays_there_where_keys_are_monotonic() {
    for (one_way, phase, wanted) in [
        (true, RolloutPhase::Canary, "attempt 2 new"),
        (true, RolloutPhase::RollingBack, "attempt 2 old"),
        (false, RolloutPhase::Canary, "attempt 2 old"),
    ] {
        let mut instance = Instance::new(Settings {
            monotonic_key_builds: one_way,
            exposure_allowance: 1.0,
            ..settings()
        });
        instance.step(0, |policy| {
            warm(policy, "new", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
            request(policy, 1, 0, Some("k"), 900 * MS, 1.0);
        });
        instance.step(10 * MS, |policy| {
            outcome(policy, 1, 0, AttemptOutcome::Succeeded, 10 * MS, true, None);
        });
        let got = instance.step(10 * MS, |policy| {
            if wanted.ends_with("old") {
                endpoint(policy, "new", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            }
            warm(policy, "old", "z1", 1);
            rollout_status(policy, 2, 1, phase, 1.0, 0);
            request(policy, 2, 0, Some("k"), 900 * MS, 1.0);
        });
        assert_eq!(got, [wanted]);
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_warming_endpoint_is_not_overloaded_by_many_instances_with_little_traffic() {
    // Fronts, and the requests a second of each: room for one request each would be many times what it bears.
    for (fronts, rate) in [(1, 100), (10, 10), (100, 1)] {
        let (mut sent, pass) = (0, 1000 * MS / rate);
        for me in 0..fronts {
            let mut instance = Instance::new(Settings {
                instance_count: fronts,
                instance_index: me,
                ..settings()
            });
            let start = instance.now;
            instance.step(0, |policy| {
                (0..5).for_each(|i| warm(policy, &format!("m{i}"), "z1", 1));
            });
            // Spread over the second, as the instances of a deployment are.
            instance.step(u64::from(me) * 10 * MS, |_| {});
            for id in 0.. {
                instance.step(10 * MS, |policy| {
                    request(policy, id, 0, None, 900 * MS, 1.0);
                });
                instance.step(10 * MS, |policy| {
                    outcome(
                        policy,
                        id,
                        0,
                        AttemptOutcome::Succeeded,
                        10 * MS,
                        true,
                        None,
                    );
                });
                if instance.now > start + 10_000 * MS {
                    break;
                }
                (0..20)
                    .for_each(|_| drop(instance.step(pass.saturating_sub(20 * MS) / 20, |_| {})));
            }
            let now = instance.now;
            instance.step(0, |policy| {
                endpoint_list(policy, true);
                endpoint(policy, "cold", ("z1", 0, "k"), 1, EndpointState::Ready, now);
            });
            for step in 0..150 {
                let due = step % (pass / (10 * MS)) == 0;
                let got = instance.step(10 * MS, |policy| {
                    if due {
                        request(policy, 10_000 + step, 0, None, 900 * MS, 1.0);
                    }
                });
                for rq in got
                    .iter()
                    .filter_map(|l| l.strip_prefix("attempt ")?.strip_suffix(" cold"))
                {
                    sent += 1;
                    instance.step(0, |policy| {
                        outcome(
                            policy,
                            rq.parse().unwrap(),
                            0,
                            AttemptOutcome::Succeeded,
                            0,
                            true,
                            None,
                        );
                    });
                }
            }
        }
        // Warm endpoints bear twenty a second each; over the window a cold one 0.43 of that, twice over.
        assert!((3..=26).contains(&sent), "{fronts} fronts: {sent}");
    }
}

#[test]
fn requests_admitted_under_a_higher_cap_do_not_count_under_a_lower_one() {
    for (cap, wanted) in [(1.0, 1), (0.5, 0)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
            (0..30).for_each(|id| request(policy, id, 0, None, 900 * MS, 1.0));
        });
        let got = instance.step(10 * MS, |policy| {
            (0..30).for_each(|id| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    10 * MS,
                    true,
                    None,
                );
            });
            (0..30).for_each(|id| disconnect(policy, id));
            rollout_status(policy, 2, 1, RolloutPhase::Canary, cap, 0);
            request(policy, 99, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(count(&got, "attempt 99"), wanted, "{cap}: {got:?}");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn an_attempt_whose_connection_comes_late_is_held_to_what_changed_meanwhile() {
    fn listed(policy: &mut Balancer, build: u32, standing: EndpointState, started: u64) {
        endpoint(policy, "m1", ("z1", 0, "k"), build, standing, started);
    }
    type Meanwhile = fn(&mut Balancer);
    // what came, after how long -> may the query be written
    let table: [(&str, Meanwhile, u64, bool); 9] = [
        ("nothing", |_| {}, 10, true),
        (
            "the same again",
            |policy| listed(policy, 1, EndpointState::Ready, 0),
            10,
            true,
        ),
        (
            "it drains",
            |policy| listed(policy, 1, EndpointState::Draining, 0),
            10,
            false,
        ),
        (
            "it is gone",
            |policy| listed(policy, 1, EndpointState::Removed, 0),
            10,
            false,
        ),
        (
            "a whole list without it",
            |policy| endpoint_list(policy, true),
            10,
            false,
        ),
        (
            "it runs another build",
            |policy| listed(policy, 2, EndpointState::Ready, 0),
            10,
            false,
        ),
        (
            "it has started anew",
            |policy| {
                listed(policy, 1, EndpointState::Ready, policy.now().as_micros());
            },
            10,
            false,
        ),
        (
            "the client has left",
            |policy| disconnect(policy, 7),
            10,
            false,
        ),
        ("the client's time is over", |_| {}, 900, false),
    ];
    for (what, meanwhile, after, wanted) in table {
        let mut instance = Instance::new(settings());
        let sent = instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            request(policy, 7, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(sent, ["attempt 7 m1"]);
        let mut may = None;
        instance.step(after * MS, |policy| {
            meanwhile(policy);
            may = Some(may_write(policy, 7, 0));
        });
        assert_eq!(may, Some(wanted), "{what}");
    }
}

#[test]
fn an_attempt_whose_connection_comes_late_keeps_to_its_idempotency_window() {
    // The window of the first attempt ends while the second one's connection is made.
    for (route, after, wanted) in [(1, 299, true), (1, 300, false), (0, 300, true)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            request(policy, 7, route, None, 900 * MS, 1.0);
        });
        let got = instance.step(10 * MS, |policy| {
            outcome(policy, 7, 0, AttemptOutcome::Failed, 10 * MS, false, None);
        });
        assert_eq!(got, ["attempt 7 m1"]);
        let mut may = None;
        instance.step((after - 10) * MS, |policy| {
            may = Some(may_write(policy, 7, 1));
        });
        assert_eq!(may, Some(wanted), "{route} {after}");
    }
}

#[test]
fn an_attempt_at_a_canary_counts_from_when_it_is_written() {
    // The cap falls before the query can be written.
    for (cap, wanted) in [(0.1, true), (0.0, false)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 0.1, 0);
            request(policy, 7, 0, None, 900 * MS, 1.0);
        });
        let mut may = None;
        instance.step(10 * MS, |policy| {
            rollout_status(policy, 2, 1, RolloutPhase::Canary, cap, 0);
            may = Some(may_write(policy, 7, 0));
        });
        assert_eq!(may, Some(wanted), "{cap}");
    }
    // Two are free in any window: one written late leaves room for one only when the first window is over.
    for (late, wanted) in [(0, 2), (600, 1)] {
        let mut instance = Instance::new(settings());
        let both = |policy: &mut Balancer, from: u64| {
            (from..from + 2).for_each(|id| request(policy, id, 0, None, 900 * MS, 1.0));
        };
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 0.1, 0);
            both(policy, 0);
        });
        instance.step(late * MS, |policy| assert!(may_write(policy, 1, 0)));
        instance.step(MS, |policy| {
            (0..2).for_each(|id| outcome(policy, id, 0, AttemptOutcome::Succeeded, MS, true, None));
        });
        let got = instance.step((4010 - 1 - late) * MS, |policy| both(policy, 10));
        assert_eq!(count(&got, "attempt"), wanted, "{late}");
    }
}

#[test]
fn a_key_that_a_later_build_is_asked_for_goes_to_no_earlier_one() {
    let set = || Settings {
        monotonic_key_builds: true,
        health_checks: false,
        ..settings()
    };
    let ask = |policy: &mut Balancer, id, key| request(policy, id, 0, Some(key), 900 * MS, 1.0);
    // The later build's endpoint holds one request of the key; the earlier one's comes in then.
    let asked = || {
        let mut instance = Instance::new(set());
        let got = instance.step(0, |policy| {
            warm(policy, "m2", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
            ask(policy, 1, "a");
        });
        assert_eq!(got, ["attempt 1 m2"]);
        instance.step(0, |policy| {
            endpoint(policy, "m2", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            warm(policy, "m1", "z1", 1);
        });
        instance
    };
    let mut instance = asked();
    let got = instance.step(MS, |policy| {
        [(2, "a"), (3, "b")]
            .into_iter()
            .for_each(|(id, key)| ask(policy, id, key));
    });
    assert_eq!(got, ["attempt 3 m1"]);
    // It did not answer: the key is free again.
    let got = instance.step(MS, |policy| {
        outcome(policy, 1, 0, AttemptOutcome::Overloaded, 2 * MS, true, None);
    });
    assert_eq!(got, ["attempt 2 m1"]);
    // It did: not even where the build is withdrawn is that forgotten before it is told.
    let mut instance = asked();
    instance.step(MS, |policy| ask(policy, 2, "a"));
    let got = instance.step(MS, |policy| {
        outcome(policy, 1, 0, AttemptOutcome::Succeeded, 2 * MS, true, None);
    });
    assert!(got.is_empty(), "{got:?}");
    assert_eq!(
        instance.step(MS, |policy| rollout_status(
            policy,
            2,
            1,
            RolloutPhase::RollingBack,
            0.0,
            0
        )),
        ["attempt 2 m1"]
    );
    // Chosen for the earlier build first, written after the later one has answered.
    let mut instance = Instance::new(set());
    let got = instance.step(0, |policy| {
        warm(policy, "m1", "z1", 1);
        rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
        ask(policy, 1, "a");
    });
    assert_eq!(got, ["attempt 1 m1"]);
    instance.policy.restore_key_build("a", 2.into());
    let mut may = None;
    instance.step(MS, |policy| may = Some(may_write(policy, 1, 0)));
    assert_eq!(may, Some(false));
}

#[test]
fn a_key_that_a_later_build_may_have_answered_stays_with_it() {
    // How the later build's attempt ended, and whether an earlier build's answer of the key comes after it.
    let table = [
        (AttemptOutcome::Succeeded, false, 0),
        (AttemptOutcome::Succeeded, true, 0),
        (AttemptOutcome::ConnectionReset, false, 0),
        (AttemptOutcome::TimedOut, false, 0),
        (AttemptOutcome::Malformed, false, 0),
        (AttemptOutcome::Cancelled, false, 0),
        (AttemptOutcome::Failed, false, 1),
        (AttemptOutcome::Refused, false, 1),
    ];
    for (end, earlier, wanted) in table {
        let mut instance = Instance::new(Settings {
            monotonic_key_builds: true,
            health_checks: false,
            ..settings()
        });
        let ask = |policy: &mut Balancer, id| request(policy, id, 0, Some("a"), 900 * MS, 1.0);
        let got = instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
            ask(policy, 1);
        });
        assert_eq!(got, ["attempt 1 m1"]);
        let got = instance.step(MS, |policy| {
            endpoint(policy, "m1", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            warm(policy, "m2", "z1", 2);
            ask(policy, 2);
        });
        assert_eq!(got, ["attempt 2 m2"]);
        instance.step(MS, |policy| {
            endpoint(policy, "m2", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            outcome(policy, 2, 0, end, MS, true, None);
            disconnect(policy, 2);
        });
        if earlier {
            instance.step(MS, |policy| {
                outcome(policy, 1, 0, AttemptOutcome::Succeeded, 3 * MS, true, None);
            });
        }
        let got = instance.step(MS, |policy| {
            warm(policy, "m1", "z1", 1);
            ask(policy, 3);
        });
        assert_eq!(
            count(&got, "attempt 3 m1"),
            wanted,
            "{end:?} {earlier}: {got:?}"
        );
    }
}
