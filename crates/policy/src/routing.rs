//! Routing: which endpoint an attempt is sent to.

mod candidates;
mod selector;

pub(crate) use selector::{EndpointSelector, RoutingInputs};
