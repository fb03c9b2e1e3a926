//! The test's arithmetic, and the votes that follow from it.

use crate::harness::*;
use tidescale_policy::settings::Settings;
use tidescale_policy::statistics::{
    Arm, ArmVariances, Arms, EndpointShare, Rarity, VarianceModel, WaldBounds, sprt_score,
};
use tidescale_policy::types::{AttemptOutcome, RolloutPhase, VoteResult};

/// The design's rates.
fn bounds() -> WaldBounds {
    WaldBounds::new(0.05, 0.20)
}

/// The score of the test of failures, with these variances at the evaluation before.
fn failure_score(candidate: Arm, baseline: Arm, previous: [f64; 2], minimum_effect: f64) -> f64 {
    let model = VarianceModel {
        floor_share: 0.01,
        rarity: Rarity::Rare(1.0),
    };
    let arms = Arms {
        candidate,
        baseline,
    };
    let present = model.variances(arms);
    let [of_candidate, of_baseline] = previous;
    let previous = ArmVariances {
        candidate: of_candidate,
        baseline: of_baseline,
    };
    sprt_score(arms, present, previous, minimum_effect)
}

#[test]
fn wald_bounds_at_the_design_rates() {
    let WaldBounds { lower, upper, .. } = bounds();
    assert!((lower - (0.2f64 / 0.95).ln()).abs() < 1e-12 && (upper - 16f64.ln()).abs() < 1e-12);
}

#[test]
fn score_follows_the_paper() {
    let arm = |outcomes, failures| Arm {
        outcomes,
        failures,
        ..Arm::default()
    };
    // new, old, variances of the evaluation before, gap -> score
    let table = [
        (
            arm(100.0, 10.0),
            arm(100.0, 1.0),
            [0.09, 0.0099],
            0.03,
            2.171_936,
        ),
        // No gap seen, both at the floor: minus half the drift squared.
        (
            arm(100.0, 0.0),
            arm(100.0, 0.0),
            [0.0099, 0.0099],
            0.03,
            -0.03f64.powi(2) / (2.0 * 0.000_198),
        ),
        // z = 0.1 / sqrt(0.000962 + 0.000099), with one more hit among two more outcomes; drift = 0.05 / sqrt(0.0004 + 0.000099)
        (
            arm(100.0, 10.0),
            arm(100.0, 0.0),
            [0.04, 0.0099],
            0.05,
            4.366_235,
        ),
    ];
    for (new, old, before, gap, wanted) in table {
        let got = failure_score(new, old, before, gap);
        assert!((got - wanted).abs() < 1e-4, "{got} against {wanted}");
    }
}

#[test]
fn a_few_endpoints_that_fail_alone_are_not_the_build() {
    let arm = |machines: [(f64, f64); 4]| {
        let mut a = Arm::default();
        machines.iter().for_each(|m| a.add(m.0, m.1));
        a
    };
    let old = arm([(50.0, 1.0); 4]);
    let before = [0.0599, 0.0196];
    let upper = bounds().upper;
    // The same share of failures, on all endpoints alike and on one of them.
    let judged = |new| failure_score(new, old, before, 0.03);
    assert!(judged(arm([(50.0, 8.0); 4])) > upper);
    assert!(judged(arm([(50.0, 0.0), (50.0, 0.0), (50.0, 0.0), (50.0, 32.0)])) < upper);
}

/// Fifty requests a second on old and new endpoints, `failing` of ten failing on the new one.
fn votes(failing: u64, seconds: u64) -> Vec<String> {
    let mut instance = Instance::new(Settings {
        stage_caps: vec![0.5],
        guarded_stages: 0,
        ..settings()
    });
    let mut all = instance.step(0, |policy| {
        [("o1", 1), ("o2", 1), ("n1", 2), ("n2", 2)]
            .into_iter()
            .for_each(|(m, v)| warm(policy, m, "z1", v));
        rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.5, 0);
    });
    let mut on_new = 0;
    for id in 0..seconds * 50 {
        let got = instance.step(10 * MS, |policy| {
            request(policy, id, 0, None, 900 * MS, 1.0);
        });
        let new = got
            .iter()
            .any(|l| l.starts_with("attempt") && l.contains(" n"));
        all.extend(got);
        let mut bad = false;
        if new {
            on_new += 1;
            bad = on_new % 10 < failing;
        }
        let end = if bad {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        all.extend(instance.step(10 * MS, |policy| {
            outcome(policy, id, 0, end, 10 * MS, !bad, None);
            if bad {
                disconnect(policy, id);
            }
        }));
    }
    all.retain(|l| l.starts_with("vote"));
    all
}

#[test]
fn a_failing_build_is_voted_back_and_a_good_one_is_not() {
    assert!(count(&votes(4, 6), "vote 2 0 RollBack") > 0);
    assert_eq!(count(&votes(0, 6), "vote 2 0 RollBack"), 0);
}

#[test]
fn a_vote_is_cast_again_after_a_result_that_does_not_count() {
    for (answer, again) in [
        (VoteResult::Accepted, 0),
        (VoteResult::Busy, 1),
        (VoteResult::Unknown, 1),
        (VoteResult::Failed, 1),
    ] {
        let mut instance = Instance::new(Settings {
            stage_caps: vec![0.5],
            guarded_stages: 0,
            ..settings()
        });
        instance.step(0, |policy| {
            [("o1", 1), ("o2", 1), ("n1", 2), ("n2", 2)]
                .into_iter()
                .for_each(|(m, v)| warm(policy, m, "z1", v));
            rollout_status(policy, 2, 0, RolloutPhase::Canary, 1.0, 0);
        });
        let mut cast = 0;
        for id in 0..500 {
            let got = instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            });
            let new = got
                .iter()
                .any(|l| l.starts_with("attempt") && l.contains(" n"));
            let end = if new {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            };
            cast += count(&got, "vote 2 0 RollBack");
            let got = instance.step(10 * MS, |policy| {
                outcome(policy, id, 0, end, 10 * MS, true, None);
            });
            cast += count(&got, "vote 2 0 RollBack");
            if cast > 0 {
                break;
            }
        }
        assert_eq!(cast, 1);
        instance.step(10 * MS, |policy| policy.on_vote_result(answer));
        let got: Vec<_> = (0..4)
            .flat_map(|_| instance.step(250 * MS, |_| {}))
            .collect();
        assert_eq!(
            count(&got, "vote 2 0 RollBack"),
            again,
            "{answer:?}: {got:?}"
        );
    }
}

#[test]
fn a_crash_is_one_failure() {
    for (end, back) in [
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::Failed, true),
    ] {
        let mut instance = Instance::new(Settings {
            stage_caps: vec![1.0],
            guarded_stages: 0,
            ..settings()
        });
        instance.step(0, |policy| {
            [("o1", 1), ("n1", 2)]
                .into_iter()
                .for_each(|(m, v)| warm(policy, m, "z1", v));
            rollout_status(policy, 2, 0, RolloutPhase::Canary, 1.0, 0);
        });
        let mut ids = 0..;
        let mut all = Vec::new();
        // Calm steps, then one in which all that the new endpoint holds ends at once.
        for round in 0..60 {
            let some: Vec<u64> = ids.by_ref().take(8).collect();
            let sent = instance.step(10 * MS, |policy| {
                some.iter()
                    .for_each(|id| request(policy, *id, 0, None, 900 * MS, 1.0));
            });
            all.extend(instance.step(10 * MS, |policy| {
                for id in some {
                    let hit = round >= 57 && sent.contains(&format!("attempt {id} n1"));
                    outcome(
                        policy,
                        id,
                        0,
                        if hit { end } else { AttemptOutcome::Succeeded },
                        10 * MS,
                        true,
                        None,
                    );
                }
            }));
        }
        all.extend(instance.step(250 * MS, |_| {}));
        assert_eq!(count(&all, "vote 2 0 RollBack") > 0, back, "{end:?}");
    }
}

#[test]
fn a_build_that_slows_the_baseline_endpoints_too_is_voted_back() {
    for (took, back) in [(10, false), (40, true)] {
        let mut instance = Instance::new(Settings {
            stage_caps: vec![0.1, 1.0],
            ..settings()
        });
        instance.step(0, |policy| {
            ["o1", "o2", "o3"]
                .into_iter()
                .for_each(|m| warm(policy, m, "z1", 1));
            rollout_status(policy, 1, 1, RolloutPhase::Released, 1.0, 0);
        });
        let mut all = Vec::new();
        for id in 0..300 {
            let took = if id < 150 { 10 } else { took };
            if id == 150 {
                instance.step(0, |policy| {
                    warm(policy, "n1", "z1", 2);
                    rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.1, 0);
                });
            }
            all.extend(instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            }));
            all.extend(instance.step(took * MS, |policy| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    took * MS,
                    true,
                    None,
                );
            }));
        }
        assert_eq!(count(&all, "vote 2 0 RollBack") > 0, back);
    }
}

#[test]
fn a_fleet_is_judged_by_its_quicker_endpoints() {
    let table = [
        // Two of nine are slow: nothing of it shows.
        (
            vec![
                [20.0, 16.0],
                [20.0, 1.0],
                [20.0, 15.0],
                [20.0, 0.0],
                [20.0, 1.0],
                [20.0, 1.0],
            ],
            (80.0, 3.0),
        ),
        // All are.
        (vec![[20.0, 8.0]; 6], (80.0, 32.0)),
        // Machines that have told nothing, among many others, come first and change nothing.
        (
            (0..60)
                .map(|i| [f64::from(i % 3), f64::from(i % 3 / 2)])
                .collect(),
            (40.0, 10.0),
        ),
        (vec![], (0.0, 0.0)),
    ];
    for (machines, wanted) in table {
        let share = |[outcomes, failures]: [f64; 2]| EndpointShare { outcomes, failures };
        let arm = Arm::of_best(machines.into_iter().map(share).collect(), 0.66);
        assert_eq!((arm.outcomes, arm.failures), wanted);
    }
}

#[test]
fn errors_without_a_concurrent_baseline_need_to_be_many() {
    for (hits, end, back) in [
        (6, AttemptOutcome::Failed, false),
        (12, AttemptOutcome::Failed, true),
        (12, AttemptOutcome::Malformed, false),
    ] {
        let mut instance = Instance::new(Settings {
            stage_caps: vec![1.0],
            guarded_stages: 0,
            ..settings()
        });
        instance.step(0, |policy| warm(policy, "o1", "z1", 1));
        let mut all = Vec::new();
        for id in 0..66 {
            if id == 50 {
                instance.step(0, |policy| {
                    endpoint_list(policy, true);
                    (0..16).for_each(|m| warm(policy, &format!("n{m}"), "z1", 2));
                    rollout_status(policy, 2, 0, RolloutPhase::Canary, 1.0, 0);
                });
            }
            let end = if id >= 66 - hits {
                end
            } else {
                AttemptOutcome::Succeeded
            };
            all.extend(instance.step(20 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            }));
            all.extend(instance.step(20 * MS, |policy| {
                outcome(policy, id, 0, end, 20 * MS, true, None);
            }));
        }
        all.extend(instance.step(250 * MS, |_| {}));
        assert_eq!(count(&all, "vote 2 0 RollBack") > 0, back, "{hits} {end:?}");
    }
}

#[test]
fn a_build_whose_endpoints_hang_is_voted_back_though_they_are_ejected() {
    let mut instance = Instance::new(Settings {
        stage_caps: vec![0.5],
        guarded_stages: 0,
        ..settings()
    });
    let mut all = instance.step(0, |policy| {
        [("o1", 1), ("o2", 1), ("n1", 2), ("n2", 2)]
            .into_iter()
            .for_each(|(m, v)| warm(policy, m, "z1", v));
        rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.5, 0);
    });
    for id in 0..200 {
        let got = instance.step(10 * MS, |policy| {
            request(policy, id, 0, None, 3000 * MS, 1.0);
        });
        if got
            .iter()
            .any(|l| l.starts_with("attempt") && l.contains(" o"))
        {
            all.extend(instance.step(10 * MS, |policy| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    10 * MS,
                    true,
                    None,
                );
            }));
        }
        all.extend(got);
    }
    assert!(count(&all, "check n") > 0 && count(&all, "vote 2 0 RollBack") > 0);
}

#[test]
fn an_instance_without_a_fleet_baseline_finds_no_released_build_slow() {
    let mut instance = Instance::new(settings());
    let mut all = instance.step(0, |policy| {
        ["m1", "m2", "m3"]
            .into_iter()
            .for_each(|m| warm(policy, m, "z1", 1));
        rollout_status(policy, 1, 2, RolloutPhase::Released, 1.0, 0);
    });
    for id in 0..120 {
        let took = if id < 10 { 10 } else { 60 };
        all.extend(instance.step(10 * MS, |policy| {
            request(policy, id, 0, None, 900 * MS, 1.0);
        }));
        all.extend(instance.step(took * MS, |policy| {
            outcome(
                policy,
                id,
                0,
                AttemptOutcome::Succeeded,
                took * MS,
                true,
                None,
            );
        }));
    }
    assert_eq!(count(&all, "vote"), 0);
}

#[test]
fn a_slow_build_is_found_by_an_instance_that_knows_little_of_each_route() {
    for (took, back) in [(20, false), (70, true)] {
        let mut instance = Instance::new(Settings {
            stage_caps: vec![0.5],
            guarded_stages: 0,
            ..settings()
        });
        instance.step(0, |policy| {
            ["o1", "o2"]
                .into_iter()
                .for_each(|m| warm(policy, m, "z1", 1));
        });
        let mut all = Vec::new();
        // Three answers a route before the rollout.
        for id in 0..200 {
            if id == 9 {
                instance.step(0, |policy| {
                    ["n1", "n2"]
                        .into_iter()
                        .for_each(|m| warm(policy, m, "z1", 2));
                    rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.5, 0);
                });
            }
            let got = instance.step(10 * MS, |policy| {
                request(policy, id, (id % 3) as usize, None, 900 * MS, 0.0);
            });
            let new = got
                .iter()
                .any(|l| l.starts_with("attempt") && l.contains(" n"));
            let took = if new { took } else { 20 };
            all.extend(got);
            all.extend(instance.step(took * MS, |policy| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    took * MS,
                    true,
                    None,
                );
            }));
        }
        assert_eq!(count(&all, "vote 2 0 RollBack") > 0, back, "{took}");
    }
}

#[test]
fn what_a_bad_build_slowed_is_no_baseline_for_the_next() {
    let mut instance = Instance::new(settings());
    let machines = ["m1", "m2", "m3", "m4"];
    instance.step(0, |policy| {
        machines.into_iter().for_each(|m| warm(policy, m, "z1", 1));
    });
    let mut next = 0;
    let mut serve = |instance: &mut Instance, took: u64, seconds: u64| {
        for _ in 0..seconds * 20 {
            next += 1;
            instance.step(50 * MS - took, |policy| {
                request(policy, next, 0, None, 900 * MS, 1.0);
            });
            instance.step(took, |policy| {
                outcome(policy, next, 0, AttemptOutcome::Succeeded, took, true, None);
            });
        }
        let [took, work, _] = route_sums(&mut instance.policy, 0);
        took / work / MS as f64
    };
    let told = |instance: &mut Instance, build, phase| {
        drop(instance.step(0, |policy| rollout_status(policy, build, 1, phase, 1.0, 0)));
    };
    told(&mut instance, 1, RolloutPhase::Released);
    let usual = serve(&mut instance, 10 * MS, 8);
    told(&mut instance, 2, RolloutPhase::Canary);
    serve(&mut instance, 40 * MS, 2);
    told(&mut instance, 2, RolloutPhase::RollingBack);
    serve(&mut instance, 40 * MS, 3);
    told(&mut instance, 2, RolloutPhase::Withdrawn);
    let later = serve(&mut instance, 40 * MS, 3);
    assert!((later - usual).abs() < 0.01, "{usual} {later}");
    // Some time after, it is learned again; and what the rollout saw is not held to be calm.
    serve(&mut instance, 10 * MS, 5);
    told(&mut instance, 3, RolloutPhase::Canary);
    let calm = instance.policy.fleet_baseline();
    assert!(calm.outcomes > 10.0 && calm.share() < 0.05, "{calm:?}");
    // A rollout that comes with no quiet time before it is held against the same.
    told(&mut instance, 3, RolloutPhase::RollingBack);
    serve(&mut instance, 40 * MS, 3);
    told(&mut instance, 4, RolloutPhase::Canary);
    assert_eq!(instance.policy.fleet_baseline(), calm);
}
