//! Limits the traffic to builds under evaluation (rule 5), with exact counts over a sliding window.

use super::RolloutView;
use crate::settings::Idempotency;
use crate::statistics::{SlidingWindow, WindowKey};
use crate::step_context::StepContext;
use crate::types::{BuildNumber, RouteIndex, StageIndex, Timestamp};

/// Placeholder in the keys of admitted requests, which do not belong to a build.
const ALL_BUILDS: BuildNumber = BuildNumber::new(0);

/// Limits attempts at builds under evaluation: within any window, their number is at most a fixed
/// allowance plus the traffic cap times the number of admitted requests.
///
/// [`ExposureLimiter::remove_expired`] bounds its size by removing events that are older than the
/// window.
#[derive(Debug, Default)]
pub(crate) struct ExposureLimiter {
    admitted_requests: SlidingWindow,
    attempts: SlidingWindow,
    /// When a lowered cap takes effect. Only requests admitted after this time count towards it.
    lower_cap_applies_at: Option<Timestamp>,
}

impl ExposureLimiter {
    /// Adds an admitted request to the count of requests.
    pub(crate) fn record_request(&mut self, route: RouteIndex, now: Timestamp) {
        let key = WindowKey {
            build: ALL_BUILDS,
            route,
        };
        self.admitted_requests.push(key, now);
    }

    /// Adds an attempt at a build to the count of attempts.
    pub(crate) fn record_attempt(&mut self, key: WindowKey, now: Timestamp) {
        self.attempts.push(key, now);
    }

    /// Removes the attempt that was recorded at `sent_at`, because it has not been written yet.
    pub(crate) fn remove_attempt(&mut self, key: WindowKey, sent_at: Timestamp) {
        self.attempts.remove(key, sent_at);
    }

    /// Resets the count of requests because the cap has been lowered: now, and again when the lower
    /// cap takes effect.
    pub(crate) fn restart_counting(&mut self, applies_from: Timestamp) {
        self.lower_cap_applies_at = Some(applies_from);
        self.admitted_requests.clear();
    }

    /// Removes events that are older than the window, and resets the count of requests if a lowered
    /// cap has taken effect.
    pub(crate) fn remove_expired(&mut self, context: &StepContext) {
        let now = context.now;
        if self.lower_cap_applies_at.take_if(|at| now >= *at).is_some() {
            self.admitted_requests.clear();
        }
        let window_start = now - context.settings.exposure_window;
        self.admitted_requests.remove_before(window_start);
        self.attempts.remove_before(window_start);
    }

    /// Returns whether one more attempt may be sent to the build on the route of `key`.
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

    /// Returns the number of requests admitted within the window, on one route or on all routes if
    /// `None`. A request at exactly the start of the window is excluded, whereas an attempt at that
    /// time is included, so that events at the boundary can only lower the limit.
    fn requests_since(&self, route: Option<RouteIndex>, window_start: Timestamp) -> usize {
        let after_start = Timestamp::from_micros(window_start.as_micros() + 1);
        self.admitted_requests
            .count_since(ALL_BUILDS, route, after_start)
    }
}
