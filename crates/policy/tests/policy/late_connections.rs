//! Late connections: the request of an attempt is not written to its connection if a change between
//! the start of the attempt and the establishment of the connection forbids it.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::types::{EndpointState, RequestId};

use crate::harness::{
    BASELINE, CANDIDATE, EndpointBuilder, IDEMPOTENT, Instance, RequestBuilder, attempt_id,
    first_attempt, list_endpoints, millis, settings,
};

/// A change before the connection of an attempt is established, and whether the request may still
/// be written to it.
struct LateConnectionCase {
    name: &'static str,
    change: fn(&mut Balancer),
    connected_after: Duration,
    may_write: bool,
}

impl LateConnectionCase {
    const fn forbidding(name: &'static str, change: fn(&mut Balancer)) -> LateConnectionCase {
        LateConnectionCase {
            name,
            change,
            connected_after: millis(10),
            may_write: false,
        }
    }
}

fn list_in_state(policy: &mut Balancer, state: EndpointState) {
    EndpointBuilder::new("m1").state(state).deliver_to(policy);
}

fn list_as_restarted(policy: &mut Balancer) {
    let started_at = policy.now();
    EndpointBuilder::new("m1")
        .started_at(started_at)
        .deliver_to(policy);
}

const LATE_CONNECTION_CASES: [LateConnectionCase; 9] = [
    LateConnectionCase {
        may_write: true,
        ..LateConnectionCase::forbidding("nothing changes", |_| {})
    },
    LateConnectionCase {
        may_write: true,
        ..LateConnectionCase::forbidding("the endpoint is listed again", |policy| {
            list_in_state(policy, EndpointState::Ready);
        })
    },
    LateConnectionCase::forbidding("the endpoint drains", |policy| {
        list_in_state(policy, EndpointState::Draining);
    }),
    LateConnectionCase::forbidding("the endpoint is removed", |policy| {
        list_in_state(policy, EndpointState::Removed);
    }),
    LateConnectionCase::forbidding(
        "a complete list does not name the endpoint",
        Balancer::on_complete_endpoint_list,
    ),
    LateConnectionCase::forbidding("the endpoint runs another build", |policy| {
        list_endpoints(policy, &["m1"], CANDIDATE);
    }),
    LateConnectionCase::forbidding("the endpoint has restarted", list_as_restarted),
    LateConnectionCase::forbidding("the client has disconnected", |policy| {
        policy.on_client_disconnected(RequestId::new(7));
    }),
    LateConnectionCase {
        connected_after: millis(900),
        ..LateConnectionCase::forbidding("the deadline of the request has passed", |_| {})
    },
];

#[test]
fn attempt_whose_connection_is_late_is_written_only_if_nothing_forbids_it_by_then() {
    for case in LATE_CONNECTION_CASES {
        let mut instance = Instance::new(settings());
        let decisions = instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], BASELINE);
            RequestBuilder::new(IDEMPOTENT).send(policy, 7);
        });
        assert_eq!(decisions, [first_attempt(7, "m1")]);

        let attempt = attempt_id(7, 0);
        let may_write = instance.may_write_after(case.connected_after, attempt, case.change);

        assert_eq!(may_write, case.may_write, "{}", case.name);
    }
}
