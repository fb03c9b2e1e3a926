//! Formulas and accumulators of the evaluation, without any tuned value of their own: all
//! parameters are passed in.

mod arm;
mod decaying_sums;
mod outcome_counts;
mod sequential_test;
mod sliding_window;
mod sprt;

pub use arm::{Arm, EndpointShare};
pub use decaying_sums::DecayingSums;
pub use outcome_counts::{CountKey, OutcomeCounts};
pub use sequential_test::{Arms, ScoreParameters, Scores, TestParameters};
pub use sliding_window::{SlidingWindow, WindowKey};
pub use sprt::{ArmVariances, Rarity, VarianceModel, WaldBounds, sprt_score};
