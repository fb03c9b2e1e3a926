//! Time windows after a restart over which answers are counted.

use std::ops::Index;
use std::time::Duration;

/// A time window that begins with the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Window {
    /// The first second.
    OneSecond,
    /// The first three seconds.
    ThreeSeconds,
    /// The first ten seconds.
    TenSeconds,
}

impl Window {
    /// All windows, in the order of the tables.
    pub(super) const ALL: [Window; 3] =
        [Window::OneSecond, Window::ThreeSeconds, Window::TenSeconds];

    pub(super) fn length(self) -> Duration {
        match self {
            Window::OneSecond => Duration::from_secs(1),
            Window::ThreeSeconds => Duration::from_secs(3),
            Window::TenSeconds => Duration::from_secs(10),
        }
    }
}

/// A value for each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ByWindow([f64; Window::ALL.len()]);

impl ByWindow {
    /// Computes the value for each window.
    pub(super) fn new(value: impl FnMut(Window) -> f64) -> ByWindow {
        ByWindow(Window::ALL.map(value))
    }
}

impl Index<Window> for ByWindow {
    type Output = f64;

    fn index(&self, window: Window) -> &f64 {
        &self.0[window as usize]
    }
}
