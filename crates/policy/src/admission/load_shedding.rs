//! Load shedding: which requests are rejected or failed because they cannot be answered in time.

use std::time::Duration;

use crate::latency::LatencyEstimate;
use crate::requests::Request;
use crate::step_context::StepContext;
use crate::types::whole_micros;

/// What to do with a request for which another attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Look for an endpoint.
    Serve,
    /// Nothing: an attempt in flight may still succeed.
    AwaitAttempt,
    /// Reject it; its client may send it again without harm.
    Reject {
        /// When the client should send it again.
        retry_after: Duration,
    },
    /// Fail it; it may have been executed.
    Fail,
}

/// Decides on a request for which another attempt may be made. It is given up once it is likely to
/// miss its latency objective or once no endpoint may take it.
pub(crate) fn decide_admission(
    request: &Request,
    expected: Option<LatencyEstimate>,
    may_be_attempted: impl FnOnce() -> bool,
    context: &StepContext,
) -> Admission {
    let settings = &context.settings;
    let route = &settings.routes[request.route.get()];
    let is_late = context.now + required_time(expected, route.latency_objective)
        >= request.objective_deadline;
    if !is_late && may_be_attempted() {
        return Admission::Serve;
    }
    if request.has_attempt_in_flight() {
        return Admission::AwaitAttempt;
    }
    let is_retry_safe = route.idempotency.is_safe_everywhere() || !request.may_have_executed();
    if !is_retry_safe {
        return Admission::Fail;
    }
    let objective = whole_micros(route.latency_objective);
    let retry_after = whole_micros(settings.max_retry_after).min(objective / 2);
    Admission::Reject {
        retry_after: Duration::from_micros(retry_after),
    }
}

/// The time that an attempt is expected to need with some reserve, and at most half the objective:
/// otherwise congestion would have every request rejected on arrival, and no latency would be
/// measured any more.
fn required_time(expected: Option<LatencyEstimate>, objective: Duration) -> Duration {
    let expected = expected.map_or(0, |expected| expected.as_micros() as u64);
    Duration::from_micros((expected * 3 / 2).min(whole_micros(objective) / 2))
}
