//! The fleet baseline, which is the latency of the fleet before a rollout, and when it is updated.

use std::time::Duration;

use tidescale_policy::types::RolloutPhase;

use crate::harness::{
    AttemptResultBuilder, BASELINE, CANDIDATE, Decisions, Exchange, IDEMPOTENT, Instance,
    RolloutStatusBuilder, list_endpoints, millis, settings,
};

#[test]
fn slowdown_of_a_released_build_causes_no_vote_without_a_fleet_baseline() {
    let mut instance = Instance::new(settings());
    let mut decisions = instance.step_now(|policy| {
        list_endpoints(policy, &["m1", "m2", "m3"], BASELINE);
        RolloutStatusBuilder::released(BASELINE)
            .stage(2)
            .deliver_to(policy);
    });

    for id in 0..120 {
        let latency = if id < 10 { millis(10) } else { millis(60) };
        let response = AttemptResultBuilder::succeeded(latency);
        decisions.append(Exchange::new(id).run(&mut instance, |_| response));
    }

    assert_eq!(decisions.votes().count(), 0);
}

/// An instance with four endpoints that receives twenty requests a second.
struct SteadyTraffic {
    instance: Instance,
    last_id: u64,
}

impl SteadyTraffic {
    fn new() -> SteadyTraffic {
        let mut instance = Instance::new(settings());
        instance.step_now(|policy| list_endpoints(policy, &["m1", "m2", "m3", "m4"], BASELINE));
        SteadyTraffic {
            instance,
            last_id: 0,
        }
    }

    /// Serves requests with responses of this latency for a number of seconds. Returns the
    /// instance's resulting baseline latency in milliseconds.
    fn serve(&mut self, latency: Duration, seconds: u64) -> f64 {
        for _ in 0..seconds * 20 {
            self.last_id += 1;
            let exchange = Exchange::new(self.last_id).pause(millis(50) - latency);
            let response = AttemptResultBuilder::succeeded(latency);
            exchange.run(&mut self.instance, |_| response);
        }
        let sums = self.instance.route_latency(IDEMPOTENT);
        sums.latency / sums.cost / 1000.0
    }

    fn announce(&mut self, build: u32, phase: RolloutPhase) -> Decisions {
        let status = RolloutStatusBuilder::new(build, phase).stage(1);
        self.instance.step_now(|policy| status.deliver_to(policy))
    }
}

#[test]
fn latency_during_a_rollback_does_not_become_the_baseline() {
    let mut traffic = SteadyTraffic::new();
    traffic.announce(BASELINE, RolloutPhase::Released);
    let baseline_before = traffic.serve(millis(10), 8);

    traffic.announce(CANDIDATE, RolloutPhase::Canary);
    traffic.serve(millis(40), 2);
    traffic.announce(CANDIDATE, RolloutPhase::RollingBack);
    traffic.serve(millis(40), 3);
    traffic.announce(CANDIDATE, RolloutPhase::Withdrawn);
    let baseline_after = traffic.serve(millis(40), 3);
    assert!(
        (baseline_after - baseline_before).abs() < 0.01,
        "{baseline_before} {baseline_after}"
    );

    // Some time after the rollout the baseline is updated again, and excludes the responses
    // received during the rollout.
    traffic.serve(millis(10), 5);
    traffic.announce(CANDIDATE + 1, RolloutPhase::Canary);
    let baseline = traffic.instance.policy().fleet_baseline();
    assert!(
        baseline.outcomes > 10.0 && baseline.failure_share() < 0.05,
        "{baseline:?}"
    );

    // A rollout that begins before the baseline has been updated again is compared with the same
    // baseline as the previous rollout.
    traffic.announce(CANDIDATE + 1, RolloutPhase::RollingBack);
    traffic.serve(millis(40), 3);
    traffic.announce(CANDIDATE + 2, RolloutPhase::Canary);
    assert_eq!(traffic.instance.policy().fleet_baseline(), baseline);
}
