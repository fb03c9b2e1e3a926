//! The test cases: every combination of the limits, and policies that keep to other settings.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, Settings};

use super::player::Play;
use super::violation::Rule;
use crate::harness::{IDEMPOTENT, millis, settings};

/// The number of limits that are switched on and off.
const LIMITS: usize = 9;
/// The number of combinations of the limits.
const COMBINATIONS: usize = 1 << LIMITS;
/// Threads among which the combinations are divided.
const THREADS: usize = 8;
/// Histories in which a policy with other settings must be caught.
const HISTORIES: u64 = 40;

/// The settings whose limits are switched on as the bits say.
fn combination(bits: usize) -> Settings {
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
        for first in 0..THREADS {
            scope.spawn(move || {
                for bits in (first..COMBINATIONS).step_by(THREADS) {
                    let play = Play {
                        policy_settings: combination(bits),
                        observer_settings: combination(bits),
                    };
                    let violation = play.run(bits as u64);
                    assert_eq!(violation, None, "limits {bits:#011b}");
                }
            });
        }
    });
}

/// A setting that the policy does not know, and the rule that it has to break.
struct UnknownSetting {
    rule: Rule,
    change: fn(&mut Settings),
}

const UNKNOWN_SETTINGS: [UnknownSetting; 11] = [
    UnknownSetting {
        rule: Rule::Hedging,
        change: |settings| settings.hedging = false,
    },
    UnknownSetting {
        rule: Rule::CancelAttempts,
        change: |settings| settings.cancel_attempts = false,
    },
    UnknownSetting {
        rule: Rule::HealthChecks,
        change: |settings| settings.health_checks = false,
    },
    UnknownSetting {
        rule: Rule::RetryAfter,
        change: |settings| settings.max_retry_after = Duration::ZERO,
    },
    UnknownSetting {
        rule: Rule::VoteKind,
        change: |settings| settings.automatic_stages = true,
    },
    UnknownSetting {
        rule: Rule::PollEndpoints,
        change: |settings| settings.poll_endpoints = false,
    },
    UnknownSetting {
        rule: Rule::MaxAttempts,
        change: |settings| settings.max_attempts = 1,
    },
    UnknownSetting {
        rule: Rule::GuardedStage,
        change: |settings| settings.guarded_stages = 3,
    },
    UnknownSetting {
        rule: Rule::TrafficCap,
        change: |settings| settings.exposure_by_route = true,
    },
    UnknownSetting {
        rule: Rule::Idempotency,
        change: |settings| {
            settings.routes[IDEMPOTENT.get()].idempotency = Idempotency::NotIdempotent;
        },
    },
    UnknownSetting {
        rule: Rule::SlowStart,
        change: |settings| settings.overload_multiple = 0.1,
    },
];

#[test]
fn policy_that_does_not_know_a_setting_is_caught_by_the_rule_that_it_breaks() {
    for UnknownSetting { rule, change } in UNKNOWN_SETTINGS {
        let policy_settings = combination(0b1_0000_1111);
        let mut observer_settings = policy_settings.clone();
        change(&mut observer_settings);
        let play = Play {
            policy_settings,
            observer_settings,
        };

        let violations = (0..HISTORIES).filter_map(|seed| play.run(seed));
        let mut broken_rules = violations.map(|violation| violation.rule);

        assert!(broken_rules.any(|broken| broken == rule), "{rule:?}");
    }
}
