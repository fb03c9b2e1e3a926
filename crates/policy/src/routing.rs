//! Routing: selects the endpoint for each attempt.

mod candidates;
mod selector;

pub(crate) use selector::{EndpointSelector, RoutingInputs};
