//! Ejection of endpoints, health checks and recovery.

use crate::harness::*;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState, RolloutPhase};

#[test]
fn a_query_of_death_is_not_sent_to_the_next_endpoint() {
    for (probe, wanted) in [
        (AttemptOutcome::Succeeded, "attempt 7 m2"),
        (AttemptOutcome::Failed, "attempt 7 m2"),
        (AttemptOutcome::Refused, "reject 7"),
    ] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            request(policy, 7, 0, None, 900 * MS, 1.0);
        });
        instance.step(0, |policy| warm(policy, "m2", "z1", 1));
        let got = instance.step(10 * MS, |policy| {
            outcome(
                policy,
                7,
                0,
                AttemptOutcome::ConnectionReset,
                10 * MS,
                false,
                None,
            );
        });
        assert_eq!(got, ["check m1"]);
        assert_eq!(
            instance.step(10 * MS, |policy| policy.on_health_check("m1", probe, None)),
            [wanted]
        );
    }
}

#[test]
fn an_ejected_endpoint_returns_after_passed_health_checks() {
    let mut instance = Instance::new(settings());
    instance.step(0, |policy| {
        warm(policy, "m1", "z1", 1);
        (1..3).for_each(|id| request(policy, id, 2, None, 5000 * MS, 1.0));
    });
    instance.step(0, |policy| {
        (1..3).for_each(|id| outcome(policy, id, 0, AttemptOutcome::Refused, MS, false, None));
    });
    let mut probes = 0;
    for _ in 0..3 {
        let got: Vec<_> = (0..45)
            .flat_map(|_| instance.step(10 * MS, |_| {}))
            .collect();
        assert_eq!(count(&got, "attempt"), 0);
        if count(&got, "check m1") > 0 {
            probes += 1;
            instance.step(MS, |policy| {
                policy.on_health_check("m1", AttemptOutcome::Succeeded, None);
            });
        }
        if probes == 2 {
            break;
        }
    }
    assert_eq!(
        instance.step(10 * MS, |policy| request(policy, 9, 0, None, 900 * MS, 1.0)),
        ["attempt 9 m1"]
    );
}

#[test]
fn endpoints_that_come_and_go_leave_nothing_behind() {
    let mut instance = Instance::new(Settings {
        monotonic_key_builds: true,
        ..settings()
    });
    instance.step(0, |policy| {
        rollout_status(policy, 1, 0, RolloutPhase::Released, 1.0, 0);
    });
    for n in 0..600u32 {
        let (name, build) = (format!("m{n}"), n / 50);
        instance.step(0, |policy| {
            endpoint_list(policy, true);
            warm(policy, &name, "z1", build);
            rollout_status(policy, build, 0, RolloutPhase::Released, 1.0, 0);
            request(policy, u64::from(n), 0, Some(&name), 900 * MS, 1.0);
        });
        // Answered after its endpoint is gone, now and then.
        if n % 7 == 0 {
            instance.step(0, |policy| endpoint_list(policy, true));
        }
        instance.step(300 * MS, |policy| {
            outcome(
                policy,
                u64::from(n),
                0,
                AttemptOutcome::Succeeded,
                300 * MS,
                true,
                None,
            );
        });
        instance.step(2700 * MS, |_| {});
    }
    let policy = &instance.policy;
    let kept = [
        policy.endpoints.len(),
        policy.endpoints.named_len(),
        policy.evaluation.counts.len(),
        policy.key_builds.len(),
        policy.requests.len(),
    ];
    assert!(kept.iter().all(|n| *n < 100), "{kept:?}");
    // An id that comes back is the endpoint as last listed.
    instance.step(0, |policy| {
        endpoint(policy, "m0", ("z1", 0, "k"), 99, EndpointState::Ready, 0);
    });
    let again = instance
        .policy
        .endpoints
        .iter()
        .filter(|e| e.name == "m0")
        .count();
    assert_eq!(
        (again, instance.policy.endpoints.find("m0").unwrap() < 100),
        (1, true)
    );
}

#[test]
fn an_instance_whose_endpoints_are_all_ejected_recovers() {
    // Probes are lost on this instance's way to the endpoints, or have retry late too often before.
    for (probes, most) in [(None, 1500), (Some(AttemptOutcome::Succeeded), 1300)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            warm(policy, "m2", "z1", 1);
            (1..5).for_each(|id| request(policy, id, 2, None, 400 * MS, 1.0));
        });
        instance.step(0, |policy| {
            (1..5).for_each(|id| outcome(policy, id, 0, AttemptOutcome::Refused, MS, false, None));
        });
        instance.step(0, |policy| {
            (1..5).for_each(|id| outcome(policy, id, 1, AttemptOutcome::Refused, MS, false, None));
        });
        instance
            .policy
            .endpoints
            .iter_mut()
            .for_each(|e| e.health.passes_required = 16);
        let (begun, mut tried) = (instance.now, None);
        for id in 0..20u64 {
            let got: Vec<_> = (0..10)
                .flat_map(|n| {
                    instance.step(10 * MS, |policy| {
                        if n == 0 {
                            request(policy, 100 + id, 0, None, 400 * MS, 1.0);
                        }
                        for m in ["m1", "m2"].iter().filter(|_| n == 5) {
                            probes
                                .into_iter()
                                .for_each(|end| policy.on_health_check(m, end, None));
                        }
                    })
                })
                .collect();
            if count(&got, "attempt 1") > 0 {
                tried = Some((instance.now - begun) / MS);
                break;
            }
        }
        assert!(tried.is_some_and(|ms| ms <= most), "{probes:?}: {tried:?}");
        // While none has answered, one attempt a endpoint and second.
        if probes.is_none() {
            let got: Vec<_> = (0..50)
                .flat_map(|n| {
                    instance.step(10 * MS, |policy| {
                        request(policy, 500 + n, 0, None, 400 * MS, 1.0);
                    })
                })
                .collect();
            assert!(count(&got, "attempt") <= 1, "{got:?}");
        }
    }
}
