//! Accumulators, and the formulas of the sequential test. All tunable parameters are passed in by
//! the callers.

mod arm;
mod decaying_mean;
mod decaying_rate;
mod decaying_sums;
mod outcome_counts;
mod per_test;
mod sequential_test;
mod sliding_window;
mod sprt;
mod time_constant;

pub use arm::{Arm, Arms, Dispersion, EndpointOutcomes};
pub use decaying_mean::{DecayingMean, WeightedSum};
pub use decaying_rate::DecayingRate;
pub use decaying_sums::DecayingSums;
pub use outcome_counts::{OutcomeCounts, OutcomeKey};
pub use per_test::PerTest;
pub use sequential_test::{ScoreParameters, Scores, TestParameters};
pub use sliding_window::{SlidingWindow, WindowKey};
pub use sprt::{ArmVariances, Rarity, VarianceModel, WaldBounds, sprt_score};
pub use time_constant::TimeConstant;
