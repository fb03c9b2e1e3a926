//! The conditions under which an attempt is sent. They determine which tests may use its outcome.

use std::time::Duration;

use super::fleet_baseline::FleetState;
use crate::endpoints::Endpoint;
use crate::requests::AttemptConditions;
use crate::step_context::StepContext;

/// Attempts that are sent to an endpoint within this time after its start are not used as evidence.
pub(super) const START_UP_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// The endpoint to which an attempt is sent.
#[derive(Debug)]
pub(crate) struct AttemptTarget<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// Number of requests in flight at the endpoint.
    pub(crate) load: f64,
}

/// Returns the conditions of an attempt that is sent now.
pub(crate) fn attempt_conditions(
    target: &AttemptTarget<'_>,
    fleet: &FleetState<'_>,
    comparable_to_baseline: bool,
    context: &StepContext,
) -> AttemptConditions {
    let endpoint = target.endpoint;
    let is_candidate = fleet
        .rollout
        .is_some_and(|rollout| endpoint.build() >= rollout.build);
    let other_arm_count = if is_candidate {
        fleet.in_service.baseline
    } else {
        fleet.in_service.candidate
    };
    let has_run_for = |time| has_run_for(endpoint, time, context);
    AttemptConditions {
        past_start_up: has_run_for(START_UP_GRACE_PERIOD),
        warm: has_run_for(START_UP_GRACE_PERIOD.max(context.settings.warm_up_time)),
        endpoint_load: target.load,
        other_arm_in_service: other_arm_count > 0,
        comparable_to_baseline,
    }
}

/// Returns whether the process of an endpoint has run for at least `time`. A start time that is not
/// listed counts as long ago.
fn has_run_for(endpoint: &Endpoint, time: Duration, context: &StepContext) -> bool {
    endpoint
        .process
        .started_at
        .is_none_or(|started_at| context.now - started_at >= time)
}
