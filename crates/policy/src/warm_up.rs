//! Slow start: how much an instance sends to an endpoint that has just started (rule 4: a warming
//! endpoint gets no more than the configured multiple of its capacity, from all instances
//! together).
//!
//! An instance earns requests for a warming endpoint at this rate:
//!
//! `CAPACITY_SHARE` 0.65 × setting `overload_multiple` × warm-up fraction × requests a second that a
//! warm endpoint of the hardware class serves for this instance
//!
//! - The warm-up fraction rises linearly from the setting `warm_up_start` to 1 over `warm_up_time`.
//!   An endpoint whose start is not listed counts as warm.
//! - While no warm endpoint has been measured, an even part of the arriving requests stands in.
//! - Each instance starts with another fraction of a request, so that they take turns.
//! - At most one request and what is earned in a quarter of `overload_window` are saved up.
//!
//! A request goes to a warming endpoint first (`routing`), as soon as one is earned, if the
//! endpoint's concurrency limit has room, which starts at `WARMING_LIMIT` = 1 and adapts
//! (`admission`), if it is expected to respond within `RESPONSE_TIME_SHARE` = 0.6 of the remaining time
//! times the warm-up fraction, and if rule 5 allows its build.

mod capacity;
mod slow_start;

pub(crate) use slow_start::{SlowStart, warm_up_fraction};
