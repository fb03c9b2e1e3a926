//! Weights of records by age, and what is restored of them.

mod common;

use std::time::Duration;

use common::{
    OBSERVED_AT, at, endpoint_record, fleet_baseline_record, outcome_record, process, route_record,
    weighted_sum, zones_record,
};
use tidescale_policy::snapshot::{ByZone, RouteLatency};
use tidescale_policy::statistics::WeightedSum;
use tidescale_policy::types::{BuildNumber, Timestamp};
use tidescale_snapshot::expiry::{
    self, Lifetime, MAX_BASELINE_RESPONSES, MAX_SLOWDOWN_RESPONSES, ProcessMatch, RestoredOutcomes,
    age, weight,
};
use tidescale_snapshot::records::{
    EndpointRecord, OutcomeRecord, Process, Record, RouteRecord, ZonesRecord,
};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 3600);
const NOW: Timestamp = OBSERVED_AT;
const MINUTES_UNTIL_ALL_EXPIRED: u32 = 40 * 24 * 60;

#[test]
fn weight_of_each_kind_of_record_never_rises_and_ends_at_zero() {
    for record in common::snapshot_of_all_kinds().records {
        let observed_at = record.observed_at();
        let kind = record.kind_name();
        let mut last_weight = 1.0;
        for minutes in 0..MINUTES_UNTIL_ALL_EXPIRED {
            let weight = weight(&record, observed_at + minutes * MINUTE);
            assert!(
                (0.0..=last_weight).contains(&weight),
                "{kind} after {minutes} min"
            );
            last_weight = weight;
        }
        assert_eq!(last_weight, 0.0, "{kind} never expires");
        let expires_at = observed_at + Lifetime::of(&record).max_age;
        assert_eq!(weight(&record, expires_at), 0.0, "{kind}");
    }
}

#[test]
fn wrong_clock_lets_no_record_count_for_more() {
    // Time of observation and expected age at `NOW`.
    let cases = [
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
    for (observed_at, expected_age) in cases {
        let record = Record::Endpoint(EndpointRecord {
            observed_at,
            ..endpoint_record()
        });

        let has_weight = weight(&record, NOW) > 0.0;

        assert_eq!(age(observed_at, NOW), expected_age, "{observed_at:?}");
        let has_not_expired = expected_age.is_some_and(|age| age < 80 * SECOND);
        assert_eq!(has_weight, has_not_expired, "{observed_at:?}");
    }
}

/// A process listed under the name of the recorded one.
struct ListedProcess {
    difference: &'static str,
    listed: Option<Process>,
    expected: ProcessMatch,
}

fn listed_processes() -> Vec<ListedProcess> {
    vec![
        ListedProcess {
            difference: "none",
            listed: Some(process()),
            expected: ProcessMatch::Same,
        },
        ListedProcess {
            difference: "build",
            listed: Some(Process {
                build: BuildNumber::new(8),
                ..process()
            }),
            expected: ProcessMatch::Different,
        },
        ListedProcess {
            difference: "start",
            listed: Some(Process {
                started_at: at(6),
                ..process()
            }),
            expected: ProcessMatch::Different,
        },
        ListedProcess {
            difference: "address",
            listed: Some(Process {
                address: "127.0.0.2:5432".into(),
                ..process()
            }),
            expected: ProcessMatch::Different,
        },
        ListedProcess {
            difference: "not listed",
            listed: None,
            expected: ProcessMatch::Different,
        },
    ]
}

#[test]
fn endpoint_is_restored_only_if_its_process_is_still_listed() {
    for case in listed_processes() {
        let process_match = ProcessMatch::compare(&process(), case.listed.as_ref());
        let restored = expiry::restore_endpoint(&endpoint_record(), NOW, process_match);

        assert_eq!(process_match, case.expected, "{}", case.difference);
        let is_same = case.expected == ProcessMatch::Same;
        assert_eq!(restored.is_some(), is_same, "{}", case.difference);
    }
}

/// An ejected endpoint with a mean slowdown of 5.
struct SlowEndpoint {
    responses: f64,
    age: Duration,
    expected_responses: f64,
    expected_ejected: bool,
}

const SLOW_ENDPOINTS: [SlowEndpoint; 4] = [
    SlowEndpoint {
        responses: 2.0,
        age: Duration::ZERO,
        expected_responses: 2.0,
        expected_ejected: true,
    },
    SlowEndpoint {
        responses: 400.0,
        age: Duration::ZERO,
        expected_responses: MAX_SLOWDOWN_RESPONSES,
        expected_ejected: true,
    },
    SlowEndpoint {
        responses: 400.0,
        age: Duration::from_secs(10),
        expected_responses: 2.0,
        expected_ejected: true,
    },
    SlowEndpoint {
        responses: 400.0,
        age: Duration::from_secs(11),
        expected_responses: 1.866,
        expected_ejected: false,
    },
];

#[test]
fn restored_slowdown_is_limited_and_ejection_is_restored_for_one_half_life() {
    for case in SLOW_ENDPOINTS {
        let record = EndpointRecord {
            observed_at: NOW - case.age,
            slowdown: weighted_sum(5.0 * case.responses, case.responses),
            ..endpoint_record()
        };

        let restored = expiry::restore_endpoint(&record, NOW, ProcessMatch::Same).unwrap();

        let WeightedSum { sum, weight } = restored.slowdown.unwrap();
        let name = format!("{} responses after {:?}", case.responses, case.age);
        assert!(
            (weight - case.expected_responses).abs() < 0.01,
            "{name}: {weight}"
        );
        assert!((sum / weight - 5.0).abs() < 1e-9, "{name}: {sum}");
        assert_eq!(restored.ejected, case.expected_ejected, "{name}");
    }
}

#[test]
fn expired_endpoint_is_not_restored() {
    let expired = EndpointRecord {
        observed_at: NOW - 80 * SECOND,
        ..endpoint_record()
    };

    let restored = expiry::restore_endpoint(&expired, NOW, ProcessMatch::Same);

    assert_eq!(restored, None);
}

#[test]
fn implausible_slowdown_is_not_restored() {
    let implausible = [
        weighted_sum(f64::NAN, 4.0),
        weighted_sum(f64::INFINITY, 4.0),
        weighted_sum(-1.0, 4.0),
        weighted_sum(1.0, 0.0),
        weighted_sum(1.0, -2.0),
    ];
    for slowdown in implausible {
        let record = EndpointRecord {
            slowdown,
            ..endpoint_record()
        };

        let restored = expiry::restore_endpoint(&record, NOW, ProcessMatch::Same).unwrap();

        assert_eq!(restored.slowdown, None, "{slowdown:?}");
    }
}

#[test]
fn implausible_outcomes_are_not_restored() {
    let restore = |outcomes: Vec<f64>, failures: Vec<f64>| {
        let record = OutcomeRecord {
            outcomes,
            failures,
            ..outcome_record()
        };
        expiry::restore_outcomes(&record, NOW, ProcessMatch::Same)
    };

    assert!(restore(vec![4.0], vec![1.0]).is_some());
    assert!(restore(vec![4.0], vec![9.0]).is_none());
    assert!(restore(vec![f64::NAN], vec![0.0]).is_none());
    assert!(restore(vec![4.0], vec![]).is_none());
}

#[test]
fn restored_route_baseline_is_limited() {
    let record = RouteRecord {
        baseline: RouteLatency {
            latency: 9e6,
            cost: 1e4,
            responses: 1e4,
        },
        ..route_record()
    };

    let restored = expiry::restore_route(&record, NOW).unwrap();

    assert_eq!(restored.responses, MAX_BASELINE_RESPONSES);
}

#[test]
fn zones_are_restored_with_half_their_sums_after_one_half_life_and_not_once_expired() {
    let record: ZonesRecord = zones_record();

    let after_half_life = expiry::restore_zones(&record, NOW + MINUTE);
    let after_expiry = expiry::restore_zones(&record, NOW + 8 * MINUTE);

    let expected = ByZone {
        own: weighted_sum(0.5, 1.0),
        other: weighted_sum(1.5, 2.0),
    };
    assert_eq!(after_half_life, Some(expected));
    assert_eq!(after_expiry, None);
}

#[test]
fn fleet_baseline_is_restored_with_half_its_counts_after_one_half_life_and_not_once_expired() {
    let record = fleet_baseline_record();

    let after_half_life = expiry::restore_fleet_baseline(&record, NOW + MINUTE).unwrap();
    let after_expiry = expiry::restore_fleet_baseline(&record, NOW + 8 * MINUTE);

    assert_eq!(after_half_life.taken_at, OBSERVED_AT);
    assert_eq!(after_half_life.outcomes, 60.0);
    assert_eq!(after_half_life.failures, 1.5);
    assert_eq!(after_half_life.dispersion, record.dispersion);
    assert_eq!(after_half_life.endpoints, 9);
    assert_eq!(after_half_life.attempts_per_second, 80.0);
    assert_eq!(after_expiry, None);
}

#[test]
fn fleet_baseline_from_a_clock_slightly_ahead_is_restored_as_taken_now() {
    let record = fleet_baseline_record();
    let now = OBSERVED_AT - SECOND;

    let restored = expiry::restore_fleet_baseline(&record, now).unwrap();

    assert_eq!(restored.taken_at, now);
}

#[test]
fn outcomes_restored_ten_times_decay_as_from_their_first_observation() {
    let observed = OutcomeRecord {
        outcomes: vec![40.0],
        failures: vec![10.0],
        ..outcome_record()
    };
    let mut stored = observed.clone();

    // Ten restarts at intervals of one second, each of which stores what it has restored.
    for restarts in 1..=10 {
        let now = NOW + restarts * SECOND;
        let RestoredOutcomes { outcomes, failures } =
            expiry::restore_outcomes(&stored, now, ProcessMatch::Same).unwrap();
        stored = OutcomeRecord {
            observed_at: now,
            outcomes,
            failures,
            ..stored
        };
    }

    let once = expiry::restore_outcomes(&observed, NOW + 10 * SECOND, ProcessMatch::Same).unwrap();
    let (ten_times, once) = (stored.outcomes[0], once.outcomes[0]);
    assert!((ten_times - once).abs() < 1e-6, "{ten_times} {once}");
}
