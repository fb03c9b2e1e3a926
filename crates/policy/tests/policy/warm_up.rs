//! Slow start of an endpoint, by all instances together.

use std::time::Duration;

use tidescale_policy::settings::Settings;

use crate::harness::{
    AttemptResultBuilder, BASELINE, EndpointBuilder, Exchange, IDEMPOTENT, Instance,
    RequestBuilder, list_endpoints, millis, settings,
};

/// Instances that each get requests at the same interval.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    instances: u32,
    request_interval: Duration,
}

impl Deployment {
    /// An instance that has served for ten seconds with five warm endpoints.
    fn warm_instance(&self, instance_index: u32) -> Instance {
        let mut instance = Instance::new(Settings {
            instance_count: self.instances,
            instance_index,
            ..settings()
        });
        let started_at = instance.now();
        let names = ["m0", "m1", "m2", "m3", "m4"];
        instance.step_now(|policy| list_endpoints(policy, &names, BASELINE));
        // The steps of the instances are spread over the second.
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

    /// Attempts of one instance at an endpoint in the 1.5 seconds after its start, if it is the
    /// only one.
    fn attempts_at_new_endpoint(&self, instance: &mut Instance) -> usize {
        let started_at = instance.now();
        instance.step_now(|policy| {
            policy.on_complete_endpoint_list();
            EndpointBuilder::new("cold")
                .started_at(started_at)
                .list(policy);
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
    // One request from each instance would already be many times what the endpoint can serve.
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

        // Warm endpoints serve twenty requests a second each. A new one can serve 0.43 of that over
        // the overload window, and fails at twice as much.
        assert!((3..=26).contains(&attempts), "{deployment:?}: {attempts}");
    }
}
