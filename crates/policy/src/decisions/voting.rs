//! Voting: which opinion on the build is told to the platform, and when.

use std::time::Duration;

use crate::Balancer;
use crate::balancer::Rollout;
use crate::host::DecisionSink;
use crate::types::{Ballot, RolloutPhase, Vote, whole_micros};
use crate::votes::CastVote;

/// Beyond the told time, an answer to a vote is waited for so long.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// A vote is cast again after so many tenths of its lifetime.
const RENEWAL_TENTHS: u64 = 6;

impl Balancer {
    /// Casts a vote where the standing one is another or lapses soon, gated by chance: all
    /// instances together must not call the platform more often than it takes.
    pub(super) fn cast_vote(&mut self, sink: &mut dyn DecisionSink) {
        let Some(rollout) = self.rollout else { return };
        let now = self.clock.now;
        let answer_time = self.settings.vote_timeout + ANSWER_MARGIN;
        if self
            .voting
            .pending_vote
            .is_some_and(|pending| now < pending.at + answer_time)
        {
            return;
        }
        self.voting.pending_vote = None;
        let ballot = Ballot {
            build: rollout.build,
            stage: rollout.stage,
            vote: self.opinion(rollout),
        };
        let lifetime = whole_micros(self.settings.vote_lifetime);
        let renew_after = Duration::from_micros(lifetime * RENEWAL_TENTHS / 10);
        if self
            .voting
            .is_known(ballot, renew_after, self.settings.vote_lifetime, now)
        {
            return;
        }
        let instances = f64::from(self.settings.instance_count);
        let probability = self.settings.votes_per_second * lifetime as f64 / 2e6 / instances;
        if self.random.rand_float() < probability {
            sink.cast_vote(ballot);
            self.voting.pending_vote = Some(CastVote { ballot, at: now });
        }
    }

    fn opinion(&self, rollout: Rollout) -> Vote {
        let evaluation = &self.evaluation;
        let is_rejected = evaluation.rejected_build == Some(rollout.build);
        let is_canary = rollout.phase == RolloutPhase::Canary;
        if is_rejected && (is_canary || rollout.phase == RolloutPhase::Released) {
            return Vote::RollBack;
        }
        let is_released = evaluation.released_hold == Some((rollout.build, rollout.stage));
        let may_go_on = is_released || !evaluation.score_is_positive;
        let stage_is_over = self.clock.now >= rollout.since + self.settings.min_stage_time;
        if !is_canary {
            Vote::Abstain
        } else if self.settings.automatic_stages {
            if may_go_on { Vote::Abstain } else { Vote::Hold }
        } else if may_go_on && stage_is_over {
            Vote::Advance
        } else {
            Vote::Abstain
        }
    }
}
