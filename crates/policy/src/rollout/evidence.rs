//! Decides which outcomes of attempts are evidence about a build, and which of them are failures.
//!
//! An outcome is evidence unless it can be explained by something other than the build: by the
//! start-up or the load of the endpoint, by a stall of this instance, or by a crash that has been
//! counted already.

use std::time::Duration;

use super::fleet_baseline::FleetBaseline;
use crate::indexed_table::IndexedTable;
use crate::latency::ClassBaseline;
use crate::requests::Attempt;
use crate::retries::exceeds_time_limit;
use crate::statistics::EvidenceTestMap;
use crate::step_context::StepContext;
use crate::types::{AttemptOutcome, EndpointIndex, Timestamp, fractional_micros};

/// A response is slow if its latency exceeds both the baseline latency of its hardware class times
/// this factor, and the baseline latency scaled to the endpoint's load times [`LOAD_FACTOR`].
const SLOW_FACTOR: f64 = 2.0;
/// A response is slow only if its latency exceeds the baseline latency scaled to the endpoint's
/// load times this factor.
const LOAD_FACTOR: f64 = 1.35;
/// Connection resets at an endpoint within this time after a crash are attributed to that crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// An attempt that has ended or timed out.
#[derive(Debug)]
pub(crate) struct AttemptEvidence<'a> {
    pub(crate) attempt: &'a Attempt,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) latency: Duration,
    /// The latency objective of the route.
    pub(crate) objective: Duration,
    pub(crate) endpoint: EndpointObservation,
}

/// The state of an attempt's endpoint at the time when the attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointObservation {
    /// Number of requests in flight at the endpoint.
    pub(crate) load: f64,
    /// Baseline latency of the request on the endpoint's hardware class, if known.
    pub(crate) class_baseline: Option<ClassBaseline>,
    /// A lower bound on the fraction of its full capacity that the endpoint has reached.
    pub(crate) warm_up_fraction: f64,
    /// When the endpoint last responded to any request.
    pub(crate) last_response_at: Timestamp,
}

/// Returns whether an attempt was slow, or `None` if the baseline latency is unknown.
fn is_slow(evidence: &AttemptEvidence<'_>) -> Option<bool> {
    let endpoint = &evidence.endpoint;
    let load_when_sent = evidence.attempt.conditions.endpoint_load;
    let load = 1.0 + load_when_sent.max(endpoint.load);
    let baseline = endpoint.class_baseline?;
    let baseline_micros = baseline.latency.as_micros() / endpoint.warm_up_fraction;
    let factor = SLOW_FACTOR.max(LOAD_FACTOR * load / baseline.load);
    Some(fractional_micros(evidence.latency) > baseline_micros * factor)
}

/// Deduplicates crashes of endpoints: a crash counts as one failure, however many attempts were in
/// flight at the endpoint. Repeated crashes of a build are still counted.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    last_crash_at: IndexedTable<EndpointIndex, Timestamp>,
}

impl CrashTracker {
    /// Initializes the state of an endpoint that has been assigned this index.
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

/// Returns for each test whether the attempt is a failure, with `None` for tests in which it is not
/// evidence. Returns `None` if it is not evidence in any test.
pub(super) fn classify_attempt(
    evidence: &AttemptEvidence<'_>,
    crashes: &mut CrashTracker,
    fleet_baseline: &FleetBaseline,
    context: &StepContext,
) -> Option<EvidenceTestMap<Option<bool>>> {
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
    // The latency of an error response does not measure the speed of the build.
    let lacks_latency = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Malformed);
    let is_slow = is_slow.filter(|_| !lacks_latency);
    let other_arm_in_service = attempt.conditions.other_arm_in_service;
    // Attempts that were in flight when the rollout began are long ones, and counting them would
    // make the fleet look slower than its baseline.
    let fleet_is_comparable =
        attempt.conditions.comparable_to_baseline && attempt.sent_at >= fleet_baseline.taken_at;
    Some(EvidenceTestMap::new([
        other_arm_in_service.then_some(is_failure),
        is_slow.filter(|_| other_arm_in_service),
        // Connection resets and malformed responses can also be caused by the network or by a peer.
        // They are not errors here, because this test may run without a concurrent baseline.
        Some(outcome == AttemptOutcome::Failed),
        is_slow.filter(|_| fleet_is_comparable),
    ]))
}

/// Returns whether the outcome of an attempt, or its latency, is evidence in any test.
fn is_evidence(evidence: &AttemptEvidence<'_>, is_slow: Option<bool>, stalled: bool) -> bool {
    let AttemptEvidence {
        attempt, outcome, ..
    } = *evidence;
    // A late response is evidence only if the load does not explain its latency, or if the endpoint
    // has not responded to any request since the attempt was sent.
    let is_unexplained = attempt.conditions.warm
        && (is_slow == Some(true) || evidence.endpoint.last_response_at <= attempt.sent_at);
    let is_late = exceeds_time_limit(evidence.latency, evidence.objective);
    let latency_counts = outcome.measures_latency() && (is_unexplained || !is_late) && !stalled;
    attempt.conditions.past_start_up && (outcome.is_error() || latency_counts)
}
