//! Checks of the limits from the settings, one function each.

use std::time::Duration;

use tidescale_policy::types::{Ballot, RequestId, Vote};

use super::model::Observer;
use super::observer::StartedAttempt;
use super::violation::Rule;

impl Observer {
    /// Checks that another attempt of the request does not exceed the maximum number.
    pub fn check_max_attempts(&mut self, request: RequestId) {
        let attempts = self.requests[&request].attempts.len();
        let holds = attempts < self.settings.max_attempts;
        self.require(holds, Rule::MaxAttempts, || {
            format!("attempt {attempts} of request {request}")
        });
    }

    /// Checks that the deadline of an attempt is not later than that of its request.
    pub fn check_deadline(&mut self, started: StartedAttempt) {
        let holds = started.deadline <= self.requests[&started.request].deadline;
        self.require(holds, Rule::Deadline, || format!("{started:?}"));
    }

    /// Checks that the retry time sent to a client does not exceed the configured maximum.
    pub fn check_retry_after(&mut self, request: RequestId, retry_after: Duration) {
        let holds = retry_after <= self.settings.max_retry_after;
        self.require(holds, Rule::RetryAfter, || {
            format!("request {request} rejected with a retry time of {retry_after:?}")
        });
    }

    /// Checks that a vote is of a kind that the platform accepts, on the newest build, and the only
    /// one in flight.
    pub fn check_vote(&mut self, ballot: Ballot) {
        let is_allowed = match ballot.vote {
            Vote::Advance => !self.settings.automatic_stages,
            Vote::Hold => self.settings.automatic_stages,
            Vote::RollBack | Vote::Abstain => true,
        };
        let holds = is_allowed && ballot.build == self.rollout.build;
        self.require(holds, Rule::VoteKind, || format!("{ballot:?}"));
        let is_only_vote = !self.vote_pending;
        self.require(is_only_vote, Rule::PendingVote, || format!("{ballot:?}"));
    }
}
