//! The run loop of a trial: a period without a rollout, in which the policy learns the baseline,
//! and then the staged rollout of a build.

use std::cell::RefCell;

use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;

use crate::case::TrialCase;
use crate::decision_digest::DigestingDecisionSink;
use crate::decisions::InstanceDecisionSink;
use crate::delivery::InstanceEventSource;
use crate::digest::Digest;
use crate::environment::Environment;
use crate::events::Notification;
use crate::ids::InstanceIndex;
use crate::outcome::TrialOutcome;
use crate::parameters::START;
use crate::settings::instance_settings;

/// Distance between the instance seeds of cases with adjacent seeds. It is a prime above the number
/// of instances of the largest fleet, so that the seeds do not overlap.
const SEEDS_PER_CASE: u64 = 1009;
/// The instance that is descheduled during a stall under
/// [`Confounder::Stall`](crate::confounder::Confounder::Stall).
const STALLED_INSTANCE: InstanceIndex = InstanceIndex::new(0);

/// A proxy instance: its policy and the pending notifications.
struct Instance {
    index: InstanceIndex,
    policy: Balancer,
    /// When the next step is due if no event arrives earlier.
    wake_up_at: Timestamp,
    /// The notifications for the next step, in order.
    pending_notifications: Vec<Notification>,
}

impl Instance {
    fn new(case: TrialCase, index: InstanceIndex) -> Instance {
        let seed = case
            .seed
            .wrapping_mul(SEEDS_PER_CASE)
            .wrapping_add(index.get() as u64);
        Instance {
            index,
            policy: Balancer::new(instance_settings(case, index), seed, START),
            wake_up_at: START,
            pending_notifications: Vec::new(),
        }
    }

    fn has_work(&self, now: Timestamp) -> bool {
        !self.pending_notifications.is_empty() || now >= self.wake_up_at
    }

    /// Runs one step of the policy.
    fn step(&mut self, environment: &mut Environment, digest: &mut Digest) {
        let now = environment.now;
        let notifications = std::mem::take(&mut self.pending_notifications);
        let environment = RefCell::new(environment);
        let mut events = InstanceEventSource::new(&environment, self.index, notifications);
        let decisions = InstanceDecisionSink::new(&environment, self.index, &mut self.wake_up_at);
        let mut decisions = DigestingDecisionSink::new(digest, decisions);
        self.policy.step(now, &mut events, &mut decisions);
    }
}

/// Runs a trial for its whole duration and returns the outcome.
pub fn run_trial(case: TrialCase) -> TrialOutcome {
    let mut environment = Environment::new(case);
    let mut instances: Vec<Instance> = (0..case.size.instances)
        .map(InstanceIndex::new)
        .map(|index| Instance::new(case, index))
        .collect();
    for instance in &instances {
        environment.schedule_first_notifications(instance.index);
    }
    let mut digest = Digest::default();
    let mut steps = 0;
    let end = START + case.size.duration;
    while environment.now < end {
        environment.step_confounder_and_platform();
        while let Some(event) = environment.next_instance_event() {
            let instance = &mut instances[event.instance.get()];
            instance.pending_notifications.push(event.notification);
        }
        steps += step_instances(&mut instances, &mut environment, &mut digest);
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

/// Runs one step of each instance that has work and is not stalled. Returns the number of steps.
fn step_instances(
    instances: &mut [Instance],
    environment: &mut Environment,
    digest: &mut Digest,
) -> u64 {
    let stall_in_progress = environment.confounder.stall_in_progress(environment.now);
    let mut steps = 0;
    for instance in instances {
        let is_stalled = stall_in_progress && instance.index == STALLED_INSTANCE;
        if instance.has_work(environment.now) && !is_stalled {
            steps += 1;
            instance.step(environment, digest);
        }
    }
    steps
}
