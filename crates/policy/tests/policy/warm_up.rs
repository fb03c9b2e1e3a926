//! Slow start of an endpoint that receives requests from all instances of a deployment.

use std::time::Duration;

use tidescale_policy::settings::Settings;

use crate::harness::{
    AttemptResultBuilder, BASELINE, EndpointBuilder, Exchange, IDEMPOTENT, Instance,
    RequestBuilder, list_endpoints, millis, settings,
};

/// Instances that each receive requests at the same interval.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    instances: u32,
    request_interval: Duration,
}

impl Deployment {
    /// Returns an instance that has served requests for ten seconds with five warm endpoints.
    fn warm_instance(&self, instance_index: u32) -> Instance {
        let mut instance = Instance::new(Settings {
            instance_count: self.instances,
            instance_index,
            ..settings()
        });
        let started_at = instance.now();
        let names = ["m0", "m1", "m2", "m3", "m4"];
        instance.step_now(|policy| list_endpoints(policy, &names, BASELINE));
        // Staggers the steps of the instances by 10 ms each, over at most one second.
        instance.wait(millis(10) * instance_index);
        for id in 0.. {
            let response = AttemptResultBuilder::succeeded(millis(10));
            Exchange::new(id).run(&mut instance, |_| response);
            if instance.now() > started_at + Duration::from_secs(10) {
                break;
            }
            let pause = self.request_interval.saturating_sub(millis(20));
            instance.wait_steps(20, pause / 20);
        }
        instance
    }

    /// Returns the number of attempts of one instance at an endpoint in the 1.5 seconds after the
    /// endpoint's start, if it is the only endpoint.
    fn attempts_at_new_endpoint(&self, instance: &mut Instance) -> usize {
        let started_at = instance.now();
        instance.step_now(|policy| {
            policy.on_complete_endpoint_list();
            EndpointBuilder::new("cold")
                .started_at(started_at)
                .deliver_to(policy);
        });
        let mut attempts = 0;
        for step in 0..150 {
            let steps_between_requests = self.request_interval.as_millis() / 10;
            let sends_request = u128::from(step).is_multiple_of(steps_between_requests);
            let decisions = instance.step(millis(10), |policy| {
                if sends_request {
                    RequestBuilder::new(IDEMPOTENT).send(policy, 10_000 + step);
                }
            });
            for (request, _) in decisions.attempts().filter(|(_, name)| *name == "cold") {
                attempts += 1;
                let response = AttemptResultBuilder::succeeded(Duration::ZERO);
                instance.step_now(|policy| response.report(policy, request.get()));
            }
        }
        attempts
    }
}

#[test]
fn warming_endpoint_is_not_overloaded_by_many_instances_with_little_traffic() {
    // With 100 instances, one request from each would already be many times what the endpoint can
    // serve.
    let deployments = [
        Deployment {
            instances: 1,
            request_interval: millis(10),
        },
        Deployment {
            instances: 10,
            request_interval: millis(100),
        },
        Deployment {
            instances: 100,
            request_interval: millis(1000),
        },
    ];
    for deployment in deployments {
        let attempts = (0..deployment.instances).map(|index| {
            let mut instance = deployment.warm_instance(index);
            deployment.attempts_at_new_endpoint(&mut instance)
        });
        let attempts: usize = attempts.sum();

        // Each warm endpoint serves twenty requests a second. A new one has 0.43 of that capacity
        // on average over the overload window of 1.5 s, and fails at twice as much, which is about
        // 26 requests.
        assert!((3..=26).contains(&attempts), "{deployment:?}: {attempts}");
    }
}
