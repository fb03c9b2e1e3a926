//! Decides which vote on the newest build is sent to the platform, and when.

use std::time::Duration;

use super::evaluator::Assessment;
use super::status::Rollout;
use crate::settings::Settings;
use crate::step_context::StepContext;
use crate::types::{
    Ballot, BuildNumber, RolloutPhase, StageIndex, Timestamp, Vote, VoteResult, whole_micros,
};

/// A pending vote is given up if no response has arrived this long after the vote timeout.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// An accepted vote is cast again after this many tenths of its lifetime, before it expires.
const RENEWAL_TENTHS_OF_LIFETIME: u64 = 6;
/// Divisor that turns a vote's lifetime in microseconds into half the lifetime in seconds. The
/// votes of all instances are spread over time so that one evaluation yields, on average, no more
/// votes than the platform accepts in half the lifetime of a vote.
const HALF_LIFETIME_DIVISOR: f64 = 2e6;

/// A vote that has been sent to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CastVote {
    ballot: Ballot,
    /// When a pending vote was sent, or a standing vote was accepted.
    at: Timestamp,
}

/// Decides when to vote, and tracks the votes that the platform has accepted from this instance.
#[derive(Debug)]
pub(crate) struct VoteScheduler {
    /// The vote that the platform counts, according to its responses to this instance.
    standing_vote: CastVote,
    /// The vote that awaits a response.
    pending_vote: Option<CastVote>,
}

impl VoteScheduler {
    /// Creates the scheduler of an instance that starts now and has not voted.
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

    /// Returns the vote to cast if the standing vote differs from it or will expire soon. Votes are
    /// cast at random times, so that all instances together stay within the platform's vote rate.
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

    /// Returns whether the ballot need not be cast: the standing vote is equal and not yet due for
    /// renewal, or there is no vote to withdraw.
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
            // It is unknown whether the platform has counted the vote, so it is cast again.
            VoteResult::Unknown => self.standing_vote.ballot.vote = Vote::Abstain,
            VoteResult::Superseded | VoteResult::Busy | VoteResult::Failed => {}
        }
    }
}

/// Returns the time after which an accepted vote is cast again.
fn renewal_time(settings: &Settings) -> Duration {
    Duration::from_micros(whole_micros(settings.vote_lifetime) * RENEWAL_TENTHS_OF_LIFETIME / 10)
}

/// Returns the probability with which an instance casts a due vote in one evaluation.
fn vote_probability(settings: &Settings) -> f64 {
    let instances = f64::from(settings.instance_count);
    let lifetime_micros = whole_micros(settings.vote_lifetime) as f64;
    settings.votes_per_second * lifetime_micros / HALF_LIFETIME_DIVISOR / instances
}

/// Returns how this instance should vote on the newest build.
fn desired_vote(rollout: Rollout, assessment: Assessment, context: &StepContext) -> Vote {
    let is_canary = rollout.phase == RolloutPhase::Canary;
    let may_be_rolled_back = is_canary || rollout.phase == RolloutPhase::Released;
    if assessment.is_rejected && may_be_rolled_back {
        return Vote::RollBack;
    }
    let min_stage_time_has_passed = context.now >= rollout.since + context.settings.min_stage_time;
    let may_advance = assessment.may_advance;
    if !is_canary {
        Vote::Abstain
    } else if context.settings.automatic_stages {
        if may_advance {
            Vote::Abstain
        } else {
            Vote::Hold
        }
    } else if may_advance && min_stage_time_has_passed {
        Vote::Advance
    } else {
        Vote::Abstain
    }
}
