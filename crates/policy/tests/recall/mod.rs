//! A balancer that remembers against one that does not, across a restart.

use crate::common::{Bench, MS, endpoint, outcome, request, rollout_status, settings, warm};
use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::snapshot::{
    EndpointRecord, FleetBaselineRecord, HardwareClassRecord, OutcomeRecord, RolloutRecord, RouteRecord,
    SnapshotSink,
};
use tidescale_policy::types::{AttemptOutcome, EndpointState, RolloutPhase, Timestamp};

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
        self.machines.push((record.name.into(), record.slowdown, record.ejected));
    }
    fn hardware_class(&mut self, _record: HardwareClassRecord<'_>) {}
    fn route(&mut self, record: RouteRecord<'_>) {
        self.routes.push((record.route.map(String::from), record.baseline));
    }
    fn outcomes(&mut self, record: OutcomeRecord<'_>) {
        let (outcomes, failures) = (record.outcomes.into(), record.failures.into());
        self.evidence.push((record.endpoint.into(), record.build, outcomes, failures));
    }
    fn rejected_build(&mut self, build: u32, rejected_at: Timestamp) {
        self.condemned = Some((build, rejected_at));
    }
    fn fleet_baseline(&mut self, _record: FleetBaselineRecord) {}
    fn zones(&mut self, _slowdowns: [[f64; 2]; 2]) {}
    fn key_build(&mut self, key: &str, build: u32) {
        self.keys.push((key.into(), build));
    }
    fn rollout(&mut self, _record: RolloutRecord) {}
}

fn kept(b: &mut Bench) -> Kept {
    let (mut kept, mut from) = (Kept::default(), Some(0));
    while let Some(at) = from {
        from = b.module.save_endpoints(at, 1, &mut kept);
    }
    let mut from = Some((0, 0));
    while let Some(at) = from {
        from = b.module.save_outcomes(at, 1, &mut kept);
    }
    b.module.save_rest(&mut kept);
    kept
}

fn recall(kept: &Kept, to: &mut Balancer) {
    kept.machines.iter().for_each(|(name, pace, aside)| to.restore_endpoint(name, Some(*pace), *aside));
    for (name, build, outcomes, failures) in &kept.evidence {
        to.restore_outcomes(OutcomeRecord { endpoint: name, build: *build, outcomes, failures });
    }
    kept.condemned.into_iter().for_each(|(build, seen)| to.restore_rejected_build(build, seen));
    kept.keys.iter().for_each(|(key, build)| to.restore_key_build(key, *build));
    for (route, baseline) in &kept.routes {
        to.restore_route(RouteRecord { route: route.as_deref(), baseline: *baseline });
    }
}

fn start(now: u64) -> Bench {
    let set = Settings { stage_caps: vec![0.5], guarded_stages: 0, ..settings() };
    let mut b = Bench { now, module: Balancer::new(set, 1, Timestamp::from_micros(now)) };
    b.round(0, |to| {
        [("o1", 1), ("o2", 1), ("n1", 2), ("n2", 2)].into_iter().for_each(|(m, v)| warm(to, m, "z1", v));
        rollout_status(to, 2, 0, RolloutPhase::Canary, 0.5, 5 * SECOND);
    });
    b
}

/// So many reqs, `failing` of ten of the new build's failing; the tries at it until it is condemned.
fn serve(b: &mut Bench, reqs: u64, failing: u64) -> Option<u64> {
    let (mut on_new, first) = (0, b.now);
    for id in first..first + reqs {
        let got = b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
        let new = got.iter().any(|l| l.starts_with("try") && l.contains(" n"));
        on_new += u64::from(new);
        let bad = new && on_new % 10 < failing;
        let end = if bad { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded };
        b.round(10 * MS, |to| {
            outcome(to, id, 0, end, 10 * MS, !bad, None);
            if bad {
                to.on_client_disconnected(id);
            }
        });
        if b.module.condemned == Some(2) {
            return Some(on_new);
        }
    }
    None
}

#[test]
fn what_was_seen_before_a_restart_hastens_a_verdict_and_never_carries_it() {
    let mut before = start(100 * SECOND);
    assert!(serve(&mut before, 2000, 4).is_some());
    let told = kept(&mut before);
    assert!(told.condemned.is_some_and(|(build, _)| build == 2));
    let again = |told: Option<&Kept>| {
        let mut b = start(before.now + SECOND);
        told.into_iter().for_each(|told| {
            b.round(0, |to| recall(told, to));
        });
        b
    };
    // Nothing of its own: no verdict, however much is remembered.
    let mut idle = again(Some(&told));
    for _ in 0..200 {
        idle.round(50 * MS, |_| {});
    }
    assert_eq!(idle.module.condemned, None);
    // A build that has healed, or is another under the same number, is not condemned by what was.
    assert_eq!(serve(&mut again(Some(&told)), 1000, 0), None);
    let with = serve(&mut again(Some(&told)), 2000, 4).unwrap();
    let without = serve(&mut again(None), 2000, 4).unwrap();
    assert!(with * 2 <= without, "{with} tries against {without}");
}

#[test]
fn ten_restarts_in_a_row_count_nothing_twice() {
    let mut b = start(100 * SECOND);
    serve(&mut b, 60, 2);
    let outcomes = |told: &Kept| told.evidence.iter().map(|e| e.2[0]).sum::<f64>();
    let mut told = kept(&mut b);
    let first = outcomes(&told);
    assert!(first > 10.0);
    for _ in 0..10 {
        let mut next = start(b.now);
        next.round(0, |to| recall(&told, to));
        told = kept(&mut next);
        b = next;
    }
    assert!(outcomes(&told) <= first * 1.001, "{} of {first}", outcomes(&told));
}

#[test]
fn a_machine_that_was_slow_is_spared_at_first_and_at_its_share_within_thirty_seconds() {
    let share = |aside: bool, from: u64| {
        let mut b = Bench::new(Settings { health_checks: false, ..settings() });
        b.round(0, |to| {
            ["m1", "m2", "m3", "m4"].into_iter().for_each(|m| warm(to, m, "z1", 1));
            to.restore_route(RouteRecord { route: None, baseline: [10.0 * 10_000.0, 10.0, 10.0] });
            to.restore_endpoint("m1", Some([32.0, 4.0]), aside);
        });
        let (mut on, mut all) = (0, 0);
        for id in 0..2500 {
            let got = b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
            // Answers come in about the usual time, from it too: it has healed.
            let took = (5 + id * 7 % 11) * MS;
            b.round(10 * MS, |to| outcome(to, id, 0, AttemptOutcome::Succeeded, took, true, None));
            if b.now >= 100 * SECOND + from {
                all += 1;
                on += u64::from(got.iter().any(|l| l.ends_with(" m1")));
            }
            if from == 0 && id == 60 {
                break;
            }
        }
        on as f64 / all as f64
    };
    // Where nothing may be probed it is not set aside either.
    for aside in [false, true] {
        assert!(share(aside, 0) < 0.15, "{}", share(aside, 0));
        assert!(share(aside, 30 * SECOND) > 0.18, "{}", share(aside, 30 * SECOND));
    }
}

#[test]
fn a_machine_set_aside_is_probed_at_once_and_comes_back_by_its_answers() {
    let mut b = Bench::new(settings());
    b.round(0, |to| {
        warm(to, "m1", "z1", 1);
        to.restore_endpoint("m1", None, true);
    });
    assert_eq!(b.round(250 * MS, |_| {}), ["probe m1"]);
    assert_eq!(b.round(MS, |to| request(to, 1, 0, None, 3000 * MS, 1.0)).len(), 0);
    for _ in 0..2 {
        b.round(MS, |to| to.on_health_check("m1", AttemptOutcome::Succeeded, None));
        b.round(500 * MS, |_| {});
    }
    assert_eq!(b.round(MS, |to| request(to, 2, 0, None, 900 * MS, 1.0)), ["try 2 m1"]);
}

#[test]
fn a_key_that_went_to_the_build_on_trial_stays_there_over_a_restart() {
    for (one_way, wanted) in [(true, "try 2 new"), (false, "try 2 old")] {
        let set = Settings {
            monotonic_key_builds: one_way,
            exposure_allowance: 1.0,
            guarded_stages: 0,
            ..settings()
        };
        let fleet = |to: &mut Balancer| {
            warm(to, "old", "z1", 1);
            warm(to, "new", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
        };
        let mut b = Bench::new(set.clone());
        b.round(0, |to| {
            fleet(to);
            endpoint(to, "old", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            request(to, 1, 0, Some("k"), 900 * MS, 1.0);
        });
        b.round(10 * MS, |to| {
            endpoint(to, "old", ("z1", 0, "k"), 1, EndpointState::Ready, 0);
            outcome(to, 1, 0, AttemptOutcome::Succeeded, 10 * MS, true, None);
        });
        let told = kept(&mut b);
        let mut b = Bench { now: b.now, module: Balancer::new(set, 3, Timestamp::from_micros(b.now)) };
        b.round(0, |to| {
            fleet(to);
            recall(&told, to);
            request(to, 2, 0, Some("k"), 900 * MS, 1.0);
        });
        // Without the rule either may be drawn: it is told by the reqs of many keys, not by one.
        let bound = b.module.keys.get("k").copied();
        assert_eq!(bound, one_way.then_some(2), "{wanted}");
    }
}

#[test]
fn nothing_remembered_sends_more_to_a_cold_machine() {
    let sent = |remembers: bool| {
        let mut b = Bench::new(settings());
        let now = b.now;
        b.round(0, |to| {
            endpoint(to, "cold", ("z1", 0, "k"), 1, EndpointState::Ready, now - 100 * MS);
            if remembers {
                to.restore_hardware_class(HardwareClassRecord {
                    name: "k",
                    load: Some([900.0, 20.0]),
                    slowdown: Some([0.1, 20.0]),
                    baseline: Some([10.0, 10.0, 200.0]),
                });
                to.restore_endpoint("cold", Some([0.1, 4.0]), false);
                to.restore_route(RouteRecord { route: None, baseline: [1000.0, 200.0, 200.0] });
            }
        });
        let mut sent = 0;
        for id in 0..300 {
            let got = b.round(5 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
            sent += got.iter().filter(|l| l.ends_with(" cold")).count();
            b.round(0, |to| outcome(to, id, 0, AttemptOutcome::Succeeded, 5 * MS, true, None));
        }
        sent
    };
    assert!(sent(true) <= sent(false), "{} against {}", sent(true), sent(false));
}

#[test]
fn a_build_condemned_before_a_restart_is_held_for_a_minute_from_then_and_no_longer() {
    // Seconds since it was condemned -> held at the beginning of a stage.
    for (passed, held) in [(0, true), (58, true), (60, false), (4000, false)] {
        let now = 100_000 * SECOND;
        let set = Settings { stage_caps: vec![0.5], guarded_stages: 0, ..settings() };
        let mut b = Bench { now, module: Balancer::new(set, 1, Timestamp::from_micros(now)) };
        b.round(0, |to| {
            warm(to, "n1", "z1", 2);
            rollout_status(to, 2, 0, RolloutPhase::Canary, 0.5, 0);
            to.restore_rejected_build(2, Timestamp::from_micros(now - passed * SECOND));
        });
        let got: Vec<_> = (0..4).flat_map(|_| b.round(250 * MS, |_| {})).collect();
        assert_eq!(got.iter().any(|l| l == "vote 2 0 Hold"), held, "{passed}: {got:?}");
        // The hold is lifted as any other, and nothing sends it back.
        let later: Vec<_> = (0..40).flat_map(|_| b.round(250 * MS, |_| {})).collect();
        assert!(!later.iter().any(|l| l.ends_with("RollBack")), "{later:?}");
    }
}
