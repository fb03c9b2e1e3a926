//! The shutdown's states, step by step.

use std::cell::Cell;
use std::time::Duration;

use tidescale_policy::types::Timestamp;
use tidescale_proxy::shutdown::{DrainTimes, Shutdown, ShutdownStep};

const START: Timestamp = Timestamp::from_micros(10_000_000);

fn after_ms(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

#[test]
fn a_drain_lasts_as_long_as_the_longest_request_but_no_longer_than_sigkill_allows() {
    // The longest deadline of a request -> the attempts' deadline and the end, in ms after SIGTERM.
    for (longest_ms, attempt_ms, end_ms) in
        [(0, 400, 550), (1200, 1600, 1750), (60_000, 3400, 3550)]
    {
        let mut shutdown = Shutdown::new(Duration::from_millis(longest_ms));
        let times = DrainTimes {
            accept_until: after_ms(700),
            attempt_deadline: after_ms(attempt_ms),
            shutdown_deadline: after_ms(end_ms),
        };
        assert_eq!(shutdown.begin(START), Some(times), "{longest_ms}");
        // A second SIGTERM changes nothing.
        assert_eq!(shutdown.begin(after_ms(100)), None, "{longest_ms}");
    }
}

#[test]
fn a_proxy_ends_once_it_was_idle_twice_in_a_row_after_the_accept_period_or_at_its_deadline() {
    let longest = Duration::from_millis(1200);
    // When it is asked, whether nothing is pending, and what comes of it.
    let table: [&[(u64, bool, ShutdownStep)]; 4] = [
        &[
            (699, true, ShutdownStep::Continue),
            (700, true, ShutdownStep::AcceptOnceMore),
            (701, true, ShutdownStep::Finish),
            (702, false, ShutdownStep::Finish),
        ],
        &[
            (700, true, ShutdownStep::AcceptOnceMore),
            // Somebody has come meanwhile.
            (701, false, ShutdownStep::Continue),
            (720, true, ShutdownStep::AcceptOnceMore),
            (721, true, ShutdownStep::Finish),
        ],
        &[
            (1749, false, ShutdownStep::Continue),
            (1750, false, ShutdownStep::Finish),
        ],
        &[(1750, true, ShutdownStep::Finish)],
    ];
    for (index, steps) in table.into_iter().enumerate() {
        let mut shutdown = Shutdown::new(longest);
        assert_eq!(shutdown.step(START, || true), ShutdownStep::Continue);
        assert!(shutdown.begin(START).is_some());
        for (ms, is_idle, wanted) in steps {
            let step = shutdown.step(after_ms(*ms), || *is_idle);
            assert_eq!(step, *wanted, "{index}, {ms} ms");
        }
    }
}

#[test]
fn what_is_pending_is_asked_only_once_the_accept_period_is_over() {
    let asked = Cell::new(0);
    let ask = || {
        asked.set(asked.get() + 1);
        false
    };
    let mut shutdown = Shutdown::new(Duration::ZERO);
    shutdown.step(START, ask);
    shutdown.begin(START);
    shutdown.step(after_ms(699), ask);
    assert_eq!(asked.get(), 0);
    let mut shutdown = Shutdown::new(Duration::from_secs(1));
    shutdown.begin(START);
    shutdown.step(after_ms(700), ask);
    assert_eq!(asked.get(), 1);
}
