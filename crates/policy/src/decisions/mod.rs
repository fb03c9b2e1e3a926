//! Every decision of an instance, and the values tuned for them. What is recorded, counted or
//! looked up stands outside, with tuned values passed in from here; limits on concurrency and the
//! health of endpoints have modules of their own.

mod admission;
mod evaluation;
mod evidence;
mod guards;
mod retries;
mod routing;
mod step;
mod voting;

pub(crate) use evaluation::{ALPHA, BETA, EVIDENCE_PARAMETERS};
pub(crate) use evidence::{CLASS_PRIOR, START_UP_TIME};
pub(crate) use step::EVALUATION_INTERVAL;
pub use step::SWEEP_INTERVAL;

use crate::endpoints::DecayTimes;

/// How fast what was learned of endpoints fades.
pub(crate) const DECAY_TIMES: DecayTimes = DecayTimes {
    rates: 5e6,
    baselines: 30e6,
    latency_ratios: 1e6,
};
/// Answers that are needed to know what is usual.
pub(crate) const MIN_LATENCY_ANSWERS: f64 = 5.0;
/// How fast an endpoint's own report gives way to the mean of its class, in microseconds.
pub(crate) const LOAD_REPORT_DECAY_TIME: f64 = 1e6;
