//! Decides whether a request may be sent to an endpoint without a risk of duplicate side effects
//! (rule 2).
//!
//! - An idempotent request may be sent to any endpoint again.
//! - A request with an idempotency key may be sent again if, for every earlier attempt that may
//!   have executed it, the deduplication window is still open and the endpoint shares idempotency
//!   keys with the endpoint of that attempt.
//! - Any other request may be sent again only if no earlier attempt can have executed it.

use crate::endpoints::{Endpoint, EndpointTable};
use crate::requests::{Attempt, Request};
use crate::settings::{Idempotency, KeyScope};
use crate::step_context::StepContext;
use crate::types::AttemptIndex;

/// Returns whether another attempt of a request may be sent to an endpoint.
pub(crate) fn may_attempt(
    request: &Request,
    endpoint: &Endpoint,
    endpoints: &EndpointTable,
    context: &StepContext,
) -> bool {
    let replay = Replay {
        request,
        endpoint,
        ignored_attempt: None,
    };
    request.attempts.len() < context.settings.max_attempts
        && !request.query_of_death
        && replay.is_allowed(endpoints, context)
}

/// Returns whether an attempt may still be written to its connection, given all other attempts of
/// the same request.
pub(crate) fn may_write(
    request: &Request,
    attempt: AttemptIndex,
    endpoints: &EndpointTable,
    context: &StepContext,
) -> bool {
    let Some(written) = request.attempt(attempt) else {
        return false;
    };
    let replay = Replay {
        request,
        endpoint: &endpoints[written.endpoint],
        ignored_attempt: Some(attempt),
    };
    replay.is_allowed(endpoints, context)
}

/// A possible repeated execution of a request at an endpoint.
struct Replay<'a> {
    request: &'a Request,
    endpoint: &'a Endpoint,
    /// Attempt that does not count as an earlier execution, because it has yet to be written.
    ignored_attempt: Option<AttemptIndex>,
}

impl Replay<'_> {
    fn is_allowed(&self, endpoints: &EndpointTable, context: &StepContext) -> bool {
        let mut executed = self
            .request
            .possibly_executed_attempts(self.ignored_attempt);
        match context.settings.routes[self.request.route.get()].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => executed.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => executed.all(|attempt| {
                let in_window = context.now < attempt.sent_at + window;
                in_window && shares_keys(scope, attempt, self.endpoint, endpoints)
            }),
        }
    }
}

/// Returns whether an endpoint shares idempotency keys with the endpoint of an earlier attempt. If
/// the earlier endpoint has restarted since, it may now belong to another zone or cell.
fn shares_keys(
    scope: KeyScope,
    attempt: &Attempt,
    endpoint: &Endpoint,
    endpoints: &EndpointTable,
) -> bool {
    let earlier = &endpoints[attempt.endpoint];
    let same_process = earlier.process.started_at == attempt.process.started_at;
    match scope {
        KeyScope::Fleet => true,
        KeyScope::Zone => earlier.zone == endpoint.zone && same_process,
        KeyScope::Cell => earlier.cell == endpoint.cell && same_process,
    }
}
