//! What the observer can find wrong.

use tidescale_policy::types::Timestamp;

/// A rule or a limit of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Rule 1: a request is answered exactly once, and in time.
    OneAnswer,
    /// Rule 2: a request that may have executed is repeated only as its idempotency allows.
    Idempotency,
    /// Rule 2: two attempts of a request are in flight only where hedging is allowed.
    Hedging,
    /// Rule 3: an attempt goes to an endpoint that takes new requests.
    EndpointState,
    /// Rule 4: a warming endpoint is not overloaded.
    SlowStart,
    /// Rule 5: guarded stages take idempotent requests only.
    GuardedStage,
    /// Rule 5: attempts at a build under evaluation stay within its traffic cap.
    TrafficCap,
    /// Rule 5: a key that a later build has answered does not go to an earlier one.
    MonotonicKeys,
    /// Limit: attempts for each request.
    MaxAttempts,
    /// Limit: an attempt does not outlast its request.
    Deadline,
    /// Limit: attempts are cancelled only where that is allowed.
    CancelAttempts,
    /// Limit: the longest retry time that is sent to a client.
    RetryAfter,
    /// Limit: the votes that the platform takes.
    VoteKind,
    /// Limit: one vote at a time.
    PendingVote,
    /// Limit: health checks are sent only where they are allowed.
    HealthChecks,
    /// Limit: the endpoint list is polled only where that is needed.
    PollEndpoints,
}

/// The first decision that broke a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Timestamp,
    pub detail: String,
}
