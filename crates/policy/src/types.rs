//! Values that cross the border between the policy and its host: times, outcomes, states and votes.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in whole microseconds since an origin that the host chooses (the proxy: the
/// Unix epoch).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than any other; stands for "never".
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// So many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Microseconds since an earlier time; 0 if that is in fact later.
    pub const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Whole microseconds of a duration; a longer one than fits counts as the longest.
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    /// Saturates at [`Timestamp::MAX`].
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(duration)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    /// Saturates at [`Timestamp::ZERO`].
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(duration)))
    }
}

impl Sub for Timestamp {
    type Output = Duration;
    /// The time from `earlier` to this one; zero if `earlier` is in fact later.
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }
}

/// State of an endpoint, as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Not listed any more, or never listed.
    #[default]
    Removed,
    /// Takes new requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry<'a> {
    /// Identifies the endpoint; a restarted process may come back under it.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its cell within the zone.
    pub cell: u64,
    /// Endpoints of one class are equally fast.
    pub hardware_class: &'a str,
    /// Number of the build that it runs; later builds have higher numbers.
    pub build: u32,
    /// What the list says of it.
    pub state: EndpointState,
    /// When its process started; none where it has run for long.
    pub started_at: Option<Timestamp>,
}

/// A request that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest<'a> {
    /// Index into [`Settings::routes`](crate::settings::Settings::routes).
    pub route: usize,
    /// The client's idempotency key, where it sent one.
    pub idempotency_key: Option<&'a str>,
    /// How long the client still waits.
    pub time_remaining: Duration,
    /// How much work it is, in the unit of the clients' hints; none where nothing is told.
    pub cost_hint: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// An answer that cannot be parsed; the request may have been executed.
    Malformed,
    /// The endpoint rejected the request itself as invalid, which is the request's answer.
    InvalidRequest,
    /// The endpoint rejected the attempt under load, without executing it.
    Overloaded,
    /// No answer in time.
    TimedOut,
    /// The connection was refused or broke before the request was written whole.
    Refused,
    /// The connection broke under the written request.
    ConnectionReset,
    /// The host gave the attempt up at the policy's request.
    Cancelled,
    /// The host never sent it.
    NotSent,
}

impl AttemptOutcome {
    /// The endpoint answered, if only with an error.
    pub fn is_response(self) -> bool {
        use AttemptOutcome::{Failed, InvalidRequest, Malformed, Succeeded};
        matches!(self, Succeeded | Failed | Malformed | InvalidRequest)
    }

    /// Something broke, whatever time it took.
    pub fn is_error(self) -> bool {
        use AttemptOutcome::{ConnectionReset, Failed, Malformed};
        matches!(self, Failed | ConnectionReset | Malformed)
    }

    /// The time that it took tells how fast the endpoint is.
    pub fn is_timed(self) -> bool {
        use AttemptOutcome::{Succeeded, TimedOut};
        matches!(self, Succeeded | TimedOut)
    }

    /// The request has certainly not been executed.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::{NotSent, Overloaded, Refused};
        matches!(self, Overloaded | Refused | NotSent)
    }
}

/// The end of an attempt, as the host tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from its start to its end.
    pub duration: Duration,
    /// The client has its answer, or waits for none any more.
    pub request_finished: bool,
    /// The endpoint's load report that came with the answer.
    pub load: Option<LoadReport>,
}

/// An endpoint's report of its load, as far as it reports any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on or holds.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
}

/// Phase of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build is under evaluation.
    Canary,
    /// The build is being replaced by the one before.
    RollingBack,
    /// The build serves everywhere.
    Released,
    /// The build has been taken out.
    Withdrawn,
}

impl RolloutPhase {
    /// The build serves, and goes on to.
    pub fn is_serving(self) -> bool {
        matches!(self, RolloutPhase::Canary | RolloutPhase::Released)
    }

    /// The build is being taken out, or has been.
    pub fn is_ending(self) -> bool {
        matches!(self, RolloutPhase::RollingBack | RolloutPhase::Withdrawn)
    }

    /// Nothing changes any more until the next build.
    pub fn has_ended(self) -> bool {
        matches!(self, RolloutPhase::Released | RolloutPhase::Withdrawn)
    }
}

/// State of the newest build's rollout, as the platform announces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: u32,
    /// Stage of its evaluation, from 0.
    pub stage: u32,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that may be attempted at it.
    pub traffic_cap: f64,
    /// How long ago stage and phase began.
    pub age: Duration,
}

/// An instance's opinion on the build under evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Go on to the next stage.
    Advance,
    /// Stay at this stage.
    Hold,
    /// Replace the build by the one before.
    RollBack,
    /// Takes an earlier vote back.
    Abstain,
}

/// A vote on one stage of one build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The build voted on.
    pub build: u32,
    /// The stage voted on.
    pub stage: u32,
    /// The opinion.
    pub vote: Vote,
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteResult {
    /// It counts.
    Accepted,
    /// Build or stage had moved on.
    Superseded,
    /// The platform takes no more votes just now.
    Busy,
    /// The vote did not reach the platform, or was turned down.
    Failed,
    /// No answer; it may count.
    Unknown,
}

/// The tests that a build is put to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceTest {
    /// Failures of any kind against the earlier build at the same time.
    Failures,
    /// Slow answers against the earlier build at the same time.
    Slowness,
    /// Errors alone, also against the time before.
    Errors,
    /// Slow answers of the whole fleet against the time before the rollout.
    FleetSlowdown,
}

impl EvidenceTest {
    /// All tests, in the order of [`EvidenceTest::index`].
    pub const ALL: [EvidenceTest; 4] = [
        EvidenceTest::Failures,
        EvidenceTest::Slowness,
        EvidenceTest::Errors,
        EvidenceTest::FleetSlowdown,
    ];

    /// Place of the test in arrays by test.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Failures among outcomes; both decay, so that they need not be whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureShare {
    /// Outcomes that count as failures in the test at hand.
    pub failures: f64,
    /// All outcomes.
    pub outcomes: f64,
}

/// The evidence on which an instance has found that a build must be rolled back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RollbackVerdict {
    /// The build found bad.
    pub build: u32,
    /// The stage at which it was.
    pub stage: u32,
    /// The test that passed its bound.
    pub test: EvidenceTest,
    /// Outcomes of the build, those restored from a snapshot included.
    pub candidate: FailureShare,
    /// Outcomes of what it is compared with.
    pub baseline: FailureShare,
    /// Outcomes of the build that come from before a restart.
    pub restored_outcomes: f64,
    /// The score, less the evidence margin and this instance's share of α.
    pub score: f64,
    /// The Wald bound that the score has passed.
    pub bound: f64,
    /// The rate of false rollbacks that the bound stands for.
    pub alpha: f64,
    /// The rate of missed bad builds that the bounds stand for.
    pub beta: f64,
    /// Ready endpoints of the build that are ejected.
    pub ejected_endpoints: usize,
}
