//! Latency of routes and endpoints: baselines, and how far endpoints, hardware classes and zones
//! deviate from them.

mod estimate;
mod model;
mod route_baselines;
mod zones;

pub(crate) use estimate::{LatencyEstimate, RequestWork};
pub(crate) use model::{BaselineLearning, ClassBaseline, LatencyModel, LatencySample};
