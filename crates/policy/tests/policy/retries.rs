//! Retries and hedged requests.

use crate::harness::*;
use tidescale_policy::types::AttemptOutcome;

#[test]
fn no_second_attempt_starts_while_the_first_is_in_flight() {
    // A jam would double its own load, and a long request is as long elsewhere.
    let mut instance = Instance::new(settings());
    instance.step(0, |policy| {
        warm(policy, "m1", "z1", 1);
        request(policy, 1, 0, None, 2000 * MS, 1.0);
    });
    instance.step(0, |policy| warm(policy, "m2", "z1", 1));
    let got: Vec<_> = (0..40)
        .flat_map(|_| instance.step(10 * MS, |_| {}))
        .collect();
    assert_eq!(count(&got, "attempt"), 0, "{got:?}");
    let got = instance.step(10 * MS, |policy| {
        outcome(policy, 1, 0, AttemptOutcome::Failed, 410 * MS, false, None);
    });
    assert_eq!(got, ["attempt 1 m2"]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn an_attempt_that_may_be_lost_is_hedged_and_the_first_answer_counts() {
    // route, time since the first attempt, requests rejected under load before -> what goes out, and what an answer of the second cancels
    let table = [
        (0, 251, 0, vec!["attempt 900 m2"], vec!["cancel 900 0"]),
        (0, 240, 0, vec![], vec![]),
        (0, 251, 20, vec!["attempt 900 m2"], vec!["cancel 900 0"]),
        (0, 251, 60, vec![], vec![]),
        // Its repeat would have to come within 300 ms, in the same zone.
        (1, 251, 0, vec!["attempt 900 m2"], vec!["cancel 900 0"]),
        (1, 310, 0, vec![], vec![]),
        (2, 251, 0, vec![], vec![]),
    ];
    for (route, passed, rejected, sent, cancelled) in table {
        let mut instance = Instance::new(settings());
        instance.step(0, |policy| warm(policy, "m1", "z1", 1));
        for id in 0..120 {
            instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            });
            instance.step(20 * MS, |policy| {
                outcome(
                    policy,
                    id,
                    0,
                    AttemptOutcome::Succeeded,
                    20 * MS,
                    true,
                    None,
                );
            });
        }
        // Requests rejected under load are slow responses, whatever time they took.
        for id in 200..200 + rejected {
            let sent = instance.step(10 * MS, |policy| {
                request(policy, id, 0, None, 900 * MS, 1.0);
            });
            assert_eq!(sent, [format!("attempt {id} m1")]);
            instance.step(0, |policy| {
                outcome(policy, id, 0, AttemptOutcome::Overloaded, 0, true, None);
            });
        }
        let [took, _, answers] = route_sums(&mut instance.policy, 0);
        let usual = took / answers;
        assert_eq!(
            count(
                &instance.step(10 * MS, |policy| request(
                    policy,
                    900,
                    route,
                    None,
                    900 * MS,
                    1.0
                )),
                "attempt 900 m1"
            ),
            1
        );
        instance.step(0, |policy| warm(policy, "m2", "z1", 1));
        let got = instance.step(passed * MS, |_| {});
        let tries: Vec<_> = got
            .iter()
            .filter(|l| l.starts_with("attempt") || l.starts_with("reject"))
            .collect();
        assert_eq!(
            tries,
            sent.iter().collect::<Vec<_>>(),
            "{route} {passed} {rejected}"
        );
        if !sent.is_empty() {
            let got = instance.step(20 * MS, |policy| {
                outcome(
                    policy,
                    900,
                    1,
                    AttemptOutcome::Succeeded,
                    20 * MS,
                    true,
                    None,
                );
            });
            let got: Vec<_> = got.iter().filter(|l| l.starts_with("cancel")).collect();
            assert_eq!(got, cancelled.iter().collect::<Vec<_>>(), "{route}");
            // Its time counts, or ever less would seem usual.
            let [took, _, n] = route_sums(&mut instance.policy, 0);
            assert!(route > 0 || took / n > usual * 1.01, "{usual} {}", took / n);
        }
    }
}
