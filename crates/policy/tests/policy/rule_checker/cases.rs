//! The tests: every combination of the limits, and policies whose settings differ from the
//! observer's, which the checker has to catch.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope, Settings};

use super::runner::HistoryRunner;
use super::violation::Rule;
use crate::harness::{CLIENT_DEADLINE, IDEMPOTENCY_KEY, IDEMPOTENT, millis, settings};

/// The number of limits that are varied.
const LIMIT_COUNT: usize = 9;
/// The number of combinations of the limits.
const COMBINATION_COUNT: usize = 1 << LIMIT_COUNT;
/// The number of threads that share the combinations.
const THREAD_COUNT: usize = 8;
/// The number of histories within which a mismatched setting must be detected.
const HISTORIES_PER_MISMATCH: u64 = 40;
/// The number of histories for each time for which endpoints keep idempotency keys.
const HISTORIES_PER_WINDOW: u64 = 40;

/// Returns settings in which each bit selects one of the two values of a limit.
fn settings_with_limits(bits: usize) -> Settings {
    let is_on = |bit: usize| bits >> bit & 1 == 1;
    Settings {
        hedging: is_on(0),
        cancel_attempts: is_on(1),
        health_checks: is_on(2),
        max_retry_after: if is_on(3) {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        },
        monotonic_key_builds: is_on(4),
        exposure_by_route: is_on(5),
        guarded_stages: u32::from(is_on(6)),
        automatic_stages: is_on(7),
        poll_endpoints: is_on(8),
        min_stage_time: millis(50),
        ..settings()
    }
}

#[test]
fn rules_hold_under_every_combination_of_the_limits() {
    std::thread::scope(|scope| {
        for first in 0..THREAD_COUNT {
            scope.spawn(move || {
                for bits in (first..COMBINATION_COUNT).step_by(THREAD_COUNT) {
                    let runner = HistoryRunner {
                        policy_settings: settings_with_limits(bits),
                        observer_settings: settings_with_limits(bits),
                    };
                    let violation = runner.run(bits as u64);
                    assert_eq!(violation, None, "violation with limits {bits:#011b}");
                }
            });
        }
    });
}

/// Guards against a duplicate execution by the client's retry after a rejection, with keys that all
/// endpoints share for less than the client's deadline, or until then.
#[test]
fn rules_hold_for_keys_shared_by_all_endpoints() {
    for window in [millis(300), CLIENT_DEADLINE] {
        for seed in 0..HISTORIES_PER_WINDOW {
            let mut settings = settings_with_limits(seed as usize);
            settings.routes[IDEMPOTENCY_KEY.get()].idempotency = Idempotency::IdempotencyKey {
                scope: KeyScope::Fleet,
                window,
            };
            let runner = HistoryRunner {
                policy_settings: settings.clone(),
                observer_settings: settings,
            };
            let violation = runner.run(seed);
            assert_eq!(violation, None, "seed {seed}, window {window:?}");
        }
    }
}

/// A settings change that only the observer is given, and the rule that the policy breaks as a
/// result.
struct SettingMismatch {
    rule: Rule,
    change: fn(&mut Settings),
}

const SETTING_MISMATCHES: [SettingMismatch; 11] = [
    SettingMismatch {
        rule: Rule::Hedging,
        change: |settings| settings.hedging = false,
    },
    SettingMismatch {
        rule: Rule::CancelAttempts,
        change: |settings| settings.cancel_attempts = false,
    },
    SettingMismatch {
        rule: Rule::HealthChecks,
        change: |settings| settings.health_checks = false,
    },
    SettingMismatch {
        rule: Rule::RetryAfter,
        change: |settings| settings.max_retry_after = Duration::ZERO,
    },
    SettingMismatch {
        rule: Rule::VoteKind,
        change: |settings| settings.automatic_stages = true,
    },
    SettingMismatch {
        rule: Rule::PollEndpoints,
        change: |settings| settings.poll_endpoints = false,
    },
    SettingMismatch {
        rule: Rule::MaxAttempts,
        change: |settings| settings.max_attempts = 1,
    },
    SettingMismatch {
        rule: Rule::GuardedStage,
        change: |settings| settings.guarded_stages = 3,
    },
    SettingMismatch {
        rule: Rule::TrafficCap,
        change: |settings| settings.exposure_by_route = true,
    },
    SettingMismatch {
        rule: Rule::Idempotency,
        change: |settings| {
            settings.routes[IDEMPOTENT.get()].idempotency = Idempotency::NotIdempotent;
        },
    },
    SettingMismatch {
        rule: Rule::SlowStart,
        change: |settings| settings.overload_multiple = 0.1,
    },
];

#[test]
fn policy_with_a_mismatched_setting_is_caught_by_the_rule_that_it_breaks() {
    for SettingMismatch { rule, change } in SETTING_MISMATCHES {
        let policy_settings = settings_with_limits(0b1_0000_1111);
        let mut observer_settings = policy_settings.clone();
        change(&mut observer_settings);
        let runner = HistoryRunner {
            policy_settings,
            observer_settings,
        };

        let violations = (0..HISTORIES_PER_MISMATCH).filter_map(|seed| runner.run(seed));
        let mut broken_rules = violations.map(|violation| violation.rule);

        assert!(
            broken_rules.any(|broken| broken == rule),
            "no violation of {rule:?}"
        );
    }
}
