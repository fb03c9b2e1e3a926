//! The rollout platform, which rolls a build out in stages, counts the instances' votes, and
//! releases the build or rolls it back.

use std::collections::BTreeMap;
use std::time::Duration;

use tidescale_policy::types::{
    Ballot, BuildNumber, RolloutPhase, StageIndex, Timestamp, Vote, VoteResult,
};

use crate::case::{FleetSize, RollbackTrigger};
use crate::events::{Event, RolloutAnnouncement};
use crate::fleet::Fleet;
use crate::ids::{InstanceIndex, SlotIndex};
use crate::network::Network;
use crate::parameters::{
    ANNOUNCEMENT_INTERVAL, BASELINE_BUILD, CANDIDATE_BUILD, HOLD_VOTE_SHARE,
    INSTANCES_PER_ROLLBACK_VOTE, LAST_STAGE, STAGE_TIME, STAGES, START, StageModel, TICK,
    VOTE_LIFETIME, rollout_starts_at,
};

/// Returns the number of votes that trigger a rollback: one for each group of
/// [`INSTANCES_PER_ROLLBACK_VOTE`] instances, rounded up.
pub(crate) fn rollback_votes(size: FleetSize) -> usize {
    size.instances.div_ceil(INSTANCES_PER_ROLLBACK_VOTE)
}

/// A vote that counts until it expires.
struct CountedVote {
    vote: Vote,
    stage: StageIndex,
    expires_at: Timestamp,
}

/// The state of the environment that the platform reads and changes.
pub(crate) struct PlatformContext<'a> {
    /// The current time.
    pub(crate) now: Timestamp,
    /// The fleet whose endpoints the platform replaces.
    pub(crate) fleet: &'a mut Fleet,
    /// The network over which the platform announces the rollout's state.
    pub(crate) network: &'a mut Network,
}

impl PlatformContext<'_> {
    /// Orders a replacement of build `to` for each of the slots in which `from` serves.
    fn replace(&mut self, slots: &[SlotIndex], from: BuildNumber, to: BuildNumber) {
        for slot in slots {
            if self.fleet.build_in(*slot) == from {
                let replacement = self.fleet.order_replacement(*slot, to, self.now);
                let ready = Event::ReplacementReady(replacement);
                self.network.queue.schedule(replacement.ready_at, ready);
            }
        }
    }
}

/// The rollout of the candidate. Until it starts, the newest build is the released baseline.
pub(crate) struct Rollout {
    trigger: RollbackTrigger,
    stage: StageIndex,
    phase: RolloutPhase,
    /// When the current stage and phase began.
    since: Timestamp,
    /// Time since all endpoints of the stage started, without the time for which votes held it.
    stage_progress: Duration,
    announced_at: Timestamp,
    /// The last unexpired vote of each instance.
    votes: BTreeMap<InstanceIndex, CountedVote>,
    rollback_votes_needed: usize,
    hold_votes_needed: usize,
    rolled_back_after: Option<Duration>,
    released_after: Option<Duration>,
    held_time: Duration,
}

impl Rollout {
    /// Creates the state before the rollout starts, while only the baseline serves.
    pub(crate) fn new(size: FleetSize, trigger: RollbackTrigger) -> Rollout {
        Rollout {
            trigger,
            stage: StageIndex::new(0),
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

    /// Returns the time from the start of the rollout until the candidate was rolled back, or
    /// `None` if it was not.
    pub(crate) fn rolled_back_after(&self) -> Option<Duration> {
        self.rolled_back_after
    }

    /// Returns the time from the start of the rollout until the candidate was released, or
    /// `None` if it was not.
    pub(crate) fn released_after(&self) -> Option<Duration> {
        self.released_after
    }

    /// Returns the total time for which votes held a stage.
    pub(crate) fn held_time(&self) -> Duration {
        self.held_time
    }

    /// Advances the platform by one tick.
    pub(crate) fn step(&mut self, context: &mut PlatformContext) {
        let now = context.now;
        if now == rollout_starts_at() {
            self.begin_stage(StageIndex::new(0), context);
        }
        self.votes.retain(|_, vote| vote.expires_at > now);
        if self.must_roll_back(now) {
            self.roll_back(context);
        } else if self.phase == RolloutPhase::Canary && !context.fleet.has_pending_replacements() {
            self.advance(context);
        } else if now >= self.announced_at + ANNOUNCEMENT_INTERVAL {
            self.announce(context);
        }
    }

    /// Receives the vote of an instance. A rollback vote is accepted for any stage, and other votes
    /// only for the current one.
    pub(crate) fn receive_vote(
        &mut self,
        instance: InstanceIndex,
        ballot: Ballot,
        now: Timestamp,
    ) -> VoteResult {
        let stage_is_accepted = ballot.vote == Vote::RollBack || ballot.stage == self.stage;
        if ballot.build != newest_build(now) || !stage_is_accepted {
            return VoteResult::Superseded;
        }
        self.count_vote(instance, ballot, now);
        VoteResult::Accepted
    }

    /// Handles a failed attempt at the candidate. Under [`RollbackTrigger::FirstFailure`] it counts
    /// as a rollback vote of the instance.
    pub(crate) fn on_candidate_failure(&mut self, instance: InstanceIndex, now: Timestamp) {
        if self.trigger == RollbackTrigger::FirstFailure {
            let ballot = Ballot {
                build: CANDIDATE_BUILD,
                stage: self.stage,
                vote: Vote::RollBack,
            };
            self.count_vote(instance, ballot, now);
        }
    }

    fn count_vote(&mut self, instance: InstanceIndex, ballot: Ballot, now: Timestamp) {
        let vote = CountedVote {
            vote: ballot.vote,
            stage: ballot.stage,
            expires_at: now + VOTE_LIFETIME,
        };
        self.votes.insert(instance, vote);
    }

    fn acts_on_votes(&self) -> bool {
        self.trigger != RollbackTrigger::Never
    }

    fn must_roll_back(&self, now: Timestamp) -> bool {
        let votes = self
            .votes
            .values()
            .filter(|counted| counted.vote == Vote::RollBack)
            .count();
        self.acts_on_votes()
            && now >= rollout_starts_at()
            && matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Released)
            && votes >= self.rollback_votes_needed
    }

    fn is_held(&self) -> bool {
        let votes = self
            .votes
            .values()
            .filter(|counted| counted.vote == Vote::Hold && counted.stage == self.stage)
            .count();
        self.acts_on_votes() && votes >= self.hold_votes_needed
    }

    /// Adds a tick to the progress of the stage, or to the held time if votes hold it. At the end
    /// of the stage, the next one begins or the build is released.
    fn advance(&mut self, context: &mut PlatformContext) {
        if self.is_held() {
            self.held_time += TICK;
        } else {
            self.stage_progress += TICK;
        }
        if self.stage_progress < STAGE_TIME {
            return;
        }
        if self.stage < LAST_STAGE {
            self.begin_stage(StageIndex::new(self.stage.get() + 1), context);
        } else {
            self.release(context);
        }
    }

    fn begin_stage(&mut self, stage: StageIndex, context: &mut PlatformContext) {
        self.stage = stage;
        self.phase = RolloutPhase::Canary;
        self.since = context.now;
        self.stage_progress = Duration::ZERO;
        let slots = context.fleet.replacement_order();
        let count = (self.stage_model().endpoint_share * slots.len() as f64).ceil() as usize;
        let slots = slots[..count].to_vec();
        context.replace(&slots, BASELINE_BUILD, CANDIDATE_BUILD);
        self.announce(context);
    }

    fn release(&mut self, context: &mut PlatformContext) {
        self.phase = RolloutPhase::Released;
        self.since = context.now;
        self.released_after = Some(context.now - rollout_starts_at());
        self.announce(context);
    }

    fn roll_back(&mut self, context: &mut PlatformContext) {
        self.phase = RolloutPhase::RollingBack;
        self.since = context.now;
        self.rolled_back_after = Some(context.now - rollout_starts_at());
        let slots: Vec<SlotIndex> = (0..context.fleet.slots().len())
            .map(SlotIndex::new)
            .collect();
        context.replace(&slots, CANDIDATE_BUILD, BASELINE_BUILD);
        self.announce(context);
    }

    fn announce(&mut self, context: &mut PlatformContext) {
        self.announced_at = context.now;
        let traffic_cap = match self.phase {
            RolloutPhase::Canary => self.stage_model().traffic_cap,
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

    fn stage_model(&self) -> &'static StageModel {
        &STAGES[self.stage.get() as usize]
    }
}

/// Returns the newest build: the candidate once its rollout has started, before that the baseline.
fn newest_build(now: Timestamp) -> BuildNumber {
    if now < rollout_starts_at() {
        BASELINE_BUILD
    } else {
        CANDIDATE_BUILD
    }
}
