//! Slow start: how much an instance sends to an endpoint that has just started (rule 4: a warming
//! endpoint gets no more than the configured multiple of its capacity, from all instances
//! together).
//!
//! An instance earns requests for a warming endpoint at this rate, and sends one when it has earned
//! it, the endpoint's concurrency limit has room, and the endpoint is fast enough for the request:
//!
//! 0.65 × overload multiple × warm-up fraction × requests a second that a warm endpoint of the
//! hardware class serves for this instance
//!
//! The warm-up fraction rises from the configured start to 1 over the warm-up time. At most one
//! request and what is earned in a quarter of the overload window are saved up.

mod capacity;
mod slow_start;

pub(crate) use slow_start::{SlowStart, warm_up_fraction};
