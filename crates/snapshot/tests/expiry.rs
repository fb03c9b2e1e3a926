//! What facts count for by their age, and what background work may do when.

mod common;

use common::{machine_fact, process};
use tidescale_snapshot::expiry::{
    self, Listed, PACE_ANSWERS, USUAL_ANSWERS, age, life, listed, weight,
};
use tidescale_snapshot::rate_limit::Schedule;
use tidescale_snapshot::records::*;

const SECOND: u64 = 1_000_000;
const DAY: u64 = 24 * 3600 * SECOND;
const NOW: u64 = 1_700_000_000 * SECOND;

#[test]
fn no_fact_grows_stronger_and_none_counts_for_ever() {
    for fact in common::image_of_all_kinds().facts {
        let seen = fact.seen();
        let mut last = 1.0;
        for passed in (0..40 * 24 * 60).map(|minutes| minutes * 60 * SECOND) {
            let now = weight(&fact, seen + passed);
            assert!(
                (0.0..=last).contains(&now),
                "{:?} after {passed}",
                fact.subject()
            );
            last = now;
        }
        assert_eq!(last, 0.0, "{:?} is immortal", fact.subject());
        assert!(weight(&fact, seen + life(&fact).most) == 0.0);
    }
}

#[test]
fn a_clock_that_goes_wrong_makes_no_fact_count_more() {
    // When it was seen against now -> its age.
    let table = [
        (NOW, Some(0)),
        (NOW - 7, Some(7)),
        (NOW + SECOND, Some(0)),
        (NOW + 3 * SECOND, None),
        (NOW + DAY, None),
        (u64::MAX, None),
        (0, Some(NOW)),
        (NOW - DAY, Some(DAY)),
    ];
    for (seen, wanted) in table {
        assert_eq!(age(seen, NOW), wanted, "{seen}");
        let fact = Fact::Machine(machine_fact(seen, [8.0, 4.0], true));
        let counts = weight(&fact, NOW) > 0.0;
        assert_eq!(
            counts,
            wanted.is_some_and(|age| age < 80 * SECOND),
            "{seen}"
        );
    }
}

#[test]
fn only_the_same_process_is_held_to_what_it_did() {
    let seen = process("m1", 7, 5);
    let other = |change: fn(&mut Process)| {
        let mut p = seen.clone();
        change(&mut p);
        p
    };
    let table = [
        (Some(seen.clone()), Listed::Same),
        (Some(other(|p| p.build = 8)), Listed::Other),
        (Some(other(|p| p.started = 6)), Listed::Other),
        (
            Some(other(|p| p.addr = "127.0.0.2:5432".into())),
            Listed::Other,
        ),
        (None, Listed::Other),
    ];
    for (now, wanted) in table {
        let standing = listed(&seen, now.as_ref());
        assert_eq!(standing, wanted);
        let told = expiry::machine(&machine_fact(NOW, [8.0, 4.0], true), NOW, standing);
        assert_eq!(told.is_some(), wanted == Listed::Same);
    }
}

#[test]
fn a_machines_pace_is_bounded_and_its_setting_aside_soon_forgotten() {
    // Answers seen, age in seconds -> answers told, still set aside.
    let table = [
        (2.0, 0, 2.0, true),
        (400.0, 0, PACE_ANSWERS, true),
        (400.0, 10, 2.0, true),
        (400.0, 11, 1.866, false),
    ];
    for (answers, passed, wanted, aside) in table {
        let fact = machine_fact(NOW - passed * SECOND, [5.0 * answers, answers], true);
        let told = expiry::machine(&fact, NOW, Listed::Same).unwrap();
        let [sum, n] = told.pace.unwrap();
        assert!(
            (n - wanted).abs() < 0.01 && (sum / n - 5.0).abs() < 1e-9,
            "{answers} {passed}: {n}"
        );
        assert_eq!(told.aside, aside, "{passed}");
    }
    assert_eq!(
        expiry::machine(
            &machine_fact(NOW - 80 * SECOND, [8.0, 4.0], true),
            NOW,
            Listed::Same
        ),
        None
    );
}

#[test]
fn what_makes_no_sense_tells_nothing() {
    for pace in [
        [f64::NAN, 4.0],
        [f64::INFINITY, 4.0],
        [-1.0, 4.0],
        [1.0, 0.0],
        [1.0, -2.0],
    ] {
        let told = expiry::machine(&machine_fact(NOW, pace, false), NOW, Listed::Same).unwrap();
        assert_eq!(told.pace, None, "{pace:?}");
    }
    let evidence = |all: Vec<f64>, hits: Vec<f64>| {
        let fact = EvidenceFact {
            seen: NOW,
            process: process("m1", 7, 5),
            build: 7,
            all,
            hits,
        };
        expiry::evidence(&fact, NOW, Listed::Same)
    };
    assert!(evidence(vec![4.0], vec![1.0]).is_some());
    for (all, hits) in [
        (vec![4.0], vec![9.0]),
        (vec![f64::NAN], vec![0.0]),
        (vec![4.0], vec![]),
    ] {
        assert!(evidence(all, hits).is_none());
    }
    let route = RouteFact {
        seen: NOW,
        route: "look".into(),
        usual: [9e6, 1e4, 1e4],
    };
    assert_eq!(expiry::route(&route, NOW).unwrap()[2], USUAL_ANSWERS);
}

#[test]
fn what_is_seen_ten_times_ages_from_when_it_was_seen() {
    // Ten restarts a second apart, each writing what it read: the tenth counts no more than one read ten seconds on.
    let seen = EvidenceFact {
        seen: NOW,
        process: process("m1", 7, 5),
        build: 7,
        all: vec![40.0],
        hits: vec![10.0],
    };
    let mut kept = seen.clone();
    for n in 1..=10 {
        let now = NOW + n * SECOND;
        let (all, hits) = expiry::evidence(&kept, now, Listed::Same).unwrap();
        kept = EvidenceFact {
            seen: now,
            all,
            hits,
            ..kept
        };
    }
    let (once, _) = expiry::evidence(&seen, NOW + 10 * SECOND, Listed::Same).unwrap();
    assert!(
        (kept.all[0] - once[0]).abs() < 1e-6,
        "{} {}",
        kept.all[0],
        once[0]
    );
}

#[test]
fn background_work_keeps_to_its_budgets_and_the_order_of_its_jobs() {
    let mut s = Schedule::new(20_000.0, 1e6, 0);
    let low = s.add(1, 0, SECOND);
    let high = s.add(9, 500, SECOND);
    assert_eq!(s.next(0), Some(low));
    assert_eq!(s.next(500), Some(high));
    s.ended(high, 500);
    assert_eq!((s.next(501), s.wake_at(501)), (Some(low), Some(501)));
    // Overdrawn by 20 ms of time: worked off in a second, whatever is due.
    s.spent(40_000, 0, 501);
    assert_eq!(s.next(900_000), None);
    let again = s.wake_at(900_000).unwrap();
    assert!((1_000_000..1_000_700).contains(&again), "{again}");
    assert_eq!(s.next(again), Some(high));
    // Bytes as well; and a clock that stands or goes back earns nothing.
    s.spent(0, 3_000_000, again);
    assert_eq!((s.next(again), s.next(again - 500)), (None, None));
    let (mut now, mut slices) = (10 * SECOND, 0);
    let end = now + 5 * SECOND;
    while now < end {
        match s.next(now) {
            Some(_) => {
                (slices, now) = (slices + 1, now + 100);
                s.spent(100, 1000, now);
            }
            None => now = s.wake_at(now).unwrap().max(now + 1),
        }
    }
    // 20 ms a second at 100 us a slice: 200 a second and what was saved up.
    assert!((900..=1250).contains(&slices), "{slices}");
}
