//! Each rule's guard at its edge.

mod common;
mod limits;
mod recall;

use common::{Bench, MS, count, endpoint, endpoint_list, outcome, request, rollout_status, settings, warm};
use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::{AttemptOutcome, EndpointState, RolloutPhase, Timestamp};

#[test]
fn a_try_that_may_have_run_is_repeated_only_as_its_route_allows() {
    // route, how the first try ended, time until then, a second machine's zone -> further try, shed, error
    let table = [
        (0, AttemptOutcome::Failed, 10, "z2", "try 7 m2"),
        (1, AttemptOutcome::Failed, 10, "z1", "try 7 m2"),
        (1, AttemptOutcome::Failed, 10, "z2", "try 7 m1"),
        (1, AttemptOutcome::Failed, 299, "z1", "try 7 m2"),
        (1, AttemptOutcome::Failed, 300, "z1", "error 7"),
        (1, AttemptOutcome::Refused, 300, "z2", "try 7 m2"),
        (2, AttemptOutcome::Failed, 10, "z1", "error 7"),
        (2, AttemptOutcome::ConnectionReset, 10, "z1", "error 7"),
        (2, AttemptOutcome::Overloaded, 10, "z1", "try 7 m2"),
        (2, AttemptOutcome::Refused, 10, "z1", "try 7 m2"),
        (2, AttemptOutcome::NotSent, 10, "z1", "try 7 m2"),
    ];
    for (route, end, after, zone, wanted) in table {
        let mut b = Bench::new(settings());
        let sent = b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            request(to, 7, route, None, 900 * MS, 1.0);
        });
        assert_eq!(sent, ["try 7 m1"]);
        b.round(0, |to| warm(to, "m2", zone, 1));
        let got = b.round(after * MS, |to| outcome(to, 7, 0, end, after * MS, false, None));
        assert_eq!(got, [wanted], "{route} {end:?} {after} {zone}: {got:?}");
    }
}

#[test]
fn a_restarted_machine_vouches_for_no_group() {
    // Its id may have come back in another zone, where the group that saw the first try is not known.
    let mut b = Bench::new(settings());
    b.round(0, |to| {
        warm(to, "m1", "z2", 1);
        request(to, 7, 1, None, 900 * MS, 1.0);
    });
    let now = b.now;
    b.round(10 * MS, |to| {
        endpoint(to, "m1", ("z1", 0, "k"), 1, EndpointState::Ready, now + 5 * MS);
        warm(to, "m2", "z1", 1);
    });
    let got = b.round(10 * MS, |to| outcome(to, 7, 0, AttemptOutcome::ConnectionReset, 20 * MS, false, None));
    assert_eq!(got, ["error 7"]);
}

#[test]
fn a_req_that_went_down_with_its_machine_is_not_sent_to_the_next() {
    for (probe, wanted) in [
        (AttemptOutcome::Succeeded, "try 7 m2"),
        (AttemptOutcome::Failed, "try 7 m2"),
        (AttemptOutcome::Refused, "shed 7"),
    ] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            request(to, 7, 0, None, 900 * MS, 1.0);
        });
        b.round(0, |to| warm(to, "m2", "z1", 1));
        let got =
            b.round(10 * MS, |to| outcome(to, 7, 0, AttemptOutcome::ConnectionReset, 10 * MS, false, None));
        assert_eq!(got, ["probe m1"]);
        assert_eq!(b.round(10 * MS, |to| to.on_health_check("m1", probe, None)), [wanted]);
    }
}

#[test]
fn a_req_held_without_machines_is_answered_once_and_in_time() {
    for route in 0..3 {
        let mut b = Bench::new(settings());
        let mut all = b.round(0, |to| request(to, 7, route, None, 200 * MS, 1.0));
        for _ in 0..40 {
            all.extend(b.round(10 * MS, |_| {}));
            assert!(b.now < 100_200 * MS || all.len() == 1);
        }
        assert_eq!(all, ["shed 7"]);
    }
}

#[test]
fn nothing_goes_to_a_machine_that_drains_is_gone_or_missing_from_a_whole_list() {
    for (whole, standing) in
        [(false, Some(EndpointState::Draining)), (false, Some(EndpointState::Removed)), (true, None)]
    {
        let mut b = Bench::new(settings());
        b.round(0, |to| warm(to, "m1", "z1", 1));
        let got = b.round(0, |to| {
            endpoint_list(to, whole);
            standing.into_iter().for_each(|st| endpoint(to, "m1", ("z1", 0, "k"), 1, st, 0));
            request(to, 7, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(got.len(), 0, "{got:?}");
    }
}

/// Only a machine of the build on trial is there: what goes out is what rule 5 allows.
fn exposed(set: Settings, build: u32, stage: u32, cap: f64, route: usize, reqs: u64) -> usize {
    let mut b = Bench::new(set);
    let got = b.round(0, |to| {
        warm(to, "m1", "z1", build);
        rollout_status(to, 2, stage, RolloutPhase::Canary, cap, 0);
        (0..reqs).for_each(|id| request(to, id, route, None, 900 * MS, 1.0));
    });
    count(&got, "try")
}

#[test]
fn exposure_stays_within_free_and_cap() {
    // build listed, stage, cap told, route, reqs -> tries
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
fn exposure_is_counted_by_route_where_told() {
    for (by_route, wanted) in [(false, 3), (true, 2)] {
        let mut b = Bench::new(Settings { exposure_by_route: by_route, ..settings() });
        let got = b.round(0, |to| {
            warm(to, "m1", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 0.1, 0);
            (0..10).for_each(|id| request(to, id, usize::from(id >= 5), None, 900 * MS, 1.0));
        });
        let first = (0..5).filter(|id| got.contains(&format!("try {id} m1"))).count();
        assert_eq!(if by_route { first } else { count(&got, "try") }, wanted);
    }
}

#[test]
fn a_window_lets_go_of_tries_after_its_length_only() {
    for (pass, wanted) in [(4000 * MS, 0), (4000 * MS + 1, 1)] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 0.1, 0);
            (0..2).for_each(|id| request(to, id, 0, None, 900 * MS, 1.0));
        });
        b.round(20 * MS, |to| {
            (0..2).for_each(|id| outcome(to, id, 0, AttemptOutcome::Succeeded, 20 * MS, true, None))
        });
        let got = b.round(pass - 20 * MS, |to| request(to, 9, 0, None, 900 * MS, 1.0));
        assert_eq!(count(&got, "try"), wanted);
    }
}

#[test]
fn a_key_answered_by_the_build_on_trial_stays_there_where_one_way() {
    for (one_way, phase, wanted) in [
        (true, RolloutPhase::Canary, "try 2 new"),
        (true, RolloutPhase::RollingBack, "try 2 old"),
        (false, RolloutPhase::Canary, "try 2 old"),
    ] {
        let mut b =
            Bench::new(Settings { monotonic_key_builds: one_way, exposure_allowance: 1.0, ..settings() });
        b.round(0, |to| {
            warm(to, "new", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
            request(to, 1, 0, Some("k"), 900 * MS, 1.0);
        });
        b.round(10 * MS, |to| outcome(to, 1, 0, AttemptOutcome::Succeeded, 10 * MS, true, None));
        let got = b.round(10 * MS, |to| {
            if wanted.ends_with("old") {
                endpoint(to, "new", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            }
            warm(to, "old", "z1", 1);
            rollout_status(to, 2, 1, phase, 1.0, 0);
            request(to, 2, 0, Some("k"), 900 * MS, 1.0);
        });
        assert_eq!(got, [wanted]);
    }
}

#[test]
fn a_cold_machine_is_not_pushed_over_by_many_fronts_that_send_little() {
    // Fronts, and the reqs a second of each: room for one req each would be many times what it bears.
    for (fronts, rate) in [(1, 100), (10, 10), (100, 1)] {
        let (mut sent, pass) = (0, 1000 * MS / rate);
        for me in 0..fronts {
            let mut b = Bench::new(Settings { instance_count: fronts, instance_index: me, ..settings() });
            let start = b.now;
            b.round(0, |to| (0..5).for_each(|i| warm(to, &format!("m{i}"), "z1", 1)));
            // Spread over the second, as the fronts of a deployment are.
            b.round(u64::from(me) * 10 * MS, |_| {});
            for id in 0.. {
                b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
                b.round(10 * MS, |to| outcome(to, id, 0, AttemptOutcome::Succeeded, 10 * MS, true, None));
                if b.now > start + 10_000 * MS {
                    break;
                }
                (0..20).for_each(|_| drop(b.round(pass.saturating_sub(20 * MS) / 20, |_| {})));
            }
            let now = b.now;
            b.round(0, |to| {
                endpoint_list(to, true);
                endpoint(to, "cold", ("z1", 0, "k"), 1, EndpointState::Ready, now);
            });
            for step in 0..150 {
                let due = step % (pass / (10 * MS)) == 0;
                let got = b.round(10 * MS, |to| {
                    if due {
                        request(to, 10_000 + step, 0, None, 900 * MS, 1.0);
                    }
                });
                for rq in got.iter().filter_map(|l| l.strip_prefix("try ")?.strip_suffix(" cold")) {
                    sent += 1;
                    b.round(0, |to| {
                        outcome(to, rq.parse().unwrap(), 0, AttemptOutcome::Succeeded, 0, true, None)
                    });
                }
            }
        }
        // Warm machines bear twenty a second each; over the window a cold one 0.43 of that, twice over.
        assert!((3..=26).contains(&sent), "{fronts} fronts: {sent}");
    }
}

#[test]
fn no_second_try_goes_out_while_the_first_is() {
    // A jam would double its own load, and a long req is as long elsewhere.
    let mut b = Bench::new(settings());
    b.round(0, |to| {
        warm(to, "m1", "z1", 1);
        request(to, 1, 0, None, 2000 * MS, 1.0);
    });
    b.round(0, |to| warm(to, "m2", "z1", 1));
    let got: Vec<_> = (0..40).flat_map(|_| b.round(10 * MS, |_| {})).collect();
    assert_eq!(count(&got, "try"), 0, "{got:?}");
    let got = b.round(10 * MS, |to| outcome(to, 1, 0, AttemptOutcome::Failed, 410 * MS, false, None));
    assert_eq!(got, ["try 1 m2"]);
}

#[test]
fn a_machine_set_aside_returns_after_answered_probes() {
    let mut b = Bench::new(settings());
    b.round(0, |to| {
        warm(to, "m1", "z1", 1);
        (1..3).for_each(|id| request(to, id, 2, None, 5000 * MS, 1.0));
    });
    b.round(0, |to| (1..3).for_each(|id| outcome(to, id, 0, AttemptOutcome::Refused, MS, false, None)));
    let mut probes = 0;
    for _ in 0..3 {
        let got: Vec<_> = (0..45).flat_map(|_| b.round(10 * MS, |_| {})).collect();
        assert_eq!(count(&got, "try"), 0);
        if count(&got, "probe m1") > 0 {
            probes += 1;
            b.round(MS, |to| to.on_health_check("m1", AttemptOutcome::Succeeded, None));
        }
        if probes == 2 {
            break;
        }
    }
    assert_eq!(b.round(10 * MS, |to| request(to, 9, 0, None, 900 * MS, 1.0)), ["try 9 m1"]);
}

#[test]
fn reqs_accepted_under_a_higher_cap_earn_nothing_under_a_lower_one() {
    for (cap, wanted) in [(1.0, 1), (0.5, 0)] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
            (0..30).for_each(|id| request(to, id, 0, None, 900 * MS, 1.0));
        });
        let got = b.round(10 * MS, |to| {
            (0..30).for_each(|id| outcome(to, id, 0, AttemptOutcome::Succeeded, 10 * MS, true, None));
            (0..30).for_each(|id| to.on_client_disconnected(id));
            rollout_status(to, 2, 1, RolloutPhase::Canary, cap, 0);
            request(to, 99, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(count(&got, "try 99"), wanted, "{cap}: {got:?}");
    }
}

#[test]
fn routes_nearly_alike_take_turns_where_room_is_short() {
    // What the older of two waiting reqs earns -> which goes first: the newer, unless it earns far less.
    for (earnings, wanted) in [(1.2, "try 8 m1"), (4.0, "try 7 m1")] {
        let mut set = settings();
        set.routes[2].priority_weight = earnings;
        let mut b = Bench::new(set);
        b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            (0..6).for_each(|id| request(to, id, 0, None, 900 * MS, 1.0));
        });
        let waiting = b.round(MS, |to| request(to, 7, 2, None, 900 * MS, 1.0));
        b.round(MS, |to| request(to, 8, 0, None, 900 * MS, 1.0));
        assert_eq!(waiting.len(), 0);
        let got = b.round(MS, |to| outcome(to, 0, 0, AttemptOutcome::Failed, 3 * MS, true, None));
        assert_eq!(got, [wanted]);
    }
}

#[test]
fn the_own_zone_is_preferred_while_its_answers_take_no_longer() {
    // How long answers take in the own zone, in the other -> at least, at most so many of 300 tries at home.
    for (own, other, least, most) in [(10, 10, 190, 300), (40, 10, 0, 160)] {
        let mut b = Bench::new(Settings { cross_zone_price: 0.02, ..settings() });
        b.round(0, |to| ["f1", "f2", "f3", "f4"].into_iter().for_each(|m| warm(to, m, "z2", 1)));
        let mut home = 0;
        for id in 0..330 {
            if id == 30 {
                b.round(0, |to| ["h1", "h2"].into_iter().for_each(|m| warm(to, m, "z1", 1)));
            }
            let got = b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
            let here = got.iter().any(|l| l.contains(" h"));
            home += usize::from(here);
            let took = if here { own } else { other } * MS;
            b.round(took, |to| outcome(to, id, 0, AttemptOutcome::Succeeded, took, true, None));
        }
        assert!((least..=most).contains(&home), "{own} {other}: {home}");
    }
}

#[test]
fn a_fleet_that_is_slow_by_itself_is_not_left_idle() {
    // Every answer is hard, however few are out: narrowing further would only shed what machines could do.
    let mut b = Bench::new(Settings { instance_count: 2, ..settings() });
    b.round(0, |to| ["m1", "m2", "m3", "m4"].into_iter().for_each(|m| warm(to, m, "z1", 1)));
    let mut out: Vec<u64> = Vec::new();
    for id in 0..2_000 {
        let first = out.first().copied().filter(|id_then| id >= id_then + 20);
        let got = b.round(10 * MS, |to| {
            first
                .into_iter()
                .for_each(|id| outcome(to, id, 0, AttemptOutcome::Succeeded, 200 * MS, true, None));
            request(to, id, 0, None, 900 * MS, 1.0);
        });
        out.retain(|id| Some(*id) != first);
        out.extend(got.iter().filter_map(|l| l.strip_prefix("try ")?.split(' ').next()?.parse::<u64>().ok()));
    }
    assert!(out.len() >= 3, "{} out", out.len());
}

#[test]
fn a_front_that_closes_answers_all_before_it_ends() {
    // Whatever time the client gives: held for want of machines, or out and timed out by the host.
    for machines in [&[][..], &["m1"]] {
        let mut b = Bench::new(settings());
        let mut all = b.round(0, |to| {
            machines.iter().for_each(|m| warm(to, m, "z1", 1));
            request(to, 7, 0, None, 8000 * MS, 1.0);
        });
        let by = b.now + 400 * MS;
        all.extend(b.round(10 * MS, |to| to.begin_shutdown(Timestamp::from_micros(by))));
        all.extend(b.round(10 * MS, |to| request(to, 8, 0, None, 8000 * MS, 1.0)));
        while b.now < by {
            all.extend(b.round(10 * MS, |_| {}));
        }
        let out: Vec<u64> = [7, 8].into_iter().filter(|id| all.contains(&format!("try {id} m1"))).collect();
        all.extend(b.round(0, |to| {
            out.iter().for_each(|id| outcome(to, *id, 0, AttemptOutcome::TimedOut, 400 * MS, false, None))
        }));
        assert!(all.contains(&"shed 7".into()) && all.contains(&"shed 8".into()), "{all:?}");
        assert_eq!(out.len(), 2 * machines.len());
    }
}

#[test]
fn machines_that_come_and_go_for_good_leave_nothing_behind() {
    let mut b = Bench::new(Settings { monotonic_key_builds: true, ..settings() });
    b.round(0, |to| rollout_status(to, 1, 0, RolloutPhase::Released, 1.0, 0));
    for n in 0..600u32 {
        let (name, build) = (format!("m{n}"), n / 50);
        b.round(0, |to| {
            endpoint_list(to, true);
            warm(to, &name, "z1", build);
            rollout_status(to, build, 0, RolloutPhase::Released, 1.0, 0);
            request(to, u64::from(n), 0, Some(&name), 900 * MS, 1.0);
        });
        // Answered after its machine is gone, now and then.
        if n % 7 == 0 {
            b.round(0, |to| endpoint_list(to, true));
        }
        b.round(300 * MS, |to| outcome(to, u64::from(n), 0, AttemptOutcome::Succeeded, 300 * MS, true, None));
        b.round(2700 * MS, |_| {});
    }
    let m = &b.module;
    let kept = [m.machines.len(), m.names.len(), m.evidence.len(), m.keys.len(), m.reqs.len()];
    assert!(kept.iter().all(|n| *n < 100), "{kept:?}");
    // An id that comes back is the machine as last listed.
    b.round(0, |to| endpoint(to, "m0", ("z1", 0, "k"), 99, EndpointState::Ready, 0));
    let again = b.module.machines.iter().filter(|m| m.name == "m0").count();
    assert_eq!((again, b.module.names["m0"] < 100), (1, true));
}

#[test]
fn a_try_that_may_be_lost_has_another_beside_it_and_the_first_answer_counts() {
    // route, time since the first try, answers are hard -> what goes out, and what an answer of the second cancels
    let table = [
        (0, 251, false, vec!["try 900 m2"], vec!["cancel 900 0"]),
        (0, 240, false, vec![], vec![]),
        (0, 251, true, vec![], vec![]),
        // Its repeat would have to come within 300 ms, in the same zone.
        (1, 251, false, vec!["try 900 m2"], vec!["cancel 900 0"]),
        (1, 310, false, vec![], vec![]),
        (2, 251, false, vec![], vec![]),
    ];
    for (route, passed, hard, sent, cancelled) in table {
        let mut b = Bench::new(settings());
        b.round(0, |to| warm(to, "m1", "z1", 1));
        for id in 0..120 {
            b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
            b.round(20 * MS, |to| outcome(to, id, 0, AttemptOutcome::Succeeded, 20 * MS, true, None));
        }
        let usual = b.module.usual[0].sums[0] / b.module.usual[0].sums[2];
        assert_eq!(
            count(&b.round(10 * MS, |to| request(to, 900, route, None, 900 * MS, 1.0)), "try 900 m1"),
            1
        );
        b.round(0, |to| warm(to, "m2", "z1", 1));
        if hard {
            b.module.room.ease.sums = [60.0, 60.0];
        }
        let got = b.round(passed * MS, |_| {});
        let tries: Vec<_> = got.iter().filter(|l| l.starts_with("try") || l.starts_with("shed")).collect();
        assert_eq!(tries, sent.iter().collect::<Vec<_>>(), "{route} {passed} {hard}");
        if !sent.is_empty() {
            let got =
                b.round(20 * MS, |to| outcome(to, 900, 1, AttemptOutcome::Succeeded, 20 * MS, true, None));
            let got: Vec<_> = got.iter().filter(|l| l.starts_with("cancel")).collect();
            assert_eq!(got, cancelled.iter().collect::<Vec<_>>(), "{route}");
            // Its time counts, or ever less would seem usual.
            let [took, _, n] = b.module.usual[0].sums;
            assert!(route > 0 || took / n > usual * 1.01, "{usual} {}", took / n);
        }
    }
}

#[test]
fn a_machine_that_lets_tries_time_out_is_dear() {
    let mut b = Bench::new(settings());
    b.round(0, |to| ["m1", "m2"].into_iter().for_each(|m| warm(to, m, "z1", 1)));
    let mut on_first = 0;
    for id in 0..300 {
        let sent = b.round(10 * MS, |to| request(to, id, 0, None, 900 * MS, 1.0));
        let first = count(&sent, &format!("try {id} m1")) > 0;
        on_first += usize::from(first);
        // It answers probes and one req in three.
        let (end, took) = if first && id % 3 > 0 {
            (AttemptOutcome::TimedOut, 900)
        } else {
            (AttemptOutcome::Succeeded, 10)
        };
        b.round(10 * MS, |to| outcome(to, id, 0, end, took * MS, true, None));
    }
    assert!(on_first < 100, "{on_first}");
}

#[test]
fn a_try_whose_connection_comes_late_is_held_to_what_came_meanwhile() {
    fn listed(to: &mut Balancer, build: u32, standing: EndpointState, started: u64) {
        endpoint(to, "m1", ("z1", 0, "k"), build, standing, started);
    }
    type Meanwhile = fn(&mut Balancer);
    // what came, after how long -> may the query be written
    let table: [(&str, Meanwhile, u64, bool); 9] = [
        ("nothing", |_| {}, 10, true),
        ("the same again", |to| listed(to, 1, EndpointState::Ready, 0), 10, true),
        ("it drains", |to| listed(to, 1, EndpointState::Draining, 0), 10, false),
        ("it is gone", |to| listed(to, 1, EndpointState::Removed, 0), 10, false),
        ("a whole list without it", |to| endpoint_list(to, true), 10, false),
        ("it runs another build", |to| listed(to, 2, EndpointState::Ready, 0), 10, false),
        ("it has started anew", |to| listed(to, 1, EndpointState::Ready, to.now), 10, false),
        ("the client has left", |to| to.on_client_disconnected(7), 10, false),
        ("the client's time is over", |_| {}, 900, false),
    ];
    for (what, meanwhile, after, wanted) in table {
        let mut b = Bench::new(settings());
        let sent = b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            request(to, 7, 0, None, 900 * MS, 1.0);
        });
        assert_eq!(sent, ["try 7 m1"]);
        let mut may = None;
        b.round(after * MS, |to| {
            meanwhile(to);
            may = Some(to.may_write_attempt(7, 0));
        });
        assert_eq!(may, Some(wanted), "{what}");
    }
    // The window of the first try ends while the second one's connection is made.
    for (route, after, wanted) in [(1, 299, true), (1, 300, false), (0, 300, true)] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            request(to, 7, route, None, 900 * MS, 1.0);
        });
        let got = b.round(10 * MS, |to| outcome(to, 7, 0, AttemptOutcome::Failed, 10 * MS, false, None));
        assert_eq!(got, ["try 7 m1"]);
        let mut may = None;
        b.round((after - 10) * MS, |to| may = Some(to.may_write_attempt(7, 1)));
        assert_eq!(may, Some(wanted), "{route} {after}");
    }
}

#[test]
fn a_try_at_a_build_on_trial_counts_from_when_it_is_written() {
    // The cap falls before the query can be written.
    for (cap, wanted) in [(0.1, true), (0.0, false)] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 0.1, 0);
            request(to, 7, 0, None, 900 * MS, 1.0);
        });
        let mut may = None;
        b.round(10 * MS, |to| {
            rollout_status(to, 2, 1, RolloutPhase::Canary, cap, 0);
            may = Some(to.may_write_attempt(7, 0));
        });
        assert_eq!(may, Some(wanted), "{cap}");
    }
    // Two are free in any window: one written late leaves room for one only when the first window is over.
    for (late, wanted) in [(0, 2), (600, 1)] {
        let mut b = Bench::new(settings());
        let both = |to: &mut Balancer, from: u64| {
            (from..from + 2).for_each(|id| request(to, id, 0, None, 900 * MS, 1.0))
        };
        b.round(0, |to| {
            warm(to, "m1", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 0.1, 0);
            both(to, 0);
        });
        b.round(late * MS, |to| assert!(to.may_write_attempt(1, 0)));
        b.round(MS, |to| (0..2).for_each(|id| outcome(to, id, 0, AttemptOutcome::Succeeded, MS, true, None)));
        let got = b.round((4010 - 1 - late) * MS, |to| both(to, 10));
        assert_eq!(count(&got, "try"), wanted, "{late}");
    }
}

#[test]
fn a_front_whose_machines_are_all_set_aside_finds_its_way_out() {
    // Probes are lost on this front's way to the machines, or have come back late too often before.
    for (probes, most) in [(None, 1500), (Some(AttemptOutcome::Succeeded), 1300)] {
        let mut b = Bench::new(settings());
        b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            warm(to, "m2", "z1", 1);
            (1..5).for_each(|id| request(to, id, 2, None, 400 * MS, 1.0));
        });
        b.round(0, |to| (1..5).for_each(|id| outcome(to, id, 0, AttemptOutcome::Refused, MS, false, None)));
        b.round(0, |to| (1..5).for_each(|id| outcome(to, id, 1, AttemptOutcome::Refused, MS, false, None)));
        b.module.machines.iter_mut().for_each(|m| m.wanted = 16);
        let (begun, mut tried) = (b.now, None);
        for id in 0..20u64 {
            let got: Vec<_> = (0..10)
                .flat_map(|n| {
                    b.round(10 * MS, |to| {
                        if n == 0 {
                            request(to, 100 + id, 0, None, 400 * MS, 1.0);
                        }
                        for m in ["m1", "m2"].iter().filter(|_| n == 5) {
                            probes.into_iter().for_each(|end| to.on_health_check(m, end, None));
                        }
                    })
                })
                .collect();
            if count(&got, "try 1") > 0 {
                tried = Some((b.now - begun) / MS);
                break;
            }
        }
        assert!(tried.is_some_and(|ms| ms <= most), "{probes:?}: {tried:?}");
        // While none has answered, one try a machine and second.
        if probes.is_none() {
            let got: Vec<_> = (0..50)
                .flat_map(|n| b.round(10 * MS, |to| request(to, 500 + n, 0, None, 400 * MS, 1.0)))
                .collect();
            assert!(count(&got, "try") <= 1, "{got:?}");
        }
    }
}

#[test]
fn a_req_that_waits_is_given_up_in_the_very_round_that_its_time_is_over() {
    // Rounds come only when the module has asked for them.
    for left in [333, 500, 504, 777] {
        let mut b = Bench::new(settings());
        let begun = b.now;
        let got = b.round(0, |to| {
            endpoint(to, "m1", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            request(to, 7, 0, None, left * MS, 1.0);
        });
        assert!(got.is_empty());
        let got = std::iter::repeat_with(|| b.round(b.module.wake_at - b.now, |_| {}));
        assert_eq!(got.take(200).find(|got| !got.is_empty()), Some(vec!["shed 7".to_string()]));
        assert_eq!((b.now - begun) / MS, left.min(500), "{left}");
    }
}

#[test]
fn a_key_that_a_later_build_is_being_asked_for_goes_to_no_earlier_one() {
    let set = || Settings { monotonic_key_builds: true, health_checks: false, ..settings() };
    let ask = |to: &mut Balancer, id, key| request(to, id, 0, Some(key), 900 * MS, 1.0);
    // The later build's machine holds one req of the key; the earlier one's comes in then.
    let asked = || {
        let mut b = Bench::new(set());
        let got = b.round(0, |to| {
            warm(to, "m2", "z1", 2);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
            ask(to, 1, "a");
        });
        assert_eq!(got, ["try 1 m2"]);
        b.round(0, |to| {
            endpoint(to, "m2", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            warm(to, "m1", "z1", 1);
        });
        b
    };
    let mut b = asked();
    let got = b.round(MS, |to| [(2, "a"), (3, "b")].into_iter().for_each(|(id, key)| ask(to, id, key)));
    assert_eq!(got, ["try 3 m1"]);
    // It did not answer: the key is free again.
    let got = b.round(MS, |to| outcome(to, 1, 0, AttemptOutcome::Overloaded, 2 * MS, true, None));
    assert_eq!(got, ["try 2 m1"]);
    // It did: not even where the build is withdrawn is that forgotten before it is told.
    let mut b = asked();
    b.round(MS, |to| ask(to, 2, "a"));
    let got = b.round(MS, |to| outcome(to, 1, 0, AttemptOutcome::Succeeded, 2 * MS, true, None));
    assert!(got.is_empty(), "{got:?}");
    assert_eq!(b.round(MS, |to| rollout_status(to, 2, 1, RolloutPhase::RollingBack, 0.0, 0)), ["try 2 m1"]);
    // Chosen for the earlier build first, written after the later one has answered.
    let mut b = Bench::new(set());
    let got = b.round(0, |to| {
        warm(to, "m1", "z1", 1);
        rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
        ask(to, 1, "a");
    });
    assert_eq!(got, ["try 1 m1"]);
    b.module.keys.insert("a".into(), 2);
    let mut may = None;
    b.round(MS, |to| may = Some(to.may_write_attempt(1, 0)));
    assert_eq!(may, Some(false));
}

#[test]
fn a_key_that_a_later_build_may_have_answered_stays_with_it() {
    // How the later build's try ended, and whether an earlier build's answer of the key comes after it.
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
        let mut b = Bench::new(Settings { monotonic_key_builds: true, health_checks: false, ..settings() });
        let ask = |to: &mut Balancer, id| request(to, id, 0, Some("a"), 900 * MS, 1.0);
        let got = b.round(0, |to| {
            warm(to, "m1", "z1", 1);
            rollout_status(to, 2, 1, RolloutPhase::Canary, 1.0, 0);
            ask(to, 1);
        });
        assert_eq!(got, ["try 1 m1"]);
        let got = b.round(MS, |to| {
            endpoint(to, "m1", ("z1", 0, "k"), 1, EndpointState::Draining, 0);
            warm(to, "m2", "z1", 2);
            ask(to, 2);
        });
        assert_eq!(got, ["try 2 m2"]);
        b.round(MS, |to| {
            endpoint(to, "m2", ("z1", 0, "k"), 2, EndpointState::Draining, 0);
            outcome(to, 2, 0, end, MS, true, None);
            to.on_client_disconnected(2);
        });
        if earlier {
            b.round(MS, |to| outcome(to, 1, 0, AttemptOutcome::Succeeded, 3 * MS, true, None));
        }
        let got = b.round(MS, |to| {
            warm(to, "m1", "z1", 1);
            ask(to, 3);
        });
        assert_eq!(count(&got, "try 3 m1"), wanted, "{end:?} {earlier}: {got:?}");
    }
}
