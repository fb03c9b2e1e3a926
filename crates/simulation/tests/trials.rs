//! The model against itself: the same seed is the same trial, builds behave as they say, and bad ones show.

use tidescale_simulation::build_behavior::BuildBehavior;
use tidescale_simulation::case::{FleetSize, RollbackTrigger, SettingsProfile, TrialCase};
use tidescale_simulation::confounder::Confounder;
use tidescale_simulation::outcome::TrialOutcome;
use tidescale_simulation::random_stream::RandomStream;
use tidescale_simulation::trial::run_trial;

/// Tells the draws of a good build apart from those of its trial.
const BUILD_STREAM: u64 = 9;

fn case(seed: u64, build: BuildBehavior) -> TrialCase {
    TrialCase {
        seed,
        size: FleetSize::SMALL,
        profile: SettingsProfile::Standard,
        build,
        confounder: Confounder::None,
        rollback_trigger: RollbackTrigger::Votes,
    }
}

#[test]
fn the_same_seed_gives_the_same_trial() {
    for (seed, confounder) in Confounder::ALL.into_iter().enumerate() {
        let case = TrialCase {
            confounder,
            ..case(seed as u64, BuildBehavior::CostFactor(1.6))
        };
        assert_eq!(run_trial(case), run_trial(case), "{confounder:?}");
    }
}

#[test]
fn a_pair_is_offered_the_same_and_a_bad_build_serves_less() {
    let run_without_votes = |build| {
        run_trial(TrialCase {
            rollback_trigger: RollbackTrigger::Never,
            ..case(5, build)
        })
    };
    let good = run_without_votes(BuildBehavior::SAME_AS_BASELINE);
    assert!(
        good.released_after.is_some()
            && good.rolled_back_after.is_none()
            && good.served_share(36) > 0.95,
        "{}",
        good.served_share(36)
    );
    let before_offer = |outcome: &TrialOutcome| outcome.served_by_second[..8].to_vec();
    for build in [
        BuildBehavior::CostFactor(2.6),
        BuildBehavior::FailsOnRoute {
            route: 0,
            probability: 0.3,
        },
        BuildBehavior::FailsOnRoute {
            route: 3,
            probability: 0.3,
        },
        BuildBehavior::FailsWhenBusy(0.3),
        BuildBehavior::FailsAfterUptime {
            after_seconds: 3.0,
            probability: 0.3,
        },
        BuildBehavior::WrongAnswers(0.3),
        BuildBehavior::NeverAnswers(0.2),
        BuildBehavior::SlowsFleet(2.6),
        BuildBehavior::FailsOnHardware {
            hardware_class: 0,
            probability: 0.3,
        },
    ] {
        let bad = run_without_votes(build);
        assert_eq!(before_offer(&bad), before_offer(&good), "{build:?}");
        assert!(
            bad.served_share(36) < good.served_share(36),
            "{build:?}: {} of {}",
            bad.served_share(36),
            good.served_share(36)
        );
    }
}

#[test]
fn a_plainly_bad_build_is_rolled_back_and_a_good_one_is_released() {
    let bad_build = BuildBehavior::FailsOnRoute {
        route: 0,
        probability: 0.3,
    };
    let mut rolled_back = 0;
    let mut released = 0;
    for seed in 0..6 {
        let bad = run_trial(case(seed, bad_build));
        rolled_back += usize::from(bad.rolled_back_after.is_some());
        let mut random = RandomStream::new(seed, BUILD_STREAM);
        let good = run_trial(case(seed, BuildBehavior::draw_good(&mut random)));
        released += usize::from(good.released_after.is_some());
    }
    assert!(
        rolled_back == 6 && released >= 5,
        "{rolled_back} {released}"
    );
}
