//! Whether a request may be sent to an endpoint without the risk of a second effect (rule 2).
//!
//! - An idempotent request may be sent again anywhere.
//! - A request with an idempotency key may be sent again while, for each earlier attempt that may
//!   have executed it, the window has not passed and the endpoint shares that attempt's keys.
//! - Any other request may be sent again only if no earlier attempt can have executed it.

use crate::endpoints::{Endpoint, EndpointTable};
use crate::requests::{Attempt, Request};
use crate::settings::{Idempotency, KeyScope};
use crate::step_context::StepContext;
use crate::types::AttemptIndex;

/// Whether another attempt of a request may be sent to an endpoint.
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

/// Whether an attempt that is about to be written may still execute its request, with regard to all
/// other attempts of it.
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

/// A request that would be executed at an endpoint.
struct Replay<'a> {
    request: &'a Request,
    endpoint: &'a Endpoint,
    /// The attempt that is about to be written is no earlier execution.
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

/// Whether an endpoint knows the idempotency keys that an attempt has brought to another one. If
/// that one has been started anew since, it may have moved to another group.
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
