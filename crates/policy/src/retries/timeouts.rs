//! Timeouts of attempts, and the conditions for a hedged attempt: a second attempt of a request,
//! sent while the first one is still in flight.

use std::time::Duration;

use crate::indexed_table::IndexedTable;
use crate::latency::{LatencyEstimate, LatencyModel};
use crate::requests::WaitingAttempt;
use crate::settings::Settings;
use crate::step_context::StepContext;
use crate::types::{RouteIndex, Timestamp, fractional_micros};

/// An attempt that takes longer than this multiple of its latency objective counts as failed.
const TIME_LIMIT_FACTOR: u32 = 2;
/// A hedged attempt becomes due once the only attempt of a request has taken longer than this
/// multiple of its baseline latency and longer than half its latency objective, since its response
/// may be lost. The hedged attempt then stays due even if congestion sets in.
const HEDGE_FACTOR: f64 = 4.0;
/// Number of responses that must be known before requests are hedged. The first responses to arrive
/// are the fast ones, which bias the baseline latency downwards.
const MIN_HEDGE_RESPONSES: f64 = 100.0;

/// Returns whether an attempt of this age counts as failed, even if a response arrives later.
pub(crate) fn exceeds_time_limit(age: Duration, objective: Duration) -> bool {
    age > objective.saturating_mul(TIME_LIMIT_FACTOR)
}

/// Consequences of the age of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimeoutCheck {
    /// The attempt has exceeded its latency objective, and its endpoint has not responded to any
    /// attempt since this one was sent.
    pub(crate) endpoint_is_unresponsive: bool,
    /// The attempt counts towards the total concurrency limit.
    pub(crate) counts_as_in_flight: bool,
    /// The attempt must be recorded as timed out, which happens at most once.
    pub(crate) has_timed_out: bool,
    /// The attempt must be cancelled, because its request is finished.
    pub(crate) must_be_cancelled: bool,
}

/// Checks attempts against the time limits of the current step.
pub(crate) struct AttemptTimeouts<'a> {
    settings: &'a Settings,
    now: Timestamp,
    /// Expected latency of each route per unit of cost.
    expected_latency_per_cost: IndexedTable<RouteIndex, LatencyEstimate>,
    hedging_allowed: bool,
}

impl<'a> AttemptTimeouts<'a> {
    /// Creates the checks for the current step from the current latency estimates.
    pub(crate) fn new(
        latency: &mut LatencyModel,
        is_congested: bool,
        context: &'a StepContext,
    ) -> AttemptTimeouts<'a> {
        let expected_latency_per_cost = latency.expected_latency_per_cost(context.now);
        let settings = &context.settings;
        // Hedged attempts add load and only help if the first attempt can be cancelled.
        let is_enabled = settings.cancel_attempts && settings.hedging;
        let has_enough_responses = latency.response_count() >= MIN_HEDGE_RESPONSES;
        AttemptTimeouts {
            settings,
            now: context.now,
            expected_latency_per_cost,
            hedging_allowed: is_enabled && has_enough_responses && !is_congested,
        }
    }

    /// Determines the consequences of the age of an attempt. Updates the attempt's state when a
    /// hedged attempt becomes due, or when the attempt must not be recorded as evidence any more.
    pub(crate) fn check(
        &self,
        attempt: &mut WaitingAttempt<'_>,
        last_response_at: Timestamp,
    ) -> TimeoutCheck {
        let objective = self.settings.routes[attempt.route.get()].latency_objective;
        let age = self.now - attempt.sent_at;
        let is_late = exceeds_time_limit(age, objective);
        let is_unresponsive = last_response_at <= attempt.sent_at;
        // An attempt at an unresponsive endpoint counts towards the total limit for a shorter time.
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
            has_timed_out: !state.evidence_finalized && (is_late || state.hedge_due && is_finished),
            must_be_cancelled: !state.evidence_finalized
                && is_finished
                && self.settings.cancel_attempts,
        };
        attempt.state.evidence_finalized |= is_finished || is_late;
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
