//! A balancer that remembers against one that does not, across a restart.

use crate::harness::{
    Instance, MS, disconnect, endpoint, outcome, request, rollout_status, settings, warm,
};
use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord,
    RouteRecord, SnapshotSink, ZoneSlowdownSums,
};
use tidescale_policy::statistics::OutcomeKey;
use tidescale_policy::types::{
    AttemptOutcome, BuildNumber, EndpointIndex, EndpointState, RolloutPhase, Timestamp,
};

const SECOND: u64 = 1000 * MS;

type Evidence = (String, u32, Vec<f64>, Vec<f64>);

/// All that was told, as a memory keeps it.
#[derive(Default)]
struct Kept {
    machines: Vec<(String, [f64; 2], bool)>,
    evidence: Vec<Evidence>,
    condemned: Option<(u32, Timestamp)>,
    keys: Vec<(String, u32)>,
    routes: Vec<(Option<String>, [f64; 3])>,
}

impl SnapshotSink for Kept {
    fn endpoint(&mut self, record: EndpointRecord<'_>) {
        self.machines
            .push((record.name.into(), record.slowdown.into(), record.ejected));
    }
    fn hardware_class(&mut self, _record: HardwareClassRecord<'_>) {}
    fn route(&mut self, record: RouteRecord<'_>) {
        self.routes
            .push((record.route.map(String::from), record.baseline.into()));
    }
    fn outcomes(&mut self, record: OutcomeRecord<'_>) {
        let (outcomes, failures) = (record.outcomes.into(), record.failures.into());
        self.evidence.push((
            record.endpoint.into(),
            record.build.get(),
            outcomes,
            failures,
        ));
    }
    fn rejected_build(&mut self, build: BuildNumber, rejected_at: Timestamp) {
        self.condemned = Some((build.get(), rejected_at));
    }
    fn fleet_baseline(&mut self, _record: FleetBaselineRecord) {}
    fn zones(&mut self, _sums: ZoneSlowdownSums) {}
    fn key_build(&mut self, key: &str, build: BuildNumber) {
        self.keys.push((key.into(), build.get()));
    }
    fn rollout(&mut self, _record: RolloutRecord) {}
}

fn kept(instance: &mut Instance) -> Kept {
    let (mut kept, mut from) = (Kept::default(), Some(EndpointIndex::new(0)));
    while let Some(at) = from {
        from = instance.policy.save_endpoints(at, 1, &mut kept);
    }
    let mut from = Some(OutcomeKey::default());
    while let Some(at) = from {
        from = instance.policy.save_outcomes(at, 1, &mut kept);
    }
    instance.policy.save_rest(&mut kept);
    kept
}

fn recall(kept: &Kept, policy: &mut Balancer) {
    kept.machines.iter().for_each(|(name, pace, aside)| {
        policy.restore_endpoint(name, Some((*pace).into()), *aside);
    });
    for (name, build, outcomes, failures) in &kept.evidence {
        policy.restore_outcomes(OutcomeRecord {
            endpoint: name,
            build: BuildNumber::new(*build),
            outcomes,
            failures,
        });
    }
    kept.condemned
        .into_iter()
        .for_each(|(build, seen)| policy.restore_rejected_build(BuildNumber::new(build), seen));
    kept.keys
        .iter()
        .for_each(|(key, build)| policy.restore_key_build(key, BuildNumber::new(*build)));
    for (route, baseline) in &kept.routes {
        policy.restore_route(RouteRecord {
            route: route.as_deref(),
            baseline: (*baseline).into(),
        });
    }
}

fn start(now: u64) -> Instance {
    let set = Settings {
        stage_caps: vec![0.5],
        guarded_stages: 0,
        ..settings()
    };
    let mut instance = Instance {
        now,
        policy: Balancer::new(set, 1, Timestamp::from_micros(now)),
    };
    instance.step(0, |policy| {
        [("o1", 1), ("o2", 1), ("n1", 2), ("n2", 2)]
            .into_iter()
            .for_each(|(m, v)| warm(policy, m, "z1", v));
        rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.5, 5 * SECOND);
    });
    instance
}

/// So many requests, `failing` of ten of the new build's failing; the attempts at it until it is condemned.
fn serve(instance: &mut Instance, reqs: u64, failing: u64) -> Option<u64> {
    let (mut on_new, first) = (0, instance.now);
    for id in first..first + reqs {
        let got = instance.step(10 * MS, |policy| {
            request(policy, id, 0, None, 900 * MS, 1.0);
        });
        let new = got
            .iter()
            .any(|l| l.starts_with("attempt") && l.contains(" n"));
        on_new += u64::from(new);
        let bad = new && on_new % 10 < failing;
        let end = if bad {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        instance.step(10 * MS, |policy| {
            outcome(policy, id, 0, end, 10 * MS, !bad, None);
            if bad {
                disconnect(policy, id);
            }
        });
        if instance.policy.rejected_build() == Some(BuildNumber::new(2)) {
            return Some(on_new);
        }
    }
    None
}

#[test]
fn outcomes_from_before_a_restart_hasten_a_verdict_and_never_carry_it() {
    let mut before = start(100 * SECOND);
    assert!(serve(&mut before, 2000, 4).is_some());
    let told = kept(&mut before);
    assert!(told.condemned.is_some_and(|(build, _)| build == 2));
    let again = |told: Option<&Kept>| {
        let mut instance = start(before.now + SECOND);
        told.into_iter().for_each(|told| {
            instance.step(0, |policy| recall(told, policy));
        });
        instance
    };
    // Nothing of its own: no verdict, however much is remembered.
    let mut idle = again(Some(&told));
    for _ in 0..200 {
        idle.step(50 * MS, |_| {});
    }
    assert_eq!(idle.policy.rejected_build(), None);
    // A build that has healed, or is another under the same number, is not condemned by what was.
    assert_eq!(serve(&mut again(Some(&told)), 1000, 0), None);
    let with = serve(&mut again(Some(&told)), 2000, 4).unwrap();
    let without = serve(&mut again(None), 2000, 4).unwrap();
    assert!(with * 2 <= without, "{with} tries against {without}");
}

#[test]
fn ten_restarts_in_a_row_count_nothing_twice() {
    let mut instance = start(100 * SECOND);
    serve(&mut instance, 60, 2);
    let outcomes = |told: &Kept| told.evidence.iter().map(|e| e.2[0]).sum::<f64>();
    let mut told = kept(&mut instance);
    let first = outcomes(&told);
    assert!(first > 10.0);
    for _ in 0..10 {
        let mut next = start(instance.now);
        next.step(0, |policy| recall(&told, policy));
        told = kept(&mut next);
        instance = next;
    }
    assert!(
        outcomes(&told) <= first * 1.001,
        "{} of {first}",
        outcomes(&told)
    );
}

#[test]
fn a_restored_slow_endpoint_is_spared_at_first_and_at_its_share_within_thirty_seconds() {
    let share = |aside: bool, from: u64| {
        let mut instance = Instance::new(Settings {
            health_checks: false,
            ..settings()
        });
        instance.step(0, |policy| {
            ["m1", "m2", "m3", "m4"]
                .into_iter()
                .for_each(|m| warm(policy, m, "z1", 1));
            policy.restore_route(RouteRecord {
                route: None,
                baseline: [10.0 * 10_000.0, 10.0, 10.0].into(),
            });
            policy.restore_endpoint("m1", Some([32.0, 4.0].into()), aside);
        });
        let (mut on, mut all) = (0, 0);
        for id in 0..2500 {
            let got = instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            });
            // Answers come in about the usual time, from it too: it has healed.
            let took = (5 + id * 7 % 11) * MS;
            instance.step(10 * MS, |policy| {
                outcome(policy, id, 0, AttemptOutcome::Succeeded, took, true, None);
            });
            if instance.now >= 100 * SECOND + from {
                all += 1;
                on += u64::from(got.iter().any(|l| l.ends_with(" m1")));
            }
            if from == 0 && id == 60 {
                break;
            }
        }
        on as f64 / all as f64
    };
    // Where nothing may be probed it is not ejected either.
    for aside in [false, true] {
        assert!(share(aside, 0) < 0.15, "{}", share(aside, 0));
        assert!(
            share(aside, 30 * SECOND) > 0.18,
            "{}",
            share(aside, 30 * SECOND)
        );
    }
}

#[test]
fn a_restored_ejected_endpoint_is_checked_at_once_and_returns_by_its_answers() {
    let mut instance = Instance::new(settings());
    instance.step(0, |policy| {
        warm(policy, "m1", "z1", 1);
        policy.restore_endpoint("m1", None, true);
    });
    assert_eq!(instance.step(250 * MS, |_| {}), ["check m1"]);
    assert_eq!(
        instance
            .step(MS, |policy| request(policy, 1, 0, None, 3000 * MS, 1.0))
            .len(),
        0
    );
    for _ in 0..2 {
        instance.step(MS, |policy| {
            policy.on_health_check("m1", AttemptOutcome::Succeeded, None);
        });
        instance.step(500 * MS, |_| {});
    }
    assert_eq!(
        instance.step(MS, |policy| request(policy, 2, 0, None, 900 * MS, 1.0)),
        ["attempt 2 m1"]
    );
}

#[test]
fn a_key_that_went_to_the_canary_stays_there_over_a_restart() {
    for (one_way, wanted) in [(true, "attempt 2 new"), (false, "attempt 2 old")] {
        let set = Settings {
            monotonic_key_builds: one_way,
            exposure_allowance: 1.0,
            guarded_stages: 0,
            ..settings()
        };
        let fleet = |policy: &mut Balancer| {
            warm(policy, "old", "z1", 1);
            warm(policy, "new", "z1", 2);
            rollout_status(policy, 2, 1, RolloutPhase::Canary, 1.0, 0);
        };
        let mut instance = Instance::new(set.clone());
        instance.step(0, |policy| {
            fleet(policy);
            endpoint(policy, "old", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            request(policy, 1, 0, Some("k"), 900 * MS, 1.0);
        });
        instance.step(10 * MS, |policy| {
            endpoint(policy, "old", ("z1", 0, "k"), 1, EndpointState::Ready, 0);
            outcome(policy, 1, 0, AttemptOutcome::Succeeded, 10 * MS, true, None);
        });
        let told = kept(&mut instance);
        let mut instance = Instance {
            now: instance.now,
            policy: Balancer::new(set, 3, Timestamp::from_micros(instance.now)),
        };
        instance.step(0, |policy| {
            fleet(policy);
            recall(&told, policy);
            request(policy, 2, 0, Some("k"), 900 * MS, 1.0);
        });
        // Without the rule either may be drawn: it is told by the requests of many keys, not by one.
        let bound = instance.policy.key_build("k");
        assert_eq!(bound, one_way.then_some(BuildNumber::new(2)), "{wanted}");
    }
}

#[test]
fn nothing_restored_sends_more_to_a_warming_endpoint() {
    let sent = |remembers: bool| {
        let mut instance = Instance::new(settings());
        let now = instance.now;
        instance.step(0, |policy| {
            endpoint(
                policy,
                "cold",
                ("z1", 0, "k"),
                1,
                EndpointState::Ready,
                now - 100 * MS,
            );
            if remembers {
                policy.restore_hardware_class(HardwareClassRecord {
                    name: "k",
                    load: Some([900.0, 20.0].into()),
                    slowdown: Some([0.1, 20.0].into()),
                    baseline: Some([10.0, 10.0, 200.0].into()),
                });
                policy.restore_endpoint("cold", Some([0.1, 4.0].into()), false);
                policy.restore_route(RouteRecord {
                    route: None,
                    baseline: [1000.0, 200.0, 200.0].into(),
                });
            }
        });
        let mut sent = 0;
        for id in 0..300 {
            let got = instance.step(5 * MS, |policy| request(policy, id, 0, None, 900 * MS, 1.0));
            sent += got.iter().filter(|l| l.ends_with(" cold")).count();
            instance.step(0, |policy| {
                outcome(policy, id, 0, AttemptOutcome::Succeeded, 5 * MS, true, None);
            });
        }
        sent
    };
    assert!(
        sent(true) <= sent(false),
        "{} against {}",
        sent(true),
        sent(false)
    );
}

#[test]
fn a_build_rejected_before_a_restart_is_held_for_a_minute_from_then_and_no_longer() {
    // Seconds since it was condemned -> held at the beginning of a stage.
    for (passed, held) in [(0, true), (58, true), (60, false), (4000, false)] {
        let now = 100_000 * SECOND;
        let set = Settings {
            stage_caps: vec![0.5],
            guarded_stages: 0,
            ..settings()
        };
        let mut instance = Instance {
            now,
            policy: Balancer::new(set, 1, Timestamp::from_micros(now)),
        };
        instance.step(0, |policy| {
            warm(policy, "n1", "z1", 2);
            rollout_status(policy, 2, 0, RolloutPhase::Canary, 0.5, 0);
            policy.restore_rejected_build(
                BuildNumber::new(2),
                Timestamp::from_micros(now - passed * SECOND),
            );
        });
        let got: Vec<_> = (0..4)
            .flat_map(|_| instance.step(250 * MS, |_| {}))
            .collect();
        assert_eq!(
            got.iter().any(|l| l == "vote 2 0 Hold"),
            held,
            "{passed}: {got:?}"
        );
        // The hold is lifted as any other, and nothing sends it back.
        let later: Vec<_> = (0..40)
            .flat_map(|_| instance.step(250 * MS, |_| {}))
            .collect();
        assert!(!later.iter().any(|l| l.ends_with("RollBack")), "{later:?}");
    }
}
