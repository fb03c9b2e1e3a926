//! The rollout of a new build: collecting evidence about it, evaluating it by sequential tests,
//! limiting the traffic that it gets (rule 5), and voting on it.

mod attempt_conditions;
mod evaluator;
mod evidence;
mod exposure;
mod fleet_baseline;
mod fleet_view;
mod outcome_table;
mod parameters;
mod status;
mod verdict;
mod voting;

pub(crate) use attempt_conditions::{AttemptTarget, attempt_conditions};
pub(crate) use evaluator::{Evaluator, FlaggedResponse};
pub(crate) use evidence::{AttemptEvidence, EndpointObservation};
pub(crate) use exposure::ExposureLimiter;
pub(crate) use fleet_baseline::{FleetBaseline, FleetComparison, FleetState};
pub(crate) use fleet_view::FleetView;
pub use status::Rollout;
pub(crate) use status::{RolloutTracker, RolloutView};
pub(crate) use voting::VoteScheduler;
