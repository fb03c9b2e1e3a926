//! What records count for by their age.

mod common;

use std::time::Duration;

use common::{at, endpoint_record, process};
use tidescale_policy::types::Timestamp;
use tidescale_snapshot::expiry::{
    self, Lifetime, MAX_BASELINE_RESPONSES, MAX_SLOWDOWN_RESPONSES, ProcessMatch, age, weight,
};
use tidescale_snapshot::records::{OutcomeRecord, Process, Record, RouteRecord};

const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(24 * 3600);
const NOW: Timestamp = Timestamp::from_micros(1_700_000_000 * 1_000_000);

#[test]
fn no_record_grows_stronger_and_none_counts_for_ever() {
    for record in common::snapshot_of_all_kinds().records {
        let observed_at = record.observed_at();
        let mut last = 1.0;
        for minutes in 0..40 * 24 * 60 {
            let now = observed_at + Duration::from_secs(minutes * 60);
            let weight = weight(&record, now);
            assert!(
                (0.0..=last).contains(&weight),
                "{} {:?} after {minutes} min",
                record.kind_name(),
                record.subject()
            );
            last = weight;
        }
        assert_eq!(last, 0.0, "{} is immortal", record.kind_name());
        let max_age = Lifetime::of(&record).max_age;
        assert!(weight(&record, observed_at + max_age) == 0.0);
    }
}

#[test]
fn a_clock_that_goes_wrong_makes_no_record_count_more() {
    // When it was observed against now -> its age.
    let table = [
        (NOW, Some(Duration::ZERO)),
        (
            NOW - Duration::from_micros(7),
            Some(Duration::from_micros(7)),
        ),
        (NOW + SECOND, Some(Duration::ZERO)),
        (NOW + 3 * SECOND, None),
        (NOW + DAY, None),
        (Timestamp::MAX, None),
        (Timestamp::ZERO, Some(NOW - Timestamp::ZERO)),
        (NOW - DAY, Some(DAY)),
    ];
    for (observed_at, expected) in table {
        assert_eq!(age(observed_at, NOW), expected, "{observed_at:?}");
        let record = Record::Endpoint(endpoint_record(observed_at, [8.0, 4.0], true));
        let counts = weight(&record, NOW) > 0.0;
        assert_eq!(
            counts,
            expected.is_some_and(|age| age < 80 * SECOND),
            "{observed_at:?}"
        );
    }
}

#[test]
fn only_the_same_process_answers_for_what_it_did() {
    let recorded = process("m1", 7, 5);
    let other = |change: fn(&mut Process)| {
        let mut process = recorded.clone();
        change(&mut process);
        process
    };
    let table = [
        (Some(recorded.clone()), ProcessMatch::Same),
        (
            Some(other(|process| process.build = 8)),
            ProcessMatch::Different,
        ),
        (
            Some(other(|process| process.started_at = at(6))),
            ProcessMatch::Different,
        ),
        (
            Some(other(|process| process.address = "127.0.0.2:5432".into())),
            ProcessMatch::Different,
        ),
        (None, ProcessMatch::Different),
    ];
    for (listed, expected) in table {
        let process_match = ProcessMatch::compare(&recorded, listed.as_ref());
        assert_eq!(process_match, expected);
        let record = endpoint_record(NOW, [8.0, 4.0], true);
        let restored = expiry::restore_endpoint(&record, NOW, process_match);
        assert_eq!(restored.is_some(), expected == ProcessMatch::Same);
    }
}

#[test]
fn an_endpoints_slowdown_is_bounded_and_its_ejection_soon_forgotten() {
    // Responses seen, age in seconds -> responses restored, still ejected.
    let table = [
        (2.0, 0, 2.0, true),
        (400.0, 0, MAX_SLOWDOWN_RESPONSES, true),
        (400.0, 10, 2.0, true),
        (400.0, 11, 1.866, false),
    ];
    for (responses, passed, expected, ejected) in table {
        let record = endpoint_record(NOW - passed * SECOND, [5.0 * responses, responses], true);
        let restored = expiry::restore_endpoint(&record, NOW, ProcessMatch::Same).unwrap();
        let [sum, count] = restored.slowdown.unwrap();
        assert!(
            (count - expected).abs() < 0.01 && (sum / count - 5.0).abs() < 1e-9,
            "{responses} {passed}: {count}"
        );
        assert_eq!(restored.ejected, ejected, "{passed}");
    }
    let expired = endpoint_record(NOW - 80 * SECOND, [8.0, 4.0], true);
    assert_eq!(
        expiry::restore_endpoint(&expired, NOW, ProcessMatch::Same),
        None
    );
}

#[test]
fn what_makes_no_sense_restores_nothing() {
    for slowdown in [
        [f64::NAN, 4.0],
        [f64::INFINITY, 4.0],
        [-1.0, 4.0],
        [1.0, 0.0],
        [1.0, -2.0],
    ] {
        let record = endpoint_record(NOW, slowdown, false);
        let restored = expiry::restore_endpoint(&record, NOW, ProcessMatch::Same).unwrap();
        assert_eq!(restored.slowdown, None, "{slowdown:?}");
    }
    let restore_outcomes = |outcomes: Vec<f64>, failures: Vec<f64>| {
        let record = OutcomeRecord {
            observed_at: NOW,
            process: process("m1", 7, 5),
            build: 7,
            outcomes,
            failures,
        };
        expiry::restore_outcomes(&record, NOW, ProcessMatch::Same)
    };
    assert!(restore_outcomes(vec![4.0], vec![1.0]).is_some());
    for (outcomes, failures) in [
        (vec![4.0], vec![9.0]),
        (vec![f64::NAN], vec![0.0]),
        (vec![4.0], vec![]),
    ] {
        assert!(restore_outcomes(outcomes, failures).is_none());
    }
    let route = RouteRecord {
        observed_at: NOW,
        route: "look".into(),
        baseline: [9e6, 1e4, 1e4],
    };
    assert_eq!(
        expiry::restore_route(&route, NOW).unwrap()[2],
        MAX_BASELINE_RESPONSES
    );
}

#[test]
fn what_is_restored_ten_times_ages_from_when_it_was_observed() {
    // Ten restarts a second apart, each writing what it read: the tenth counts no more than one read ten seconds on.
    let observed = OutcomeRecord {
        observed_at: NOW,
        process: process("m1", 7, 5),
        build: 7,
        outcomes: vec![40.0],
        failures: vec![10.0],
    };
    let mut stored = observed.clone();
    for restarts in 1..=10 {
        let now = NOW + restarts * SECOND;
        let restored = expiry::restore_outcomes(&stored, now, ProcessMatch::Same).unwrap();
        stored = OutcomeRecord {
            observed_at: now,
            outcomes: restored.outcomes,
            failures: restored.failures,
            ..stored
        };
    }
    let once = expiry::restore_outcomes(&observed, NOW + 10 * SECOND, ProcessMatch::Same).unwrap();
    assert!(
        (stored.outcomes[0] - once.outcomes[0]).abs() < 1e-6,
        "{} {}",
        stored.outcomes[0],
        once.outcomes[0]
    );
}
