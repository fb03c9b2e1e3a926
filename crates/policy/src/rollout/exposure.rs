//! Rule 5: how much traffic a build under evaluation may get, counted in exact sliding windows.

use super::RolloutView;
use crate::settings::Idempotency;
use crate::statistics::{SlidingWindow, WindowKey};
use crate::step_context::StepContext;
use crate::types::{BuildNumber, RouteIndex, StageIndex, Timestamp};

/// Requests are counted for all builds together.
const ALL_BUILDS: BuildNumber = BuildNumber::new(0);

/// Admits attempts at builds under evaluation: within any window their number stays within an
/// allowance plus the traffic cap times the number of requests.
///
/// Bounded by [`ExposureLimiter::expire`], which drops events older than the window.
#[derive(Debug, Default)]
pub(crate) struct ExposureLimiter {
    admitted_requests: SlidingWindow,
    attempts: SlidingWindow,
    /// From then on a lower cap applies, and only requests admitted later count towards it.
    lower_cap_applies_at: Option<Timestamp>,
}

impl ExposureLimiter {
    /// A request has been admitted.
    pub(crate) fn record_request(&mut self, route: RouteIndex, now: Timestamp) {
        let key = WindowKey {
            build: ALL_BUILDS,
            route,
        };
        self.admitted_requests.push(key, now);
    }

    /// An attempt has been sent to a build.
    pub(crate) fn record_attempt(&mut self, key: WindowKey, now: Timestamp) {
        self.attempts.push(key, now);
    }

    /// An attempt that was recorded at `sent_at` has not been sent yet.
    pub(crate) fn remove_attempt(&mut self, key: WindowKey, sent_at: Timestamp) {
        self.attempts.remove(key, sent_at);
    }

    /// The cap has been lowered: requests are counted anew, from now on and once more from when the
    /// lower cap applies.
    pub(crate) fn restart_counting(&mut self, applies_from: Timestamp) {
        self.lower_cap_applies_at = Some(applies_from);
        self.admitted_requests.clear();
    }

    /// Drops events that are older than the window, and starts counting anew if a lower cap applies
    /// by now.
    pub(crate) fn expire(&mut self, context: &StepContext) {
        let now = context.now;
        if self.lower_cap_applies_at.take_if(|at| now >= *at).is_some() {
            self.admitted_requests.clear();
        }
        let window_start = now - context.settings.exposure_window;
        self.admitted_requests.remove_before(window_start);
        self.attempts.remove_before(window_start);
    }

    /// Whether one more attempt of this route may be sent to this build.
    pub(crate) fn may_attempt(
        &self,
        key: WindowKey,
        view: RolloutView<'_>,
        context: &StepContext,
    ) -> bool {
        if !view.is_under_evaluation(key.build) {
            return true;
        }
        let settings = &context.settings;
        let announced = view
            .rollout
            .current()
            .filter(|rollout| rollout.build == key.build);
        let first_cap = settings.stage_caps.first().copied().unwrap_or(0.0);
        let (stage, cap) = announced.map_or((StageIndex::default(), first_cap), |rollout| {
            (rollout.stage, rollout.traffic_cap)
        });
        let idempotency = settings.routes[key.route.get()].idempotency;
        let is_guarded =
            stage.get() < settings.guarded_stages && idempotency != Idempotency::Idempotent;
        if cap <= 0.0 || is_guarded {
            return false;
        }
        let route = settings.exposure_by_route.then_some(key.route);
        let window_start = context.now - settings.exposure_window;
        let attempts = self.attempts.count_since(key.build, route, window_start);
        let requests = self.requests_since(route, window_start);
        (attempts + 1) as f64 <= settings.exposure_allowance + cap * requests as f64
    }

    /// Requests admitted within a window, on one route or on all. One exactly a window old no
    /// longer counts, whereas an attempt exactly a window old still does.
    fn requests_since(&self, route: Option<RouteIndex>, window_start: Timestamp) -> usize {
        let after_start = Timestamp::from_micros(window_start.as_micros() + 1);
        self.admitted_requests
            .count_since(ALL_BUILDS, route, after_start)
    }
}
