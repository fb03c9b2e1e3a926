//! Decaying sums, means and rates, sliding windows, and the formulas of the sequential probability
//! ratio test that compares a build with its baseline. The callers pass in all tunable parameters.

mod arm;
mod decaying_mean;
mod decaying_rate;
mod decaying_sums;
mod evidence_test_map;
mod outcome_counts;
mod scores;
mod sliding_window;
mod sprt;
mod time_constant;

pub use arm::{Arm, Arms, Dispersion, EndpointOutcomes};
pub use decaying_mean::{DecayingMean, WeightedSum};
pub use decaying_rate::DecayingRate;
pub use decaying_sums::DecayingSums;
pub use evidence_test_map::EvidenceTestMap;
pub use outcome_counts::{OutcomeCounts, OutcomeKey};
pub use scores::{ScoreParameters, Scores, TestParameters};
pub use sliding_window::{SlidingWindow, WindowKey};
pub use sprt::{ArmVariances, FailureFrequency, VarianceModel, WaldBounds, sprt_score};
pub use time_constant::TimeConstant;
