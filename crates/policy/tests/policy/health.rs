//! Ejection of endpoints, health checks and recovery.

use crate::harness::*;
use tidescale_policy::settings::Settings;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use tidescale_policy::types::{
    AttemptOutcome, BuildNumber, EndpointIndex, EndpointState, RolloutPhase, Timestamp,
};

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
    let sizes = instance.policy.table_sizes();
    let kept = [
        sizes.endpoint_indexes,
        sizes.endpoint_names,
        sizes.outcome_counts,
        sizes.key_builds,
        sizes.open_requests,
    ];
    assert!(kept.iter().all(|n| *n < 100), "{kept:?}");
    // An id that comes back is the endpoint as last listed.
    instance.step(0, |policy| {
        endpoint(policy, "m0", ("z1", 0, "k"), 99, EndpointState::Ready, 0);
    });
    let mut listed = ListedNames::default();
    let next = instance
        .policy
        .save_endpoints(EndpointIndex::new(0), usize::MAX, &mut listed);
    assert_eq!(next, None);
    let again = listed.0.iter().filter(|name| *name == "m0").count();
    let index = instance.policy.endpoint_index("m0").unwrap();
    assert_eq!((again, index.get() < 100), (1, true));
}

/// The names of the endpoints that are listed.
#[derive(Default)]
struct ListedNames(Vec<String>);

impl SnapshotSink for ListedNames {
    fn endpoint(&mut self, record: EndpointRecord<'_>) {
        self.0.push(record.name.into());
    }
    fn hardware_class(&mut self, _record: HardwareClassRecord<'_>) {}
    fn route(&mut self, _record: RouteRecord<'_>) {}
    fn outcomes(&mut self, _record: OutcomeRecord<'_>) {}
    fn rejected_build(&mut self, _build: BuildNumber, _rejected_at: Timestamp) {}
    fn fleet_baseline(&mut self, _record: FleetBaselineRecord) {}
    fn zones(&mut self, _sums: ZoneSlowdownSums) {}
    fn key_build(&mut self, _key: &str, _build: BuildNumber) {}
    fn rollout(&mut self, _record: RolloutRecord) {}
}

/// Ejects an endpoint three times, so that the next time it has to pass 16 health checks to return.
fn raise_required_passes(instance: &mut Instance, name: &str) {
    let ejected = |instance: &Instance| instance.policy.endpoint_status(name).unwrap().ejected;
    for required in [2, 4, 8] {
        for id in 10_000.. {
            if ejected(instance) {
                break;
            }
            let sent = instance.step(0, |policy| request(policy, id, 2, None, 400 * MS, 1.0));
            let end = if sent[0].ends_with(name) {
                AttemptOutcome::Refused
            } else {
                AttemptOutcome::NotSent
            };
            instance.step(0, |policy| outcome(policy, id, 0, end, 0, true, None));
        }
        for passed in 0..required {
            assert!(ejected(instance), "{passed} of {required}");
            instance.step(0, |policy| {
                policy.on_health_check(name, AttemptOutcome::Succeeded, None);
            });
        }
        assert!(!ejected(instance), "{required}");
    }
}

#[test]
fn an_instance_whose_endpoints_are_all_ejected_recovers() {
    // Probes are lost on this instance's way to the endpoints, or have retry late too often before.
    for (probes, most) in [(None, 1500), (Some(AttemptOutcome::Succeeded), 1300)] {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| {
            warm(policy, "m1", "z1", 1);
            warm(policy, "m2", "z1", 1);
        });
        ["m1", "m2"]
            .iter()
            .for_each(|name| raise_required_passes(&mut instance, name));
        instance.step(0, |policy| {
            (1..5).for_each(|id| request(policy, id, 2, None, 400 * MS, 1.0));
        });
        instance.step(0, |policy| {
            (1..5).for_each(|id| outcome(policy, id, 0, AttemptOutcome::Refused, MS, false, None));
        });
        instance.step(0, |policy| {
            (1..5).for_each(|id| outcome(policy, id, 1, AttemptOutcome::Refused, MS, false, None));
        });
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
