//! Time-outs of attempts, and when a hedged request may be sent beside one.

use std::time::Duration;

use crate::indexed_table::IndexedTable;
use crate::latency::{LatencyEstimate, LatencyModel};
use crate::requests::WaitingAttempt;
use crate::settings::Settings;
use crate::step_context::StepContext;
use crate::types::{RouteIndex, Timestamp, fractional_micros};

/// An attempt has failed that takes longer than this multiple of its latency objective.
const TIME_LIMIT_FACTOR: u32 = 2;
/// The response of a first attempt may be lost, and a hedged request stays due from then on even
/// under congestion, once it has taken this multiple of the baseline latency, and half its latency
/// objective.
const HEDGE_FACTOR: f64 = 4.0;
/// Responses that must be known for that: the quick ones come first.
const MIN_HEDGE_RESPONSES: f64 = 100.0;

/// Whether an attempt of this age counts as failed, even if a response arrives later.
pub(crate) fn exceeds_time_limit(age: Duration, objective: Duration) -> bool {
    age > objective.saturating_mul(TIME_LIMIT_FACTOR)
}

/// What the age of an attempt means for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimeoutCheck {
    /// Its endpoint has not responded to anything since it was sent, and it has passed its latency
    /// objective.
    pub(crate) endpoint_is_unresponsive: bool,
    /// It counts towards the limit on all attempts in flight.
    pub(crate) counts_as_in_flight: bool,
    /// It has to be recorded as timed out.
    pub(crate) has_timed_out: bool,
    /// It has to be cancelled: its request is finished.
    pub(crate) must_be_cancelled: bool,
}

/// The time limits of attempts as of one step.
pub(crate) struct AttemptTimeouts<'a> {
    settings: &'a Settings,
    now: Timestamp,
    /// Baseline latency of each route for one unit of cost.
    expected_latency_per_cost: IndexedTable<RouteIndex, LatencyEstimate>,
    hedging_allowed: bool,
}

impl<'a> AttemptTimeouts<'a> {
    /// Reads the present latencies.
    pub(crate) fn new(
        latency: &mut LatencyModel,
        is_congested: bool,
        context: &'a StepContext,
    ) -> AttemptTimeouts<'a> {
        let expected_latency_per_cost = latency.expected_latency_per_cost(context.now);
        let settings = &context.settings;
        // Hedged requests add load, and are only of use if the first attempt can be cancelled.
        let is_enabled = settings.cancel_attempts && settings.hedging;
        let has_enough_responses = latency.response_count() >= MIN_HEDGE_RESPONSES;
        AttemptTimeouts {
            settings,
            now: context.now,
            expected_latency_per_cost,
            hedging_allowed: is_enabled && has_enough_responses && !is_congested,
        }
    }

    /// Decides what the age of an attempt means for it, and notes in its state that a hedged
    /// request is due or that it is recorded as evidence.
    pub(crate) fn check(
        &self,
        attempt: &mut WaitingAttempt<'_>,
        last_response_at: Timestamp,
    ) -> TimeoutCheck {
        let objective = self.settings.routes[attempt.route.get()].latency_objective;
        let age = self.now - attempt.sent_at;
        let is_late = exceeds_time_limit(age, objective);
        let is_unresponsive = last_response_at <= attempt.sent_at;
        // An attempt at a silent endpoint keeps others from being sent for a shorter time.
        let counted_until = if is_unresponsive {
            objective / 2
        } else {
            objective
        };
        let is_finished = attempt.request_finished;
        let state = *attempt.state;
        let timeout = TimeoutCheck {
            endpoint_is_unresponsive: is_unresponsive
                && age > objective
                && self.settings.health_checks,
            counts_as_in_flight: age <= counted_until,
            has_timed_out: !state.evidence_recorded && (is_late || state.hedge_due && is_finished),
            must_be_cancelled: !state.evidence_recorded
                && is_finished
                && self.settings.cancel_attempts,
        };
        attempt.state.evidence_recorded |= is_finished || is_late;
        attempt.state.hedge_due |= self.is_hedge_due(attempt, age, objective);
        timeout
    }

    fn is_hedge_due(
        &self,
        attempt: &WaitingAttempt<'_>,
        age: Duration,
        objective: Duration,
    ) -> bool {
        if !self.hedging_allowed || attempt.request_finished || !attempt.is_only_attempt {
            return false;
        }
        let expected = self.expected_latency_per_cost[attempt.route].as_micros();
        let hedge_after = HEDGE_FACTOR * expected * attempt.cost;
        age.saturating_mul(2) > objective && fractional_micros(age) > hedge_after
    }
}
