//! Properties of the simulation: trials are deterministic for a seed, bad builds reduce the served
//! share, and the policy's votes roll bad builds back and let good ones be released.

use std::time::Duration;

use tidescale_policy::types::{HardwareClassIndex, RouteIndex};
use tidescale_simulation::build_behavior::{BuildBehavior, NON_IDEMPOTENT_ROUTE};
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::outcome::TrialOutcome;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

/// Stream for drawing a good build. No stream of the trial has the same number.
const BUILD_STREAM: u64 = 9;
/// An idempotent route.
const IDEMPOTENT_ROUTE: RouteIndex = RouteIndex::new(0);
/// Seconds from the trial's start until the rollout of the candidate starts.
const SECONDS_BEFORE_ROLLOUT: usize = 8;
/// In trials without votes, the candidate is released and serves at all endpoints from this second
/// on.
const RELEASED_FROM_SECOND: usize = 36;

/// Returns a trial of a small fleet in which votes take effect and there is no confounder.
fn small_fleet_case(seed: u64, build: BuildBehavior) -> TrialCase {
    TrialCase {
        seed,
        size: FleetSize::SMALL,
        profile: SettingsProfile::Standard,
        build,
        confounder: Confounder::None,
        rollback_trigger: RollbackTrigger::Votes,
    }
}

/// Runs a trial in which the platform ignores votes, so that the build is always released.
fn run_without_votes(build: BuildBehavior) -> TrialOutcome {
    run_trial(TrialCase {
        rollback_trigger: RollbackTrigger::Never,
        ..small_fleet_case(5, build)
    })
}

/// Returns a clearly bad build of each kind.
fn bad_builds() -> [BuildBehavior; 9] {
    [
        BuildBehavior::CostFactor(2.6),
        BuildBehavior::FailsOnRoute {
            route: IDEMPOTENT_ROUTE,
            probability: 0.3,
        },
        BuildBehavior::FailsOnRoute {
            route: NON_IDEMPOTENT_ROUTE,
            probability: 0.3,
        },
        BuildBehavior::FailsWhenBusy(0.3),
        BuildBehavior::FailsAfterUptime {
            uptime: Duration::from_secs(3),
            probability: 0.3,
        },
        BuildBehavior::WrongAnswers(0.3),
        BuildBehavior::NeverAnswers(0.2),
        BuildBehavior::SlowsFleet(2.6),
        BuildBehavior::FailsOnHardware {
            hardware_class: HardwareClassIndex::new(0),
            probability: 0.3,
        },
    ]
}

#[test]
fn same_seed_gives_the_same_trial_under_every_confounder() {
    for (seed, confounder) in Confounder::ALL.into_iter().enumerate() {
        let case = TrialCase {
            confounder,
            ..small_fleet_case(seed as u64, BuildBehavior::CostFactor(1.6))
        };

        let first = run_trial(case);
        let second = run_trial(case);

        assert_eq!(first, second, "{confounder:?}");
    }
}

#[test]
fn bad_build_serves_less_than_its_paired_good_build_once_it_is_released() {
    let good = run_without_votes(BuildBehavior::SAME_AS_BASELINE);
    let good_share = good.served_share(RELEASED_FROM_SECOND);
    assert!(good.released_after.is_some());
    assert!(good.rolled_back_after.is_none());
    assert!(good_share > 0.95, "{good_share}");

    for build in bad_builds() {
        let bad = run_without_votes(build);

        // Paired trials are identical until the rollout of the build starts.
        assert_eq!(
            bad.served_by_second[..SECONDS_BEFORE_ROLLOUT],
            good.served_by_second[..SECONDS_BEFORE_ROLLOUT],
            "{build:?}"
        );
        let bad_share = bad.served_share(RELEASED_FROM_SECOND);
        assert!(
            bad_share < good_share,
            "{build:?}: {bad_share} of {good_share}"
        );
    }
}

#[test]
fn build_with_many_errors_is_rolled_back_and_good_build_is_released() {
    const SEEDS: u64 = 6;
    let bad_build = BuildBehavior::FailsOnRoute {
        route: IDEMPOTENT_ROUTE,
        probability: 0.3,
    };

    let mut rolled_back = 0;
    let mut released = 0;
    for seed in 0..SEEDS {
        let bad = run_trial(small_fleet_case(seed, bad_build));
        rolled_back += u64::from(bad.rolled_back_after.is_some());

        let mut random = RandomStream::new(seed, BUILD_STREAM);
        let good_build = BuildBehavior::draw_good(&mut random);
        let good = run_trial(small_fleet_case(seed, good_build));
        released += u64::from(good.released_after.is_some());
    }

    assert_eq!(rolled_back, SEEDS);
    assert!(released >= 5, "{released}");
}
