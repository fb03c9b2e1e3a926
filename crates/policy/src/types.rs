//! Types that the policy and its host exchange: identifiers, timestamps, requests and their
//! outcomes, the endpoint list, the rollout, votes and verdicts.

mod endpoint;
mod ids;
mod request;
mod rollout;
mod time;
mod verdict;
mod vote;

pub use endpoint::{EndpointEntry, EndpointState, LoadReport};
pub use ids::{
    AttemptId, AttemptIndex, BuildNumber, EndpointIndex, HardwareClassIndex, RequestId, RouteIndex,
    StageIndex,
};
pub use request::{AttemptOutcome, AttemptResult, IncomingRequest};
pub use rollout::{RolloutPhase, RolloutStatus};
pub use time::{Timestamp, fractional_micros, whole_micros};
pub use verdict::{EvidenceTest, FailureCounts, RollbackVerdict};
pub use vote::{Ballot, Vote, VoteResult};
