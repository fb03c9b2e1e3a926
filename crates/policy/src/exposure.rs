//! How much traffic a build under evaluation has had, in exact sliding windows.

use crate::statistics::{SlidingWindow, WindowKey};
use crate::types::Timestamp;

/// Requests are counted for all builds together.
const ANY_BUILD: u32 = 0;

/// Counts requests admitted and attempts sent. Events older than the window are dropped by
/// [`Exposure::expire`].
#[derive(Debug, Default)]
pub struct Exposure {
    admitted_requests: SlidingWindow,
    attempts: SlidingWindow,
    /// A lower cap binds from then on, and only requests admitted later count towards it.
    recount_at: Option<Timestamp>,
}

impl Exposure {
    /// A request has been admitted.
    pub fn record_request(&mut self, route: usize, now: Timestamp) {
        self.admitted_requests.push(
            WindowKey {
                build: ANY_BUILD,
                route,
            },
            now,
        );
    }

    /// An attempt has been sent to a build.
    pub fn record_attempt(&mut self, build: u32, route: usize, now: Timestamp) {
        self.attempts.push(WindowKey { build, route }, now);
    }

    /// An attempt that was counted then has not been sent after all.
    pub fn remove_attempt(&mut self, build: u32, route: usize, sent_at: Timestamp) {
        self.attempts.remove(WindowKey { build, route }, sent_at);
    }

    /// The cap has fallen: requests are counted anew, from now on and once more when the lower cap
    /// binds.
    pub fn restart_counting(&mut self, binds_at: Timestamp) {
        self.recount_at = Some(binds_at);
        self.admitted_requests.clear();
    }

    /// Attempts at a build within a window, on one route or on all. One exactly a window old still
    /// counts.
    pub fn attempts_since(
        &self,
        build: u32,
        route: Option<usize>,
        window_start: Timestamp,
    ) -> usize {
        self.attempts.count_since(build, route, window_start)
    }

    /// Requests admitted within a window, on one route or on all. One exactly a window old does not
    /// count any more.
    pub fn requests_since(&self, route: Option<usize>, window_start: Timestamp) -> usize {
        let after_start = Timestamp::from_micros(window_start.as_micros() + 1);
        self.admitted_requests
            .count_since(ANY_BUILD, route, after_start)
    }

    /// Drops what is older than the window, and starts counting anew if a lower cap binds by now.
    pub fn expire(&mut self, now: Timestamp, window_start: Timestamp) {
        if self.recount_at.take_if(|at| now >= *at).is_some() {
            self.admitted_requests.clear();
        }
        self.admitted_requests.remove_before(window_start);
        self.attempts.remove_before(window_start);
    }
}
