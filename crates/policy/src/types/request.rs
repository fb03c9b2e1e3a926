//! Requests from clients, and the outcomes of their attempts.

use std::time::Duration;

use super::{LoadReport, RouteIndex};

/// A request received from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest<'a> {
    /// Route of the request, an index into
    /// [`Settings::routes`](crate::settings::Settings::routes).
    pub route: RouteIndex,
    /// The client's idempotency key, if it sent one.
    pub idempotency_key: Option<&'a str>,
    /// Time until the client stops waiting for a response.
    pub time_remaining: Duration,
    /// The client's estimate of the work that the request causes, in a unit that all such hints
    /// share; `None` if the client sent none.
    pub cost_hint: Option<f64>,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response.
    Succeeded,
    /// The endpoint responded with an error.
    Failed,
    /// A response that cannot be parsed; the request may have been executed.
    Malformed,
    /// The endpoint rejected the request as invalid; the rejection is the response to the client.
    InvalidRequest,
    /// The endpoint was overloaded and rejected the attempt without executing it.
    Overloaded,
    /// No response before the deadline.
    TimedOut,
    /// The connection was refused, or broke before the whole request was written.
    Refused,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// The host cancelled the attempt at the policy's request.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the endpoint responded, with an error or not, after it executed the request
    /// or tried to. An overload rejection is no response in this sense: an endpoint that only
    /// rejects attempts does not count as responsive.
    pub fn is_response(self) -> bool {
        use AttemptOutcome::{Failed, InvalidRequest, Malformed, Succeeded};
        matches!(self, Succeeded | Failed | Malformed | InvalidRequest)
    }

    /// Returns whether the attempt ended with an error response, a malformed response or a
    /// connection reset, regardless of its duration.
    pub fn is_error(self) -> bool {
        use AttemptOutcome::{ConnectionReset, Failed, Malformed};
        matches!(self, Failed | ConnectionReset | Malformed)
    }

    /// Returns whether the duration of the attempt is evidence of the endpoint's latency.
    pub fn measures_latency(self) -> bool {
        use AttemptOutcome::{Succeeded, TimedOut};
        matches!(self, Succeeded | TimedOut)
    }

    /// Returns whether it is certain that the endpoint did not execute the request.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::{NotSent, Overloaded, Refused};
        matches!(self, Overloaded | Refused | NotSent)
    }

    /// Returns whether the outcome is a failure of the endpoint, not of the request or of the host.
    pub fn counts_against_endpoint(self) -> bool {
        use AttemptOutcome::{Cancelled, InvalidRequest, NotSent, Succeeded};
        !matches!(self, Succeeded | InvalidRequest | Cancelled | NotSent)
    }
}

/// How an attempt ended, and what came with its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start to the end of the attempt.
    pub duration: Duration,
    /// Whether the client has received its response or no longer waits for one.
    pub request_finished: bool,
    /// Load report that came with the response, if any.
    pub load: Option<LoadReport>,
}
