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
use crate::environment::Environment;
use crate::events::Notice;
use crate::outcome::TrialOutcome;
use crate::parameters::START;
use crate::settings::instance_settings;

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
    pending_notices: Vec<Notice>,
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
            pending_notices: Vec::new(),
        }
    }

    fn has_work(&self, now: Timestamp) -> bool {
        !self.pending_notices.is_empty() || now >= self.wake_up_at
    }

    /// One step of the policy over what waits for it.
    fn step(&mut self, index: usize, environment: &mut Environment, digest: &mut Digest) {
        let now = environment.now;
        let notices = std::mem::take(&mut self.pending_notices);
        let environment = RefCell::new(environment);
        let mut events = InstanceEvents::new(&environment, index, notices);
        let decisions = InstanceDecisions::new(&environment, index, &mut self.wake_up_at);
        let mut decisions = DigestedDecisions::new(digest, decisions);
        self.policy.step(now, &mut events, &mut decisions);
    }
}

/// Runs a trial from its start to its end.
pub fn run_trial(case: TrialCase) -> TrialOutcome {
    let mut environment = Environment::new(case);
    let mut instances: Vec<Instance> = (0..case.size.instances)
        .map(|index| Instance::new(case, index))
        .collect();
    for index in 0..instances.len() {
        environment.introduce_instance(index);
    }
    let mut digest = Digest::default();
    let mut steps = 0;
    let end = START + Duration::from_secs(case.size.seconds);
    while environment.now < end {
        environment.step_surroundings();
        while let Some(event) = environment.next_instance_event() {
            instances[event.instance].pending_notices.push(event.notice);
        }
        let stalls = environment.confounder.stalls(environment.now);
        for (index, instance) in instances.iter_mut().enumerate() {
            let stands_still = stalls && index == STALLING_INSTANCE;
            if instance.has_work(environment.now) && !stands_still {
                steps += 1;
                instance.step(index, &mut environment, &mut digest);
            }
        }
        environment.finish_tick();
    }
    TrialOutcome {
        rolled_back_after: environment.rollout.rolled_back_after(),
        released_after: environment.rollout.released_after(),
        served_by_second: environment.served_weight.into_seconds(),
        first_verdict_test: environment.first_verdict_test,
        held_time: environment.rollout.held_time(),
        steps,
        digest,
    }
}
