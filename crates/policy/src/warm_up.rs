//! Slow start: limits how many requests an instance sends to a recently started endpoint (rule 4:
//! all instances together send a warming endpoint no more than the configured multiple of its
//! capacity).
//!
//! An instance accrues credit, counted in requests, for a warming endpoint at this rate:
//!
//! `CAPACITY_SHARE` 0.65 × setting `overload_multiple` × warm-up fraction × requests per second
//! that a warm endpoint of the hardware class serves for this instance
//!
//! - The warm-up fraction rises linearly from the setting `warm_up_start` to 1 over `warm_up_time`.
//!   An endpoint whose start time is not listed counts as warm.
//! - Until the rate of a warm endpoint has been measured, the arriving requests divided by the
//!   number of ready endpoints are used instead.
//! - Each instance starts with a different fraction of a request, so that their first requests are
//!   staggered.
//! - The credit is capped at one request plus the amount accrued in a quarter of `overload_window`.
//!
//! Routing prefers a warming endpoint to warm ones (`routing`) if all of these conditions hold:
//!
//! - The credit covers at least one request.
//! - The concurrency limit of the endpoint, which starts at `WARMING_LIMIT` = 1 and adapts, allows
//!   another attempt (`admission`).
//! - The expected latency is below `RESPONSE_TIME_SHARE` = 0.6 of the remaining time, multiplied by
//!   the warm-up fraction.
//! - The limit on traffic to builds under evaluation (rule 5, `rollout`) allows an attempt at its
//!   build.

mod capacity;
mod slow_start;

pub(crate) use slow_start::{SlowStart, warm_up_fraction};
