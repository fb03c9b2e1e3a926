//! Exact counts of events over a sliding window.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{BuildNumber, RouteIndex, Timestamp};

/// The key by which events are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowKey {
    /// The build, for events that belong to one.
    pub build: BuildNumber,
    /// The route of the request.
    pub route: RouteIndex,
}

/// Times of events by build and route. They are kept in order, so that counting takes a binary
/// search.
///
/// The owner must call [`SlidingWindow::remove_before`] regularly to bound its size.
#[derive(Debug, Default)]
pub struct SlidingWindow {
    times: BTreeMap<WindowKey, VecDeque<Timestamp>>,
}

impl SlidingWindow {
    /// Adds an event. Events must be added in the order of their times.
    pub fn push(&mut self, key: WindowKey, at: Timestamp) {
        self.times.entry(key).or_default().push_back(at);
    }

    /// Removes one event with exactly this time, if there is one.
    pub fn remove(&mut self, key: WindowKey, at: Timestamp) {
        let Some(times) = self.times.get_mut(&key) else {
            return;
        };
        let index = times.partition_point(|time| *time < at);
        if times.get(index) == Some(&at) {
            times.remove(index);
        }
    }

    /// Returns the number of events of a build at or after `from`, on one route or on all routes if
    /// `None`.
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

    /// Removes all events before `from`.
    pub fn remove_before(&mut self, from: Timestamp) {
        self.times.retain(|_, times| {
            times.drain(..times.partition_point(|time| *time < from));
            !times.is_empty()
        });
    }

    /// Removes all events.
    pub fn clear(&mut self) {
        self.times.clear();
    }
}
