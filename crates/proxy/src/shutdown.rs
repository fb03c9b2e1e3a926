//! The shutdown after SIGTERM: when the proxy stops accepting clients, and when it exits. No I/O.
//!
//! The proxy is running until SIGTERM, then draining, and then finished. While draining, it accepts
//! clients for a limited period and completes all requests. It is finished once nothing is pending,
//! or at the shutdown deadline. It never returns to an earlier state.

use std::time::Duration;

use tidescale_policy::types::Timestamp;

/// Time after SIGTERM in which clients may still connect and send requests.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// SIGKILL is expected after the accept period plus the longest time limit of a request, of which
/// at most this much counts.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(3000);
/// Attempts end this long before SIGKILL, so that their responses can still be sent.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// The points in time that bound a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// The end of the accept period: clients may connect until this time, and the proxy does not
    /// exit before it.
    pub accept_until: Timestamp,
    /// The time at which attempts that are still in flight are ended.
    pub attempt_deadline: Timestamp,
    /// The time at which the proxy exits even if requests are pending.
    pub shutdown_deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Draining {
        times: DrainTimes,
        /// Whether nothing was pending at the previous call of [`Shutdown::step`].
        was_idle: bool,
    },
    Finished,
}

/// What the event loop has to do at the end of an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Run another iteration.
    Continue,
    /// Nothing is pending. Accept clients that have connected in the meantime, then check again.
    AcceptOnceMore,
    /// Exit the process.
    Finish,
}

/// Decides at the end of each iteration of the event loop whether the proxy exits.
#[derive(Debug)]
pub struct Shutdown {
    state: State,
    longest_time_limit: Duration,
}

impl Shutdown {
    /// Creates a shutdown in the running state. `longest_time_limit` is the longest time
    /// limit of a request.
    pub fn new(longest_time_limit: Duration) -> Shutdown {
        Shutdown {
            state: State::Running,
            longest_time_limit,
        }
    }

    /// Starts to drain. Returns `None` if the shutdown has already begun.
    pub fn begin(&mut self, now: Timestamp) -> Option<DrainTimes> {
        if self.state != State::Running {
            return None;
        }
        let request_wait = self.longest_time_limit.min(MAX_REQUEST_WAIT);
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

    /// Advances the shutdown and returns what the event loop has to do. `is_idle` returns whether
    /// nothing is pending; it is called only after the accept period.
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
        // At the deadline the proxy exits even if a client does not read its response.
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
