//! Test harness: runs an instance of the policy in virtual time, builds its input events, and
//! records its decisions as typed values.

mod builders;
mod canary_traffic;
mod decisions;
mod exchange;
mod instance;
mod saved_state;
mod scenario;

pub use builders::{AttemptResultBuilder, EndpointBuilder, RequestBuilder, RolloutStatusBuilder};
pub use canary_traffic::CanaryTraffic;
pub use decisions::{
    Decision, DecisionRecorder, Decisions, RecordedDecision, cancel, fail, first_attempt,
    health_check, hold_vote, reject, rollback_vote, second_attempt,
};
pub use exchange::Exchange;
pub use instance::{Instance, attempt_id};
pub use saved_state::SavedState;
pub use scenario::{
    BASELINE, CANDIDATE, CLIENT_DEADLINE, IDEMPOTENCY_KEY, IDEMPOTENT, NOT_IDEMPOTENT, START,
    list_canary_fleet, list_endpoints, millis, settings, single_stage_settings,
};
