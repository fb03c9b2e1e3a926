//! What counts as evidence for or against a build, and what as a failure.
//!
//! An outcome is evidence unless something other than the build explains it: the start-up of the
//! endpoint, its load, a stall of this instance, or a crash that has been counted already.

use std::time::Duration;

use super::fleet_baseline::FleetBaseline;
use crate::indexed_table::IndexedTable;
use crate::latency::ClassBaseline;
use crate::requests::Attempt;
use crate::retries::exceeds_time_limit;
use crate::statistics::PerTest;
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, EndpointIndex, Timestamp, fractional_micros};

/// A response is slow if it takes this multiple of the baseline latency of its hardware class, …
const SLOW_FACTOR: f64 = 2.0;
/// … and this multiple of what the load of its endpoint explains.
const LOAD_FACTOR: f64 = 1.35;
/// Connections that are reset within this time of one another were reset by one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// An attempt that has ended or timed out.
#[derive(Debug)]
pub(crate) struct AttemptEvidence<'a> {
    /// The attempt.
    pub(crate) attempt: &'a Attempt,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// How long it took.
    pub(crate) latency: Duration,
    /// The latency objective of its route.
    pub(crate) objective: Duration,
    /// State of its endpoint.
    pub(crate) endpoint: EndpointObservation,
}

/// State of the endpoint of an attempt when the attempt has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointObservation {
    /// Requests in flight there.
    pub(crate) load: f64,
    /// How long the request usually takes on its hardware class, where that is known.
    pub(crate) class_baseline: Option<ClassBaseline>,
    /// The fraction of its capacity that it certainly has.
    pub(crate) warm_up_fraction: f64,
    /// When it last responded.
    pub(crate) last_response_at: Timestamp,
}

/// Whether an attempt was slow, if the baseline latency is known.
fn is_slow(evidence: &AttemptEvidence<'_>) -> Option<bool> {
    let endpoint = &evidence.endpoint;
    let load_when_sent = evidence.attempt.conditions.endpoint_load;
    let load = 1.0 + load_when_sent.max(endpoint.load);
    let baseline = endpoint.class_baseline?;
    let usual_micros = baseline.latency.as_micros() / endpoint.warm_up_fraction;
    let factor = SLOW_FACTOR.max(LOAD_FACTOR * load / baseline.load);
    Some(fractional_micros(evidence.latency) > usual_micros * factor)
}

/// Crashes of endpoints: a process that dies is one failure, not one for each attempt that was in
/// flight there. A build that crashes repeatedly is still seen.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    last_crash_at: IndexedTable<EndpointIndex, Timestamp>,
}

impl CrashTracker {
    /// A new endpoint has taken this index.
    pub(super) fn add_endpoint(&mut self, index: EndpointIndex) {
        self.last_crash_at.put(index, Timestamp::ZERO);
    }

    fn is_duplicate(&self, endpoint: EndpointIndex, now: Timestamp) -> bool {
        now < self.last_crash_at[endpoint] + CRASH_WINDOW
    }

    fn record(&mut self, endpoint: EndpointIndex, now: Timestamp) {
        self.last_crash_at[endpoint] = now;
    }
}

/// For each test, whether the attempt is a failure there, or `None` where it is no evidence.
/// Returns `None` if it is no evidence in any test.
pub(super) fn classify_attempt(
    evidence: &AttemptEvidence<'_>,
    crashes: &mut CrashTracker,
    fleet_baseline: &FleetBaseline,
    context: &StepContext,
) -> Option<PerTest<Option<bool>>> {
    let AttemptEvidence {
        attempt, outcome, ..
    } = *evidence;
    let is_late = exceeds_time_limit(evidence.latency, evidence.objective);
    let is_slow = is_slow(evidence);
    if !is_evidence(evidence, is_slow, context.stalled) {
        return None;
    }
    if outcome == AttemptOutcome::ConnectionReset {
        if crashes.is_duplicate(attempt.endpoint, context.now) {
            return None;
        }
        crashes.record(attempt.endpoint, context.now);
    }
    let is_failure = outcome.is_error() || is_late || outcome == AttemptOutcome::TimedOut;
    // The time until an error is no measure of speed.
    let lacks_latency = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Malformed);
    let is_slow = is_slow.filter(|_| !lacks_latency);
    let has_baseline = attempt.conditions.has_concurrent_baseline;
    // Attempts that were in flight when the rollout began were long ones, and would make it look
    // slow.
    let fleet_is_comparable =
        attempt.conditions.comparable_to_baseline && attempt.sent_at >= fleet_baseline.taken_at;
    Some(PerTest::new([
        has_baseline.then_some(is_failure),
        is_slow.filter(|_| has_baseline),
        // Reset connections and malformed responses are also caused by links and peers, and this
        // test may have no concurrent baseline.
        Some(outcome == AttemptOutcome::Failed),
        is_slow.filter(|_| fleet_is_comparable),
    ]))
}

/// Whether the outcome, or the time that it took, counts as evidence at all.
fn is_evidence(evidence: &AttemptEvidence<'_>, is_slow: Option<bool>, stalled: bool) -> bool {
    let AttemptEvidence {
        attempt, outcome, ..
    } = *evidence;
    // A late response is evidence only if the load does not explain it, or if the endpoint has not
    // responded to anything since.
    let is_unexplained = attempt.conditions.warm
        && (is_slow == Some(true) || evidence.endpoint.last_response_at <= attempt.sent_at);
    let is_late = exceeds_time_limit(evidence.latency, evidence.objective);
    let time_counts = outcome.measures_latency() && (is_unexplained || !is_late) && !stalled;
    attempt.conditions.past_start_up && (outcome.is_error() || time_counts)
}
