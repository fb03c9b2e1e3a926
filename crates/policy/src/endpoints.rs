//! Table of the endpoints in the endpoint list, and their load.

mod endpoint;
mod load;
mod table;

pub(crate) use endpoint::{Endpoint, EndpointWithClass, Process};
pub(crate) use load::EndpointLoads;
pub(crate) use table::{EndpointTable, EndpointUpdate};
