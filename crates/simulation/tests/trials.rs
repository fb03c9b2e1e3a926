//! The model against itself: the same seed is the same trial, truths do what they say, words that are wrong show.

use tidescale_simulation::chance::Chance;
use tidescale_simulation::fleet::{Confounder, Truth};
use tidescale_simulation::trial::{Case, Heeds, Limits, Size, play};

fn case(seed: u64, truth: Truth) -> Case {
    Case {
        seed,
        size: Size::SMALL,
        limits: Limits::Standard,
        truth,
        confounder: Confounder::None,
        heeds: Heeds::Votes,
    }
}

#[test]
fn the_same_seed_is_the_same_trial() {
    for (seed, confounder) in Confounder::ALL.into_iter().enumerate() {
        let case = Case {
            confounder,
            ..case(seed as u64, Truth::Work(1.6))
        };
        assert_eq!(play(case), play(case), "{confounder:?}");
    }
}

#[test]
fn a_pair_asks_for_the_same_and_a_bad_truth_earns_less() {
    let nobody = |truth| {
        play(Case {
            heeds: Heeds::Nobody,
            ..case(5, truth)
        })
    };
    let good = nobody(Truth::Work(1.0));
    assert!(
        good.released.is_some() && good.back.is_none() && good.share(36) > 0.95,
        "{}",
        good.share(36)
    );
    let before = |o: &tidescale_simulation::trial::Outcome| o.earned[..8].to_vec();
    for truth in [
        Truth::Work(2.6),
        Truth::Errors {
            route: 0,
            share: 0.3,
        },
        Truth::Errors {
            route: 3,
            share: 0.3,
        },
        Truth::Busy(0.3),
        Truth::Later {
            after: 3.0,
            share: 0.3,
        },
        Truth::Wrong(0.3),
        Truth::Hangs(0.2),
        Truth::Shared(2.6),
        Truth::OnKind {
            kind: 0,
            share: 0.3,
        },
    ] {
        let bad = nobody(truth);
        assert_eq!(before(&bad), before(&good), "{truth:?}");
        assert!(
            bad.share(36) < good.share(36),
            "{truth:?}: {} of {}",
            bad.share(36),
            good.share(36)
        );
    }
}

#[test]
fn a_plainly_bad_build_goes_back_and_a_good_one_is_released() {
    let (mut back, mut released) = (0, 0);
    for seed in 0..6 {
        back += usize::from(
            play(case(
                seed,
                Truth::Errors {
                    route: 0,
                    share: 0.3,
                },
            ))
            .back
            .is_some(),
        );
        let mut chance = Chance::new(seed, 9);
        released += usize::from(
            play(case(seed, Truth::good(&mut chance)))
                .released
                .is_some(),
        );
    }
    assert!(back == 6 && released >= 5, "{back} {released}");
}
