//! Admission: concurrency limits, priorities, and load shedding.
//!
//! Requests are served in order of priority as long as the number of attempts in flight is below
//! the concurrency limits. A request that can no longer be answered in time is rejected or failed.

mod concurrency_limit;
mod concurrency_limits;
mod load_shedding;
mod priority;

pub(crate) use concurrency_limits::{ConcurrencyLimits, LatencyObservation};
pub(crate) use load_shedding::{Admission, decide_admission, retry_after};
pub(crate) use priority::{CostAndValue, PriorityScale};
