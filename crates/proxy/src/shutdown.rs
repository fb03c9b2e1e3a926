//! The states of a shutdown after SIGTERM: running, draining until a deadline, finished. No I/O.
//!
//! While it drains, the proxy accepts clients for a while, answers all requests, and exits once
//! nothing is pending or at the deadline. It never returns to an earlier state.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// Time after SIGTERM in which clients may still connect, and their requests are answered.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// SIGKILL follows after the accept period and the longest time limit of a request, of which at
/// most this counts.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(3000);
/// Responses have to be sent this long before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// When a drain ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// Clients may connect until then; the proxy does not exit before.
    pub accept_until: Timestamp,
    /// Attempts in flight end by then.
    pub attempt_deadline: Timestamp,
    /// The proxy exits then, even with requests pending.
    pub shutdown_deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Draining {
        times: DrainTimes,
        /// Nothing was pending at the last check.
        was_idle: bool,
    },
    Finished,
}

/// What the event loop has to do at the end of an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Continue.
    Continue,
    /// Nothing is pending: accept clients that have connected meanwhile, then check again.
    AcceptOnceMore,
    /// Exit.
    Finish,
}

/// The state of the shutdown.
#[derive(Debug)]
pub struct Shutdown {
    state: State,
    longest_request_deadline: Duration,
}

impl Shutdown {
    /// The proxy runs; `longest_request_deadline` is the longest time limit of a request.
    pub fn new(longest_request_deadline: Duration) -> Shutdown {
        Shutdown {
            state: State::Running,
            longest_request_deadline,
        }
    }

    /// Starts to drain; `None` if it drains already.
    pub fn begin(&mut self, now: Timestamp) -> Option<DrainTimes> {
        if self.state != State::Running {
            return None;
        }
        let request_wait = self.longest_request_deadline.min(MAX_REQUEST_WAIT);
        let attempt_deadline = now + request_wait + ACCEPT_PERIOD - KILL_MARGIN;
        let times = DrainTimes {
            accept_until: now + ACCEPT_PERIOD,
            attempt_deadline,
            shutdown_deadline: attempt_deadline + KILL_MARGIN / 2,
        };
        self.state = State::Draining {
            times,
            was_idle: false,
        };
        Some(times)
    }

    /// What to do now. `is_idle` returns whether nothing is pending; it is called only after the
    /// accept period.
    pub fn step(&mut self, now: Timestamp, is_idle: impl FnOnce() -> bool) -> ShutdownStep {
        let State::Draining { times, was_idle } = &mut self.state else {
            return match self.state {
                State::Finished => ShutdownStep::Finish,
                _ => ShutdownStep::Continue,
            };
        };
        if now < times.accept_until {
            return ShutdownStep::Continue;
        }
        // A client that does not read its response must not hold up the end.
        let is_overdue = now >= times.shutdown_deadline;
        let idle_before = std::mem::replace(was_idle, is_idle());
        match (*was_idle, idle_before) {
            _ if is_overdue => {}
            (true, true) => {}
            (true, false) => return ShutdownStep::AcceptOnceMore,
            (false, _) => return ShutdownStep::Continue,
        }
        self.state = State::Finished;
        ShutdownStep::Finish
    }
}
