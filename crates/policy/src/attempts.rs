//! Attempts that are sent, with the circumstances under which they are.

use crate::Balancer;
use crate::decisions::START_UP_TIME;
use crate::host::DecisionSink;
use crate::requests::{Attempt, AttemptConditions, AttemptState};
use crate::types::{AttemptOutcome, whole_micros};

/// An attempt that counts as timed out while it is still in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdueAttempt {
    /// Its request.
    pub(crate) id: u64,
    /// Its index among the request's attempts.
    pub(crate) index: usize,
    /// Microseconds since it was sent.
    pub(crate) age: u64,
}

impl Balancer {
    /// Sends an attempt and records it everywhere.
    pub(crate) fn start_attempt(&mut self, id: u64, index: usize, sink: &mut dyn DecisionSink) {
        let now = self.clock.now;
        let conditions = self.attempt_conditions(index);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let is_warming = endpoint.age_micros(now) < whole_micros(self.settings.warm_up_time);
        endpoint.in_flight += 1.0;
        endpoint.slow_start.earned -= f64::from(is_warming);
        if endpoint.health.ejected {
            endpoint.health.last_trial_request_at = now;
        }
        request.attempts.push(Attempt {
            endpoint: index,
            build: endpoint.build,
            process_started_at: endpoint.started_at,
            sent_at: now,
            state: AttemptState::AwaitingResponse {
                hedge_due: false,
                evidence_recorded: false,
            },
            conditions,
        });
        sink.start_attempt(id, &endpoint.name, request.deadline);
        self.exposure
            .record_attempt(endpoint.build, request.route, now);
        self.traffic.in_flight += 1.0;
        self.traffic.attempts.add([1.0], now);
    }

    /// The circumstances of an attempt that is sent now.
    fn attempt_conditions(&mut self, index: usize) -> AttemptConditions {
        let now = self.clock.now;
        let endpoint_load = self.endpoint_load(index).in_flight;
        let newest = self.rollout.map_or(u32::MAX, |rollout| rollout.build);
        let in_service = self.endpoints.in_service(newest);
        let comparable_to_baseline = self.is_comparable_to_baseline();
        let endpoint = &self.endpoints[index];
        let age = endpoint.age_micros(now);
        let others = if endpoint.build >= newest {
            in_service.baseline
        } else {
            in_service.candidate
        };
        AttemptConditions {
            past_start_up: age >= whole_micros(START_UP_TIME),
            warm: age >= whole_micros(self.settings.warm_up_time.max(START_UP_TIME)),
            endpoint_load,
            has_concurrent_baseline: others > 0,
            comparable_to_baseline,
        }
    }

    /// Counts an attempt as timed out. Were only what comes back learned from, ever less would seem
    /// usual.
    pub(crate) fn record_overdue(&mut self, overdue: OverdueAttempt) {
        let OverdueAttempt { id, index, age } = overdue;
        self.record_evidence(id, index, AttemptOutcome::TimedOut, age);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let attempt = request.attempts[index];
        if attempt.hedge_due() {
            let earlier = attempt.conditions.warm && !self.is_under_evaluation(attempt.build);
            self.record_latency(id, attempt.endpoint, age, earlier);
        }
    }
}
