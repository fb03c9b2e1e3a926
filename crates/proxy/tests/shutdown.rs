//! The deadlines and steps of a graceful shutdown after SIGTERM.

use std::cell::Cell;
use std::time::Duration;

use tidescale_policy::types::Timestamp;
use tidescale_proxy::shutdown::{DrainTimes, Shutdown, ShutdownStep};

/// When SIGTERM is received.
const START: Timestamp = Timestamp::from_micros(10_000_000);

fn after_ms(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

struct DrainCase {
    /// The longest time limit of any request.
    longest_request_ms: u64,
    /// The expected deadline of attempts, counted from SIGTERM.
    attempt_deadline_ms: u64,
    /// The expected deadline of the shutdown, counted from SIGTERM.
    shutdown_deadline_ms: u64,
}

const DRAIN_CASES: [DrainCase; 3] = [
    DrainCase {
        longest_request_ms: 0,
        attempt_deadline_ms: 400,
        shutdown_deadline_ms: 550,
    },
    DrainCase {
        longest_request_ms: 1200,
        attempt_deadline_ms: 1600,
        shutdown_deadline_ms: 1750,
    },
    DrainCase {
        longest_request_ms: 60_000,
        attempt_deadline_ms: 3400,
        shutdown_deadline_ms: 3550,
    },
];

#[test]
fn drain_lasts_as_long_as_the_longest_request_up_to_the_time_before_sigkill() {
    for case in DRAIN_CASES {
        let longest_request = Duration::from_millis(case.longest_request_ms);
        let mut shutdown = Shutdown::new(longest_request);

        let times = shutdown.begin(START);
        let times_of_second_sigterm = shutdown.begin(after_ms(100));

        let expected = DrainTimes {
            accept_until: after_ms(700),
            attempt_deadline: after_ms(case.attempt_deadline_ms),
            shutdown_deadline: after_ms(case.shutdown_deadline_ms),
        };
        assert_eq!(times, Some(expected), "{longest_request:?}");
        assert_eq!(times_of_second_sigterm, None, "{longest_request:?}");
    }
}

/// The expected step at a time after SIGTERM.
struct StepCase {
    at_ms: u64,
    is_idle: bool,
    step: ShutdownStep,
}

const fn idle(at_ms: u64, step: ShutdownStep) -> StepCase {
    StepCase {
        at_ms,
        is_idle: true,
        step,
    }
}

const fn busy(at_ms: u64, step: ShutdownStep) -> StepCase {
    StepCase {
        at_ms,
        is_idle: false,
        step,
    }
}

/// Checks the steps of one shutdown of a proxy whose longest request time limit is 1.2 s.
fn check_steps(name: &str, cases: &[StepCase]) {
    let mut shutdown = Shutdown::new(Duration::from_millis(1200));
    assert_eq!(shutdown.step(START, || true), ShutdownStep::Continue);
    assert!(shutdown.begin(START).is_some());

    for case in cases {
        let step = shutdown.step(after_ms(case.at_ms), || case.is_idle);
        assert_eq!(step, case.step, "{name}, {} ms", case.at_ms);
    }
}

#[test]
fn proxy_exits_once_idle_at_two_checks_in_a_row_after_the_accept_period_or_at_its_deadline() {
    let scenarios: [(&str, &[StepCase]); 4] = [
        (
            "idle from the start",
            &[
                idle(699, ShutdownStep::Continue),
                idle(700, ShutdownStep::AcceptOnceMore),
                idle(701, ShutdownStep::Finish),
                busy(702, ShutdownStep::Finish),
            ],
        ),
        (
            "a client connects between two checks",
            &[
                idle(700, ShutdownStep::AcceptOnceMore),
                busy(701, ShutdownStep::Continue),
                idle(720, ShutdownStep::AcceptOnceMore),
                idle(721, ShutdownStep::Finish),
            ],
        ),
        (
            "busy until the deadline",
            &[
                busy(1749, ShutdownStep::Continue),
                busy(1750, ShutdownStep::Finish),
            ],
        ),
        (
            "first idle at the deadline",
            &[idle(1750, ShutdownStep::Finish)],
        ),
    ];
    for (name, cases) in scenarios {
        check_steps(name, cases);
    }
}

#[test]
fn pending_work_is_checked_only_after_the_accept_period() {
    let checks = Cell::new(0);
    let check_idle = || {
        checks.set(checks.get() + 1);
        false
    };

    let mut shutdown = Shutdown::new(Duration::ZERO);
    shutdown.step(START, check_idle);
    shutdown.begin(START);
    shutdown.step(after_ms(699), check_idle);
    assert_eq!(checks.get(), 0);

    let mut shutdown = Shutdown::new(Duration::from_secs(1));
    shutdown.begin(START);
    shutdown.step(after_ms(700), check_idle);
    assert_eq!(checks.get(), 1);
}
