//! Slow start: how much an instance sends to an endpoint that has just started (rule 4: a warming
//! endpoint gets no more than the configured multiple of its capacity, from all instances
//! together).

mod capacity;
mod slow_start;

pub(crate) use slow_start::{SlowStart, warm_up_fraction};
