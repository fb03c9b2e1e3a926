//! Load shedding: decides which requests are rejected or failed because they cannot be answered in
//! time.

use std::time::Duration;

use crate::latency::LatencyEstimate;
use crate::requests::Request;
use crate::settings::{Route, Settings};
use crate::step_context::StepContext;
use crate::types::whole_micros;

/// Decision on a request that is waiting for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Choose an endpoint and send an attempt.
    Serve,
    /// Send nothing; an attempt in flight may still succeed.
    AwaitAttempt,
    /// Reject the request; the client may safely retry it.
    Reject {
        /// Delay after which the client should retry.
        retry_after: Duration,
    },
    /// Fail the request; a retry by the client is not safe, since it may have been executed.
    Fail,
}

/// Decides how to proceed with a waiting request. No further attempt is made once the request is
/// likely to miss its latency objective or no endpoint may receive it.
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
    let is_retry_safe = route.is_client_retry_safe() || !request.may_have_executed();
    if !is_retry_safe {
        return Admission::Fail;
    }
    Admission::Reject {
        retry_after: retry_after(route, settings),
    }
}

/// Returns the delay after which the client of a rejected request should retry: half the latency
/// objective of the route, as far as the settings allow it.
pub(crate) fn retry_after(route: &Route, settings: &Settings) -> Duration {
    let objective = whole_micros(route.latency_objective);
    let retry_after = whole_micros(settings.max_retry_after).min(objective / 2);
    Duration::from_micros(retry_after)
}

/// Returns the time to reserve for an attempt: 1.5 times the expected latency, capped at half the
/// objective. Without the cap, congestion could cause every request to be rejected on arrival, and
/// no further latency would be measured.
fn required_time(expected: Option<LatencyEstimate>, objective: Duration) -> Duration {
    let expected = expected.map_or(0, |expected| expected.as_micros() as u64);
    Duration::from_micros((expected * 3 / 2).min(whole_micros(objective) / 2))
}
