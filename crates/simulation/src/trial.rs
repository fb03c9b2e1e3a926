//! The run loop of a trial: some seconds without a rollout, a build brought in by stages, and what the instances made
//! of it.

use std::cell::RefCell;
use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::case::TrialCase;
use crate::decision_digest::DigestedDecisions;
use crate::decisions::InstanceDecisions;
use crate::delivery::InstanceEvents;
use crate::digest::Digest;
use crate::events::Notice;
use crate::outcome::TrialOutcome;
use crate::parameters::START;
use crate::settings::instance_settings;
use crate::world::World;

/// Keeps the seeds of the instances of neighbouring cases apart (a prime above any number of instances modelled).
const SEEDS_PER_CASE: u64 = 1009;
/// Index of the instance that stands still under
/// [`Confounder::Stall`](crate::confounder::Confounder::Stall).
const STALLING_INSTANCE: usize = 0;

/// One proxy instance: its policy, and what waits for its next step.
struct Instance {
    policy: Balancer,
    /// When it wants its next step, if nothing happens before.
    wake_up_at: Timestamp,
    /// What it gets to know in that step, in order.
    inbox: Vec<Notice>,
}

impl Instance {
    fn new(case: TrialCase, index: usize) -> Instance {
        let seed = case
            .seed
            .wrapping_mul(SEEDS_PER_CASE)
            .wrapping_add(index as u64);
        Instance {
            policy: Balancer::new(instance_settings(case, index), seed, START),
            wake_up_at: START,
            inbox: Vec::new(),
        }
    }

    fn has_work(&self, now: Timestamp) -> bool {
        !self.inbox.is_empty() || now >= self.wake_up_at
    }

    /// One step of the policy over what waits in the inbox.
    fn step(&mut self, index: usize, world: &mut World, digest: &mut Digest) {
        let now = world.now;
        let notices = std::mem::take(&mut self.inbox);
        let world = RefCell::new(world);
        let mut events = InstanceEvents::new(&world, index, notices);
        let decisions = InstanceDecisions::new(&world, index, &mut self.wake_up_at);
        let mut decisions = DigestedDecisions::new(digest, decisions);
        self.policy.step(now, &mut events, &mut decisions);
    }
}

/// Runs a trial from its start to its end.
pub fn run_trial(case: TrialCase) -> TrialOutcome {
    let mut world = World::new(case);
    let mut instances: Vec<Instance> = (0..case.size.instances)
        .map(|index| Instance::new(case, index))
        .collect();
    for index in 0..instances.len() {
        world.introduce_instance(index);
    }
    let mut digest = Digest::default();
    let mut steps = 0;
    let end = START + Duration::from_secs(case.size.seconds);
    while world.now < end {
        world.step_surroundings();
        while let Some(event) = world.next_instance_event() {
            instances[event.instance].inbox.push(event.notice);
        }
        let stalls = world.confounder.stalls(world.now);
        for (index, instance) in instances.iter_mut().enumerate() {
            let stands_still = stalls && index == STALLING_INSTANCE;
            if instance.has_work(world.now) && !stands_still {
                steps += 1;
                instance.step(index, &mut world, &mut digest);
            }
        }
        world.finish_tick();
    }
    TrialOutcome {
        rolled_back_after: world.rollout.rolled_back_after(),
        released_after: world.rollout.released_after(),
        earnings_by_second: world.earnings.into_seconds(),
        first_verdict_test: world.first_verdict_test,
        held_time: world.rollout.held_time(),
        steps,
        digest,
    }
}
