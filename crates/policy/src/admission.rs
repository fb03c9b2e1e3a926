//! Admission: concurrency limits, priorities, and load shedding.
//!
//! A request is served in the order of its priority while fewer attempts are in flight than the
//! concurrency limits allow; it is rejected or failed once it can no longer be answered in time.

mod concurrency_limit;
mod concurrency_limits;
mod load_shedding;
mod priority;

pub(crate) use concurrency_limits::{ConcurrencyLimits, LatencyObservation};
pub(crate) use load_shedding::{Admission, decide_admission};
pub(crate) use priority::{PriorityScale, RequestCost};
