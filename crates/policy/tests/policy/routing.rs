//! Choice of endpoint.

use crate::harness::*;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::AttemptOutcome;

#[test]
fn the_own_zone_is_preferred_while_its_answers_take_no_longer() {
    // How long answers take in the own zone, in the other -> at least, at most so many of 300 attempts at home.
    for (own, other, least, most) in [(10, 10, 190, 300), (40, 10, 0, 160)] {
        let mut instance = Instance::new(Settings {
            cross_zone_price: 0.02,
            ..settings()
        });
        instance.step(0, |policy| {
            ["f1", "f2", "f3", "f4"]
                .into_iter()
                .for_each(|m| warm(policy, m, "z2", 1));
        });
        let mut home = 0;
        for id in 0..330 {
            if id == 30 {
                instance.step(0, |policy| {
                    ["h1", "h2"]
                        .into_iter()
                        .for_each(|m| warm(policy, m, "z1", 1));
                });
            }
            let got = instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            });
            let here = got.iter().any(|l| l.contains(" h"));
            home += usize::from(here);
            let took = if here { own } else { other } * MS;
            instance.step(took, |policy| {
                outcome(policy, id, 0, AttemptOutcome::Succeeded, took, true, None);
            });
        }
        assert!((least..=most).contains(&home), "{own} {other}: {home}");
    }
}

#[test]
fn an_endpoint_whose_attempts_time_out_is_avoided() {
    let mut instance = Instance::new(settings());
    instance.step(0, |policy| {
        ["m1", "m2"]
            .into_iter()
            .for_each(|m| warm(policy, m, "z1", 1));
    });
    let mut on_first = 0;
    for id in 0..300 {
        let sent = instance.step(10 * MS, |policy| {
            request(policy, id, 0, None, 900 * MS, 1.0);
        });
        let first = count(&sent, &format!("attempt {id} m1")) > 0;
        on_first += usize::from(first);
        // It answers health checks and one request in three.
        let (end, took) = if first && id % 3 > 0 {
            (AttemptOutcome::TimedOut, 900)
        } else {
            (AttemptOutcome::Succeeded, 10)
        };
        instance.step(10 * MS, |policy| {
            outcome(policy, id, 0, end, took * MS, true, None);
        });
    }
    assert!(on_first < 100, "{on_first}");
}
