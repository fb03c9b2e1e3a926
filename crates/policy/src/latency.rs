//! Latency of requests: baselines by route, and slowdowns of endpoints, hardware classes and zones
//! relative to them.

mod estimate;
mod model;
mod route_baselines;
mod zones;

pub(crate) use estimate::{LatencyEstimate, RequestWork};
pub(crate) use model::{BaselineLearning, ClassBaseline, LatencyModel, LatencySample};
