//! Requests as clients send them, and how their attempts end.

use std::time::Duration;

use super::{LoadReport, RouteIndex};

/// A request that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest<'a> {
    /// Its route.
    pub route: RouteIndex,
    /// The client's idempotency key, where it sent one.
    pub idempotency_key: Option<&'a str>,
    /// How long the client still waits.
    pub time_remaining: Duration,
    /// How much work it is, in the unit of the clients' hints; `None` without a hint.
    pub cost_hint: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response.
    Succeeded,
    /// The endpoint responded with an error.
    Failed,
    /// A response that cannot be parsed; the request may have been executed.
    Malformed,
    /// The endpoint rejected the request itself as invalid, which is the request's answer.
    InvalidRequest,
    /// The endpoint rejected the attempt under load, without executing it.
    Overloaded,
    /// No response in time.
    TimedOut,
    /// The connection was refused, or broke before the request was written whole.
    Refused,
    /// The connection broke under the written request.
    ConnectionReset,
    /// The host cancelled the attempt at the policy's request.
    Cancelled,
    /// The host never sent it.
    NotSent,
}

impl AttemptOutcome {
    /// The endpoint executed the request or tried to, and responded, if only with an error. One
    /// that rejects attempts under load without executing them does not count as responsive.
    pub fn is_response(self) -> bool {
        use AttemptOutcome::{Failed, InvalidRequest, Malformed, Succeeded};
        matches!(self, Succeeded | Failed | Malformed | InvalidRequest)
    }

    /// Something broke; the time that it took does not matter.
    pub fn is_error(self) -> bool {
        use AttemptOutcome::{ConnectionReset, Failed, Malformed};
        matches!(self, Failed | ConnectionReset | Malformed)
    }

    /// The duration of the attempt shows how fast the endpoint is.
    pub fn measures_latency(self) -> bool {
        use AttemptOutcome::{Succeeded, TimedOut};
        matches!(self, Succeeded | TimedOut)
    }

    /// The request has certainly not been executed.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::{NotSent, Overloaded, Refused};
        matches!(self, Overloaded | Refused | NotSent)
    }

    /// The endpoint did not serve the attempt as it should have.
    pub fn counts_against_endpoint(self) -> bool {
        use AttemptOutcome::{Cancelled, InvalidRequest, NotSent, Succeeded};
        !matches!(self, Succeeded | InvalidRequest | Cancelled | NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from its start to its end.
    pub duration: Duration,
    /// The client has its answer, or no longer waits for one.
    pub request_finished: bool,
    /// The load report that came with the response.
    pub load: Option<LoadReport>,
}
