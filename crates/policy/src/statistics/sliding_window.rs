//! Exact counts over a sliding window.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{BuildNumber, RouteIndex, Timestamp};

/// By what events are distinguished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowKey {
    /// The build, where the events have one.
    pub build: BuildNumber,
    /// The route.
    pub route: RouteIndex,
}

/// Times of events by build and route, kept in order so that counting is a binary search.
///
/// Its owner bounds it by [`SlidingWindow::remove_before`].
#[derive(Debug, Default)]
pub struct SlidingWindow {
    times: BTreeMap<WindowKey, VecDeque<Timestamp>>,
}

impl SlidingWindow {
    /// Adds an event; events come in the order of their times.
    pub fn push(&mut self, key: WindowKey, at: Timestamp) {
        self.times.entry(key).or_default().push_back(at);
    }

    /// Removes one event of exactly this time, if there is one.
    pub fn remove(&mut self, key: WindowKey, at: Timestamp) {
        let Some(times) = self.times.get_mut(&key) else {
            return;
        };
        let index = times.partition_point(|time| *time < at);
        if times.get(index) == Some(&at) {
            times.remove(index);
        }
    }

    /// How many events of a build there were at `from` or later, on one route or on all.
    pub fn count_since(
        &self,
        build: BuildNumber,
        route: Option<RouteIndex>,
        from: Timestamp,
    ) -> usize {
        let counts =
            |key: &WindowKey| key.build == build && route.is_none_or(|route| key.route == route);
        let matching = self.times.iter().filter(|(key, _)| counts(key));
        matching
            .map(|(_, times)| times.len() - times.partition_point(|time| *time < from))
            .sum()
    }

    /// Forgets all events before `from`.
    pub fn remove_before(&mut self, from: Timestamp) {
        self.times.retain(|_, times| {
            times.drain(..times.partition_point(|time| *time < from));
            !times.is_empty()
        });
    }

    /// Forgets all events.
    pub fn clear(&mut self) {
        self.times.clear();
    }
}
