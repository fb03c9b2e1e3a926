//! Votes: which vote on the build is sent to the platform, and when.

use std::time::Duration;

use super::evaluator::Assessment;
use super::status::Rollout;
use crate::settings::Settings;
use crate::step_context::StepContext;
use crate::types::{
    Ballot, BuildNumber, RolloutPhase, StageIndex, Timestamp, Vote, VoteResult, whole_micros,
};

/// The response to a vote is awaited for this much longer than the platform's time limit.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// A vote is renewed after this number of tenths of its lifetime.
const RENEWAL_TENTHS: u64 = 6;
/// Votes are spread over half of their lifetime, in microseconds.
const SPREAD_DIVISOR: f64 = 2e6;

/// A vote, and when it was cast or accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CastVote {
    ballot: Ballot,
    at: Timestamp,
}

/// Decides when to vote, and keeps what the platform knows of this instance's votes.
#[derive(Debug)]
pub(crate) struct VoteScheduler {
    /// The vote that counts.
    standing_vote: CastVote,
    /// The vote that has no response yet.
    pending_vote: Option<CastVote>,
}

impl VoteScheduler {
    /// Of an instance that starts now and has not voted.
    pub(crate) fn new(now: Timestamp) -> VoteScheduler {
        let ballot = Ballot {
            build: BuildNumber::default(),
            stage: StageIndex::default(),
            vote: Vote::Abstain,
        };
        VoteScheduler {
            standing_vote: CastVote { ballot, at: now },
            pending_vote: None,
        }
    }

    /// Returns a vote to be cast if the standing one differs or will lapse soon. Votes are cast at
    /// random, so that all instances together do not send more than the platform takes.
    pub(crate) fn next_vote(
        &mut self,
        rollout: Rollout,
        assessment: Assessment,
        context: &mut StepContext,
    ) -> Option<Ballot> {
        let now = context.now;
        if self.awaits_response(&context.settings, now) {
            return None;
        }
        self.pending_vote = None;
        let ballot = Ballot {
            build: rollout.build,
            stage: rollout.stage,
            vote: desired_vote(rollout, assessment, context),
        };
        if self.is_redundant(ballot, &context.settings, now) {
            return None;
        }
        if context.random.rand_float() >= vote_probability(&context.settings) {
            return None;
        }
        self.pending_vote = Some(CastVote { ballot, at: now });
        Some(ballot)
    }

    fn awaits_response(&self, settings: &Settings, now: Timestamp) -> bool {
        let response_time = settings.vote_timeout + RESPONSE_MARGIN;
        self.pending_vote
            .is_some_and(|pending| now < pending.at + response_time)
    }

    /// The platform knows this vote: the standing vote is equal and need not be renewed
    /// yet, or there is no vote to withdraw.
    fn is_redundant(&self, ballot: Ballot, settings: &Settings, now: Timestamp) -> bool {
        let CastVote {
            ballot: standing,
            at,
        } = self.standing_vote;
        let same_build = standing.build == ballot.build;
        let has_expired = !same_build || now >= at + settings.vote_lifetime;
        if ballot.vote == Vote::Abstain && (standing.vote == Vote::Abstain || has_expired) {
            return true;
        }
        let same_stage = standing.stage == ballot.stage || ballot.vote == Vote::RollBack;
        let same_vote = same_build && same_stage && standing.vote == ballot.vote;
        same_vote && now < at + renewal_time(settings)
    }

    /// Records the platform's response to the pending vote.
    pub(crate) fn record_result(&mut self, result: VoteResult, now: Timestamp) {
        let Some(pending) = self.pending_vote.take() else {
            return;
        };
        match result {
            VoteResult::Accepted => {
                let ballot = pending.ballot;
                self.standing_vote = CastVote { ballot, at: now };
            }
            // The vote may count or not, so it is cast again.
            VoteResult::Unknown => self.standing_vote.ballot.vote = Vote::Abstain,
            VoteResult::Superseded | VoteResult::Busy | VoteResult::Failed => {}
        }
    }
}

/// After this time an accepted vote is cast again.
fn renewal_time(settings: &Settings) -> Duration {
    Duration::from_micros(whole_micros(settings.vote_lifetime) * RENEWAL_TENTHS / 10)
}

/// The probability of casting a due vote in one evaluation.
fn vote_probability(settings: &Settings) -> f64 {
    let instances = f64::from(settings.instance_count);
    let lifetime = whole_micros(settings.vote_lifetime) as f64;
    settings.votes_per_second * lifetime / SPREAD_DIVISOR / instances
}

/// This instance's vote on the newest build.
fn desired_vote(rollout: Rollout, assessment: Assessment, context: &StepContext) -> Vote {
    let is_canary = rollout.phase == RolloutPhase::Canary;
    let may_be_rolled_back = is_canary || rollout.phase == RolloutPhase::Released;
    if assessment.is_rejected && may_be_rolled_back {
        return Vote::RollBack;
    }
    let stage_is_over = context.now >= rollout.since + context.settings.min_stage_time;
    let may_advance = assessment.may_advance;
    if !is_canary {
        Vote::Abstain
    } else if context.settings.automatic_stages {
        if may_advance {
            Vote::Abstain
        } else {
            Vote::Hold
        }
    } else if may_advance && stage_is_over {
        Vote::Advance
    } else {
        Vote::Abstain
    }
}
