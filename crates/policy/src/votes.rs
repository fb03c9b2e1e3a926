//! What the platform has of this instance's votes.

use std::time::Duration;

use crate::types::{Ballot, Timestamp, Vote, VoteResult};

/// A vote and when it was cast, or when it began to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CastVote {
    /// What was voted.
    pub ballot: Ballot,
    /// When.
    pub at: Timestamp,
}

/// What the platform has of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VotingState {
    /// The vote that counts.
    pub standing_vote: CastVote,
    /// The vote that has no answer yet.
    pub pending_vote: Option<CastVote>,
}

impl VotingState {
    /// Of an instance that starts now and has voted on nothing.
    pub fn new(now: Timestamp) -> Self {
        let ballot = Ballot {
            build: 0,
            stage: 0,
            vote: Vote::Abstain,
        };
        VotingState {
            standing_vote: CastVote { ballot, at: now },
            pending_vote: None,
        }
    }

    /// The platform knows this opinion: the standing vote says so and was cast less than
    /// `renew_after` ago, or there is nothing to take back.
    pub(crate) fn is_known(
        &self,
        ballot: Ballot,
        renew_after: Duration,
        lifetime: Duration,
        now: Timestamp,
    ) -> bool {
        let CastVote {
            ballot: standing,
            at,
        } = self.standing_vote;
        let same_build = standing.build == ballot.build;
        let has_lapsed = !same_build || now >= at + lifetime;
        if ballot.vote == Vote::Abstain && (standing.vote == Vote::Abstain || has_lapsed) {
            return true;
        }
        let same_stage = standing.stage == ballot.stage || ballot.vote == Vote::RollBack;
        let same_vote = same_build && same_stage && standing.vote == ballot.vote;
        same_vote && now < at + renew_after
    }

    /// Takes the platform's answer to the pending vote.
    pub(crate) fn settle(&mut self, result: VoteResult, now: Timestamp) {
        let Some(pending) = self.pending_vote.take() else {
            return;
        };
        match result {
            VoteResult::Accepted => {
                let ballot = pending.ballot;
                self.standing_vote = CastVote { ballot, at: now };
            }
            // It may count: nothing is held to it, so that it is cast again.
            VoteResult::Unknown => self.standing_vote.ballot.vote = Vote::Abstain,
            VoteResult::Superseded | VoteResult::Busy | VoteResult::Failed => {}
        }
    }
}
