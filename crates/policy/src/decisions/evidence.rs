//! Evidence: what an outcome tells of its build, and under which circumstances it tells anything.

use std::time::Duration;

use crate::Balancer;
use crate::evidence::TESTS;
use crate::requests::Attempt;
use crate::statistics::CountKey;
use crate::traffic::MIN_SPAN;
use crate::types::{AttemptOutcome, EvidenceTest};

/// An endpoint is judged from this time after its start on.
pub(crate) const START_UP_TIME: Duration = Duration::from_secs(3);
/// An attempt has failed that takes longer than so many latency objectives.
pub(super) const LATE_FACTOR: u64 = 2;
/// An answer is slow that takes so many times what is usual there, …
const SLOW_FACTOR: f64 = 2.0;
/// … and so many times what the endpoint's load explains.
const LOAD_FACTOR: f64 = 1.35;
/// Answers at the baseline that a class starts with: few of its own say little.
pub(crate) const CLASS_PRIOR: f64 = 2.0;
/// Connections that break within this time broke in one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// The fleet is comparable with the baseline while so many tenths of it are in service, …
const MIN_FLEET_TENTHS: usize = 9;
/// … and this instance sends no more than this times what it sent before, and chance.
const MAX_RATE_FACTOR: f64 = 1.2;
/// Steady again so long after a rollout has ended, or after the time that endpoints need to warm
/// up.
const SETTLING_TIME: Duration = Duration::from_secs(3);

impl Balancer {
    /// Counts an attempt as evidence for or against its build, as far as it tells anything.
    pub(crate) fn record_evidence(
        &mut self,
        id: u64,
        index: usize,
        outcome: AttemptOutcome,
        micros: u64,
    ) {
        let now = self.clock.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (route, cost) = (request.route, request.cost);
        let attempt = request.attempts[index];
        let (build, endpoint) = (attempt.build, attempt.endpoint);
        let conditions = attempt.conditions;
        let is_late = micros > LATE_FACTOR * self.objective_micros(route);
        let is_slow = self.is_slow(attempt, route, cost, micros);
        let health = &mut self.endpoints[endpoint].health;
        // Lateness counts only beyond what load explains, or where the endpoint has answered
        // nothing since.
        let lateness_counts = conditions.warm
            && (is_slow == Some(true) || health.last_response_at <= attempt.sent_at);
        let is_error = outcome.is_error();
        let time_tells = outcome.is_timed() && (lateness_counts || !is_late) && !self.clock.stalled;
        let crashed = outcome == AttemptOutcome::ConnectionReset;
        // A process that dies is one failure, not one for each attempt it held; a build that keeps
        // dying shows.
        let same_crash = crashed && now < health.last_crash_at + CRASH_WINDOW;
        if !conditions.past_start_up || !(is_error || time_tells) || same_crash {
            return;
        }
        if crashed {
            health.last_crash_at = now;
        }
        let is_failure = is_error || is_late || outcome == AttemptOutcome::TimedOut;
        let no_time = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Malformed);
        let is_slow = is_slow.filter(|_| !no_time);
        let has_baseline = conditions.has_concurrent_baseline;
        // Those still in flight when the rollout began were long ones, and would make it look slow.
        let fleet_comparable = conditions.comparable_to_baseline
            && attempt.sent_at >= self.evaluation.fleet_baseline.taken_at;
        let mut by_test = [None; TESTS];
        by_test[EvidenceTest::Failures.index()] = has_baseline.then_some(is_failure);
        by_test[EvidenceTest::Slowness.index()] = is_slow.filter(|_| has_baseline);
        // Broken connections and malformed answers come of links and peers too, with nothing beside
        // them.
        by_test[EvidenceTest::Errors.index()] = Some(outcome == AttemptOutcome::Failed);
        by_test[EvidenceTest::FleetSlowdown.index()] = is_slow.filter(|_| fleet_comparable);
        self.evaluation
            .record(CountKey { build, endpoint }, by_test, now);
    }

    /// Whether an answer was slow, if it is known what is usual.
    fn is_slow(&mut self, attempt: Attempt, route: usize, cost: f64, micros: u64) -> Option<bool> {
        let index = attempt.endpoint;
        let load_when_sent = attempt.conditions.endpoint_load;
        let load = 1.0 + load_when_sent.max(self.endpoint_load(index).in_flight);
        let baseline = self.class_baseline(index, route, cost)?;
        let typical = baseline.latency / self.warm_up_fraction(&self.endpoints[index]);
        let factor = SLOW_FACTOR.max(LOAD_FACTOR * load / baseline.load);
        Some(micros as f64 > typical * factor)
    }

    /// No build is under evaluation or being rolled back, the last rollout is long over, and most
    /// answers are quick.
    pub(crate) fn is_steady(&self) -> bool {
        let settling_time = SETTLING_TIME.max(self.settings.warm_up_time);
        let has_settled = self.rollout.is_none_or(|rollout| {
            // An instance that has met no rollout has met no jam left by one: it must learn at
            // once.
            let long_ago = self.clock.now >= rollout.since + settling_time;
            rollout.phase.has_ended() && (!self.evaluation.rollout_seen || long_ago)
        });
        !self.traffic.limit.is_congested() && has_settled
    }

    /// What else jams a fleet is no build's doing: lost endpoints, a rush, and all before the build
    /// serves.
    pub(crate) fn is_comparable_to_baseline(&mut self) -> bool {
        let baseline = self.evaluation.fleet_baseline;
        let sums = &mut self.traffic.attempts;
        let [attempts] = sums.read(self.clock.now);
        let rate = attempts / self.span_seconds(&self.traffic.attempts, MIN_SPAN);
        let counted = baseline.attempts_per_second * 1e6 / super::DECAY_TIMES.rates;
        let noise = 2.0 * (counted / 2.0).sqrt();
        let Some(rollout) = self.rollout else {
            return self.is_steady();
        };
        let in_service = self.endpoints.in_service(rollout.build);
        let is_comparable = rollout.phase.is_serving()
            && in_service.total() * 10 >= baseline.endpoints * MIN_FLEET_TENTHS
            && rate <= MAX_RATE_FACTOR * baseline.attempts_per_second + noise
            && in_service.candidate > 0;
        self.is_steady() || is_comparable
    }
}
