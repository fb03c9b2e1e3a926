//! The rules and limits that the observer checks, and their violations.

use tidescale_policy::types::Timestamp;

/// A routing rule, or a limit from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Rule 1: a request is answered exactly once and in time.
    OneAnswer,
    /// Rule 2: a request that may have executed is repeated only as its idempotency allows.
    Idempotency,
    /// Rule 2: two attempts of a request are in flight only where hedging is allowed.
    Hedging,
    /// Rule 3: an attempt is sent only to an endpoint that accepts new requests.
    EndpointState,
    /// Rule 4: a warming endpoint is not overloaded.
    SlowStart,
    /// Rule 5: guarded stages accept idempotent requests only.
    GuardedStage,
    /// Rule 5: attempts at a build under evaluation stay within its traffic cap.
    TrafficCap,
    /// Rule 5: a request whose key a later build has answered is not sent to an earlier one.
    MonotonicKeys,
    /// Limit: the number of attempts per request.
    MaxAttempts,
    /// Limit: the deadline of an attempt is not later than that of its request.
    Deadline,
    /// Limit: attempts are cancelled only where that is allowed.
    CancelAttempts,
    /// Limit: the longest retry time that may be sent to a client.
    RetryAfter,
    /// Limit: the kinds of votes that the platform accepts.
    VoteKind,
    /// Limit: one vote in flight at a time.
    PendingVote,
    /// Limit: health checks are sent only where they are allowed.
    HealthChecks,
    /// Limit: the endpoint list is polled only where the settings ask for it.
    PollEndpoints,
}

/// The first decision that broke a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Timestamp,
    pub detail: String,
}
