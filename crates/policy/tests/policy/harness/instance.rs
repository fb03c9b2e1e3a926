//! An instance of the policy with its own virtual clock.

use std::time::Duration;

use tidescale_policy::settings::Settings;
use tidescale_policy::snapshot::RouteLatency;
use tidescale_policy::types::{AttemptId, AttemptIndex, RequestId, RouteIndex, Timestamp};
use tidescale_policy::{Balancer, EventSource};

use super::{DecisionRecorder, Decisions, START};

/// The default seed.
const SEED: u64 = 1;

/// An event source that delivers the events of one step.
struct StepEvents<F>(Option<F>);

impl<F: FnOnce(&mut Balancer)> EventSource for StepEvents<F> {
    fn deliver(&mut self, policy: &mut Balancer) {
        if let Some(events) = self.0.take() {
            events(policy);
        }
    }
}

/// A policy and the virtual time of its latest step.
pub struct Instance {
    now: Timestamp,
    policy: Balancer,
}

impl Instance {
    pub fn new(settings: Settings) -> Instance {
        Instance::starting_at(START, settings)
    }

    pub fn starting_at(now: Timestamp, settings: Settings) -> Instance {
        Instance::seeded(SEED, now, settings)
    }

    pub fn seeded(seed: u64, now: Timestamp, settings: Settings) -> Instance {
        Instance {
            now,
            policy: Balancer::new(settings, seed, now),
        }
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    pub fn policy(&self) -> &Balancer {
        &self.policy
    }

    pub fn policy_mut(&mut self) -> &mut Balancer {
        &mut self.policy
    }

    /// Runs one step, `after` the previous one, with the events that `events` delivers.
    pub fn step(&mut self, after: Duration, events: impl FnOnce(&mut Balancer)) -> Decisions {
        self.now = self.now + after;
        let mut recorder = DecisionRecorder::default();
        let mut events = StepEvents(Some(events));
        self.policy.step(self.now, &mut events, &mut recorder);
        recorder.into_decisions()
    }

    /// Runs one step at the time of the previous one.
    pub fn step_now(&mut self, events: impl FnOnce(&mut Balancer)) -> Decisions {
        self.step(Duration::ZERO, events)
    }

    /// Advances the clock by `time` and runs one step without events.
    pub fn wait(&mut self, time: Duration) -> Decisions {
        self.step(time, |_| {})
    }

    /// Runs `steps` steps without events, each `interval` after the previous one.
    pub fn wait_steps(&mut self, steps: usize, interval: Duration) -> Decisions {
        let mut decisions = Decisions::default();
        for _ in 0..steps {
            decisions.append(self.wait(interval));
        }
        decisions
    }

    /// Runs one step, `after` the previous one, in which the connection of an attempt has been
    /// established. Returns whether, once the events have been delivered, the request may still be
    /// written to that connection.
    pub fn may_write_after(
        &mut self,
        after: Duration,
        attempt: AttemptId,
        events: impl FnOnce(&mut Balancer),
    ) -> bool {
        let mut may_write = None;
        self.step(after, |policy| {
            events(policy);
            may_write = Some(policy.may_write_attempt(attempt));
        });
        may_write.expect("a step should deliver its events")
    }

    /// Returns the sums from which the baseline latency of a route is computed.
    pub fn route_latency(&mut self, route: RouteIndex) -> RouteLatency {
        let latency = self.policy.route_latency(route);
        latency.expect("the route should be known")
    }
}

/// Returns the id of an attempt of a request, by the attempt's index.
pub fn attempt_id(request: u64, index: usize) -> AttemptId {
    AttemptId::new(RequestId::new(request), AttemptIndex::new(index))
}
