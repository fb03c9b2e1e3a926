//! SIGTERM as a state machine without I/O: running, draining until a deadline, finished.
//!
//! After SIGTERM the proxy still accepts clients for a while, answers all that they ask, and ends once nothing is
//! pending, or at the deadline. It never goes back to an earlier state.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// For so long after SIGTERM clients may still connect, and what they ask is still answered.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// SIGKILL comes after the longest request deadline, but no later than this and the accept period after SIGTERM.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(3000);
/// Responses must be out so long before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// When a drain ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// The proxy ends no earlier: clients may still connect until then.
    pub accept_until: Timestamp,
    /// Attempts in flight end by then.
    pub attempt_deadline: Timestamp,
    /// The proxy ends then, whatever is still pending.
    pub shutdown_deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Draining {
        times: DrainTimes,
        /// Nothing was pending when that was last checked.
        was_idle: bool,
    },
    Finished,
}

/// What the event loop has to do about the shutdown at the end of an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Go on.
    Continue,
    /// Nothing is pending: accept whoever has connected meanwhile, then check again.
    AcceptOnceMore,
    /// End the process.
    Finish,
}

/// Where the proxy stands between SIGTERM and its end.
#[derive(Debug)]
pub struct Shutdown {
    state: State,
    longest_request_deadline: Duration,
}

impl Shutdown {
    /// Of a proxy that runs; clients wait no longer than `longest_request_deadline` for an answer.
    pub fn new(longest_request_deadline: Duration) -> Shutdown {
        Shutdown {
            state: State::Running,
            longest_request_deadline,
        }
    }

    /// Starts to drain; none if that has begun already.
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

    /// What is to be done now. `is_idle` tells whether nothing is pending; it is asked only once the accept period is
    /// over.
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
        let overdue = now >= times.shutdown_deadline;
        let idle_before = std::mem::replace(was_idle, is_idle());
        match (*was_idle, idle_before) {
            _ if overdue => {}
            (true, true) => {}
            (true, false) => return ShutdownStep::AcceptOnceMore,
            (false, _) => return ShutdownStep::Continue,
        }
        self.state = State::Finished;
        ShutdownStep::Finish
    }
}
