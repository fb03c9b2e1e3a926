//! The decisions of the policy as typed records.

use std::time::Duration;

use tidescale_policy::host::DecisionSink;
use tidescale_policy::types::{
    AttemptId, AttemptIndex, Ballot, BuildNumber, RequestId, RollbackVerdict, StageIndex,
    Timestamp, Vote,
};

use super::CANDIDATE;

/// One decision, without its deadline or retry time; see [`RecordedDecision`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    StartAttempt {
        attempt: AttemptId,
        endpoint: String,
    },
    CancelAttempt {
        attempt: AttemptId,
    },
    RejectRequest {
        request: RequestId,
    },
    FailRequest {
        request: RequestId,
    },
    CastVote {
        ballot: Ballot,
    },
    StartHealthCheck {
        endpoint: String,
    },
    PollEndpoints,
}

fn attempt(request: u64, index: usize, endpoint: &str) -> Decision {
    Decision::StartAttempt {
        attempt: AttemptId::new(RequestId::new(request), AttemptIndex::new(index)),
        endpoint: endpoint.into(),
    }
}

pub fn first_attempt(request: u64, endpoint: &str) -> Decision {
    attempt(request, 0, endpoint)
}

pub fn second_attempt(request: u64, endpoint: &str) -> Decision {
    attempt(request, 1, endpoint)
}

/// Returns the cancellation of the first attempt of a request.
pub fn cancel(request: u64) -> Decision {
    Decision::CancelAttempt {
        attempt: AttemptId::new(RequestId::new(request), AttemptIndex::new(0)),
    }
}

pub fn reject(request: u64) -> Decision {
    Decision::RejectRequest {
        request: RequestId::new(request),
    }
}

pub fn fail(request: u64) -> Decision {
    Decision::FailRequest {
        request: RequestId::new(request),
    }
}

pub fn health_check(endpoint: &str) -> Decision {
    Decision::StartHealthCheck {
        endpoint: endpoint.into(),
    }
}

/// Returns a vote to roll the candidate back from its first stage.
pub fn rollback_vote() -> Decision {
    vote(Vote::RollBack)
}

/// Returns a vote to hold the candidate at its first stage.
pub fn hold_vote() -> Decision {
    vote(Vote::Hold)
}

fn vote(vote: Vote) -> Decision {
    Decision::CastVote {
        ballot: Ballot {
            build: BuildNumber::new(CANDIDATE),
            stage: StageIndex::new(0),
            vote,
        },
    }
}

/// Decisions in the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions(Vec<Decision>);

impl Decisions {
    pub fn append(&mut self, mut later: Decisions) {
        self.0.append(&mut later.0);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn contains(&self, decision: &Decision) -> bool {
        self.0.contains(decision)
    }

    /// Returns the number of decisions equal to this one.
    pub fn count(&self, decision: &Decision) -> usize {
        self.0.iter().filter(|other| *other == decision).count()
    }

    /// Returns the decisions for which the condition holds.
    pub fn filtered(&self, condition: impl Fn(&Decision) -> bool) -> Decisions {
        let matching = self.0.iter().filter(|decision| condition(decision));
        Decisions(matching.cloned().collect())
    }

    /// Returns the request and the endpoint of each started attempt.
    pub fn attempts(&self) -> impl Iterator<Item = (RequestId, &str)> {
        self.0.iter().filter_map(|decision| match decision {
            Decision::StartAttempt { attempt, endpoint } => {
                Some((attempt.request, endpoint.as_str()))
            }
            _ => None,
        })
    }

    pub fn attempt_count(&self) -> usize {
        self.attempts().count()
    }

    /// Returns the number of attempts of a request.
    pub fn attempts_of(&self, request: u64) -> usize {
        let request = RequestId::new(request);
        self.attempts().filter(|(id, _)| *id == request).count()
    }

    /// Returns the number of attempts at endpoints whose names start with `prefix`.
    pub fn attempts_at(&self, prefix: &str) -> usize {
        let attempts = self.attempts();
        attempts
            .filter(|(_, name)| name.starts_with(prefix))
            .count()
    }

    /// Returns the number of health checks of endpoints whose names start with `prefix`.
    pub fn health_checks_of(&self, prefix: &str) -> usize {
        let is_match = |decision: &&Decision| match decision {
            Decision::StartHealthCheck { endpoint } => endpoint.starts_with(prefix),
            _ => false,
        };
        self.0.iter().filter(is_match).count()
    }

    /// Returns the votes cast.
    pub fn votes(&self) -> impl Iterator<Item = Vote> {
        self.0.iter().filter_map(|decision| match decision {
            Decision::CastVote { ballot } => Some(ballot.vote),
            _ => None,
        })
    }
}

impl<const LENGTH: usize> PartialEq<[Decision; LENGTH]> for Decisions {
    fn eq(&self, expected: &[Decision; LENGTH]) -> bool {
        self.0 == expected
    }
}

/// A decision with the deadline or retry time that was passed to the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedDecision {
    pub decision: Decision,
    /// Deadline of an attempt or a health check.
    pub deadline: Option<Timestamp>,
    /// Retry time sent with a rejected request.
    pub retry_after: Option<Duration>,
}

impl From<Decision> for RecordedDecision {
    fn from(decision: Decision) -> RecordedDecision {
        RecordedDecision {
            decision,
            deadline: None,
            retry_after: None,
        }
    }
}

/// A decision sink that records the decisions of a step.
#[derive(Debug, Default)]
pub struct DecisionRecorder {
    pub recorded: Vec<RecordedDecision>,
}

impl DecisionRecorder {
    pub fn into_decisions(self) -> Decisions {
        let recorded = self.recorded.into_iter();
        Decisions(recorded.map(|recorded| recorded.decision).collect())
    }

    fn record(&mut self, decision: Decision) {
        self.recorded.push(decision.into());
    }

    fn record_with_deadline(&mut self, decision: Decision, deadline: Timestamp) {
        self.recorded.push(RecordedDecision {
            deadline: Some(deadline),
            ..decision.into()
        });
    }
}

impl DecisionSink for DecisionRecorder {
    fn start_attempt(&mut self, attempt: AttemptId, endpoint: &str, deadline: Timestamp) {
        let endpoint = endpoint.into();
        self.record_with_deadline(Decision::StartAttempt { attempt, endpoint }, deadline);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.record(Decision::CancelAttempt { attempt });
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Duration) {
        self.recorded.push(RecordedDecision {
            retry_after: Some(retry_after),
            ..Decision::RejectRequest { request }.into()
        });
    }

    fn fail_request(&mut self, request: RequestId) {
        self.record(Decision::FailRequest { request });
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        self.record(Decision::CastVote { ballot });
    }

    fn start_health_check(&mut self, endpoint: &str, deadline: Timestamp) {
        let endpoint = endpoint.into();
        self.record_with_deadline(Decision::StartHealthCheck { endpoint }, deadline);
    }

    fn poll_endpoints(&mut self) {
        self.record(Decision::PollEndpoints);
    }

    fn schedule_wake_up(&mut self, _after: Duration) {}

    fn report_rollback_verdict(&mut self, _verdict: &RollbackVerdict) {}
}
