//! What only the passing of time brings: time-outs, hedged requests, and attempts of no more use.

use super::evidence::LATE_FACTOR;
use crate::Balancer;
use crate::attempts::OverdueAttempt;
use crate::host::DecisionSink;
use crate::requests::AttemptState;
use crate::types::whole_micros;

/// A first attempt may be lost that takes so many times what is usual, and half its latency
/// objective.
const HEDGE_FACTOR: f64 = 4.0;
/// Answers that must be known for that: the first ones are the quick ones.
const MIN_HEDGE_ANSWERS: f64 = 100.0;

impl Balancer {
    /// Counts attempts that are out, notices those that take too long, and gives up those of no
    /// more use.
    pub(super) fn sweep(&mut self, sink: &mut dyn DecisionSink) {
        let now = self.clock.now;
        self.exposure
            .expire(now, now - self.settings.exposure_window);
        let expected = self.latency.expected_per_cost(now);
        let hedging = self.may_hedge();
        let mut overdue = Vec::new();
        self.traffic.in_flight = 0.0;
        for (id, request) in self.requests.iter_mut() {
            let objective = whole_micros(self.settings.routes[request.route].latency_objective);
            let is_first = hedging && !request.finished && request.attempts.len() == 1;
            let hedge_after = HEDGE_FACTOR * expected[request.route] * request.cost;
            for (index, attempt) in request.attempts.iter_mut().enumerate() {
                let AttemptState::AwaitingResponse {
                    hedge_due,
                    evidence_recorded,
                } = &mut attempt.state
                else {
                    continue;
                };
                let age = now.micros_since(attempt.sent_at);
                let is_late = age > LATE_FACTOR * objective;
                let health = &mut self.endpoints[attempt.endpoint].health;
                let is_silent = health.last_response_at <= attempt.sent_at;
                health.unresponsive |= is_silent && age > objective && self.settings.health_checks;
                // What an unresponsive endpoint keeps takes no place of the others.
                let occupies_until = if is_silent { objective / 2 } else { objective };
                self.traffic.in_flight += f64::from(age <= occupies_until);
                if !*evidence_recorded && (is_late || *hedge_due && request.finished) {
                    overdue.push(OverdueAttempt { id, index, age });
                }
                if !*evidence_recorded && request.finished && self.settings.cancel_attempts {
                    sink.cancel_attempt(id, index);
                }
                *evidence_recorded |= request.finished || is_late;
                *hedge_due |= is_first && 2 * age > objective && age as f64 > hedge_after;
            }
        }
        for attempt in overdue {
            self.record_overdue(attempt);
        }
    }

    /// Without an attempt beside it one that may be lost is only waited for, as any other.
    fn may_hedge(&self) -> bool {
        let is_allowed = self.settings.cancel_attempts && self.settings.hedging;
        let is_known = self.latency.known_answers() >= MIN_HEDGE_ANSWERS;
        is_allowed && is_known && !self.traffic.limit.is_congested()
    }
}
