//! The platform: it brings a build in by stages, counts the votes, and rolls back or releases.

use std::collections::BTreeMap;
use std::time::Duration;

use tidescale_policy::types::{Ballot, RolloutPhase, Timestamp, Vote, VoteResult};

use crate::case::{FleetSize, RollbackTrigger};
use crate::events::{Event, RolloutAnnouncement};
use crate::fleet::Fleet;
use crate::network::Network;
use crate::parameters::{
    ANNOUNCEMENT_INTERVAL, BASELINE_BUILD, CANDIDATE_BUILD, HOLD_VOTE_SHARE,
    INSTANCES_PER_ROLLBACK_VOTE, STAGE_CAPS, STAGE_ENDPOINTS, STAGE_TIME, START, TICK,
    VOTE_LIFETIME, candidate_offered_at,
};

/// Rollback votes that are needed: one for each thirty instances, at least one.
pub(crate) fn rollback_votes(size: FleetSize) -> usize {
    size.instances.div_ceil(INSTANCES_PER_ROLLBACK_VOTE)
}

/// A vote that counts until it expires.
struct CountedVote {
    vote: Vote,
    stage: u32,
    expires_at: Timestamp,
}

/// What the platform acts on.
pub(crate) struct PlatformContext<'a> {
    /// The present time.
    pub(crate) now: Timestamp,
    /// The endpoints that it replaces.
    pub(crate) fleet: &'a mut Fleet,
    /// Where it announces the rollout's state.
    pub(crate) network: &'a mut Network,
}

/// The rollout of the candidate. Before the candidate is offered, the baseline is the newest build, and released.
pub(crate) struct Rollout {
    trigger: RollbackTrigger,
    stage: u32,
    phase: RolloutPhase,
    /// When stage and phase began.
    since: Timestamp,
    /// Time spent at the stage with its endpoints running and nobody holding it.
    stage_progress: Duration,
    announced_at: Timestamp,
    /// By instance, its last vote.
    votes: BTreeMap<usize, CountedVote>,
    rollback_votes_needed: usize,
    hold_votes_needed: usize,
    rolled_back_after: Option<Duration>,
    released_after: Option<Duration>,
    held_time: Duration,
}

impl Rollout {
    /// The baseline serves everywhere.
    pub(crate) fn new(size: FleetSize, trigger: RollbackTrigger) -> Rollout {
        Rollout {
            trigger,
            stage: 0,
            phase: RolloutPhase::Released,
            since: START,
            stage_progress: Duration::ZERO,
            announced_at: Timestamp::ZERO,
            votes: BTreeMap::new(),
            rollback_votes_needed: rollback_votes(size),
            hold_votes_needed: (HOLD_VOTE_SHARE * size.instances as f64).ceil() as usize,
            rolled_back_after: None,
            released_after: None,
            held_time: Duration::ZERO,
        }
    }

    /// Time from the offer to the rollback.
    pub(crate) fn rolled_back_after(&self) -> Option<Duration> {
        self.rolled_back_after
    }

    /// Time from the offer to the release.
    pub(crate) fn released_after(&self) -> Option<Duration> {
        self.released_after
    }

    /// How long votes have held a stage.
    pub(crate) fn held_time(&self) -> Duration {
        self.held_time
    }

    /// One tick of the platform.
    pub(crate) fn step(&mut self, context: &mut PlatformContext) {
        let now = context.now;
        if now == candidate_offered_at() {
            self.begin_stage(0, context);
        }
        self.votes.retain(|_, vote| vote.expires_at > now);
        if self.must_roll_back(now) {
            self.roll_back(context);
        } else if self.phase == RolloutPhase::Canary && !context.fleet.has_starting() {
            self.advance(context);
        } else if now >= self.announced_at + ANNOUNCEMENT_INTERVAL {
            self.announce(context);
        }
    }

    /// Takes an instance's vote, and says whether it counts: a rollback vote at any stage, others at the present one.
    pub(crate) fn take_vote(
        &mut self,
        instance: usize,
        ballot: Ballot,
        now: Timestamp,
    ) -> VoteResult {
        let stage_matches = ballot.vote == Vote::RollBack || ballot.stage.get() == self.stage;
        if ballot.build.get() != newest_build(now) || !stage_matches {
            return VoteResult::Superseded;
        }
        self.count_vote(instance, ballot.vote, ballot.stage.get(), now);
        VoteResult::Accepted
    }

    /// An attempt at the candidate has failed, which is a rollback vote where the first failure triggers one.
    pub(crate) fn on_candidate_failure(&mut self, instance: usize, now: Timestamp) {
        if self.trigger == RollbackTrigger::FirstFailure {
            self.count_vote(instance, Vote::RollBack, self.stage, now);
        }
    }

    fn count_vote(&mut self, instance: usize, vote: Vote, stage: u32, now: Timestamp) {
        let vote = CountedVote {
            vote,
            stage,
            expires_at: now + VOTE_LIFETIME,
        };
        self.votes.insert(instance, vote);
    }

    fn heeds_votes(&self) -> bool {
        self.trigger != RollbackTrigger::Never
    }

    fn must_roll_back(&self, now: Timestamp) -> bool {
        let votes = self
            .votes
            .values()
            .filter(|counted| counted.vote == Vote::RollBack)
            .count();
        self.heeds_votes()
            && now >= candidate_offered_at()
            && matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Released)
            && votes >= self.rollback_votes_needed
    }

    fn is_held(&self) -> bool {
        let votes = self
            .votes
            .values()
            .filter(|counted| counted.vote == Vote::Hold && counted.stage == self.stage)
            .count();
        self.heeds_votes() && votes >= self.hold_votes_needed
    }

    /// Counts a tick at the stage, and goes on to the next stage or releases the build when its time is over.
    fn advance(&mut self, context: &mut PlatformContext) {
        if self.is_held() {
            self.held_time += TICK;
        } else {
            self.stage_progress += TICK;
        }
        if self.stage_progress < STAGE_TIME {
            return;
        }
        if (self.stage as usize) < STAGE_CAPS.len() - 1 {
            self.begin_stage(self.stage + 1, context);
        } else {
            self.phase = RolloutPhase::Released;
            self.since = context.now;
            self.released_after = Some(context.now - candidate_offered_at());
            self.announce(context);
        }
    }

    fn begin_stage(&mut self, stage: u32, context: &mut PlatformContext) {
        self.stage = stage;
        self.phase = RolloutPhase::Canary;
        self.since = context.now;
        self.stage_progress = Duration::ZERO;
        let slots = context.fleet.replacement_order();
        let count = (STAGE_ENDPOINTS[stage as usize] * slots.len() as f64).ceil() as usize;
        let slots = slots[..count].to_vec();
        replace(&slots, BASELINE_BUILD, CANDIDATE_BUILD, context);
        self.announce(context);
    }

    fn roll_back(&mut self, context: &mut PlatformContext) {
        self.phase = RolloutPhase::RollingBack;
        self.since = context.now;
        self.rolled_back_after = Some(context.now - candidate_offered_at());
        let slots: Vec<usize> = (0..context.fleet.slots().len()).collect();
        replace(&slots, CANDIDATE_BUILD, BASELINE_BUILD, context);
        self.announce(context);
    }

    fn announce(&mut self, context: &mut PlatformContext) {
        self.announced_at = context.now;
        let traffic_cap = match self.phase {
            RolloutPhase::Canary => STAGE_CAPS[self.stage as usize],
            RolloutPhase::Released => 1.0,
            RolloutPhase::RollingBack | RolloutPhase::Withdrawn => 0.0,
        };
        let announcement = RolloutAnnouncement {
            build: newest_build(context.now),
            stage: self.stage,
            phase: self.phase,
            traffic_cap,
            since: self.since,
        };
        context.network.announce_rollout(context.now, announcement);
    }
}

/// The newest build that the platform knows of.
fn newest_build(now: Timestamp) -> u32 {
    if now < candidate_offered_at() {
        BASELINE_BUILD
    } else {
        CANDIDATE_BUILD
    }
}

/// Orders a replacement for each of the slots that runs `from`.
fn replace(slots: &[usize], from: u32, to: u32, context: &mut PlatformContext) {
    for slot in slots {
        if context.fleet.build_in(*slot) == from {
            let replacement = context.fleet.order_replacement(*slot, to, context.now);
            context
                .network
                .queue
                .schedule(replacement.ready_at, Event::ReplacementReady(replacement));
        }
    }
}
