//! Limits on the number of attempts at a build under evaluation.

use std::time::Duration;

use tidescale_policy::Balancer;
use tidescale_policy::settings::Settings;
use tidescale_policy::types::RouteIndex;

use crate::harness::{
    AttemptResultBuilder, CANDIDATE, Decisions, IDEMPOTENCY_KEY, IDEMPOTENT, Instance,
    NOT_IDEMPOTENT, RequestBuilder, RolloutStatusBuilder, attempt_id, list_endpoints, millis,
    settings,
};

/// Requests sent while only one endpoint is listed, and the number of attempts started for them.
struct ExposureCase {
    name: &'static str,
    /// The build that the endpoint runs.
    build: u32,
    stage: u32,
    traffic_cap: f64,
    route: RouteIndex,
    requests: u64,
    attempts: usize,
}

impl ExposureCase {
    const DEFAULT: ExposureCase = ExposureCase {
        name: "the allowance and the cap",
        build: CANDIDATE,
        stage: 1,
        traffic_cap: 0.1,
        route: IDEMPOTENT,
        requests: 10,
        attempts: 3,
    };
}

const EXPOSURE_CASES: [ExposureCase; 8] = [
    ExposureCase {
        name: "one request",
        traffic_cap: 0.5,
        requests: 1,
        attempts: 1,
        ..ExposureCase::DEFAULT
    },
    ExposureCase::DEFAULT,
    ExposureCase {
        name: "the cap adds less than a whole attempt",
        requests: 9,
        attempts: 2,
        ..ExposureCase::DEFAULT
    },
    ExposureCase {
        name: "a cap of zero",
        traffic_cap: 0.0,
        attempts: 0,
        ..ExposureCase::DEFAULT
    },
    ExposureCase {
        name: "not idempotent, in a guarded stage",
        stage: 0,
        route: NOT_IDEMPOTENT,
        attempts: 0,
        ..ExposureCase::DEFAULT
    },
    ExposureCase {
        name: "not idempotent, in a later stage",
        route: NOT_IDEMPOTENT,
        ..ExposureCase::DEFAULT
    },
    ExposureCase {
        name: "a build that is not announced yet, limited as in the first stage",
        build: CANDIDATE + 1,
        stage: 2,
        traffic_cap: 1.0,
        ..ExposureCase::DEFAULT
    },
    ExposureCase {
        name: "not idempotent, at a build that is not announced yet",
        build: CANDIDATE + 1,
        stage: 2,
        traffic_cap: 1.0,
        route: NOT_IDEMPOTENT,
        attempts: 0,
        ..ExposureCase::DEFAULT
    },
];

#[test]
fn attempts_at_a_canary_stay_within_allowance_and_traffic_cap() {
    for case in EXPOSURE_CASES {
        let mut instance = Instance::new(settings());

        let decisions = instance.step_now(|policy| {
            list_endpoints(policy, &["m1"], case.build);
            let status = RolloutStatusBuilder::canary(CANDIDATE).stage(case.stage);
            status.traffic_cap(case.traffic_cap).deliver_to(policy);
            RequestBuilder::new(case.route).send_all(policy, 0..case.requests);
        });

        assert_eq!(decisions.attempt_count(), case.attempts, "{}", case.name);
    }
}

/// Announces the second stage of the candidate.
fn announce_canary(policy: &mut Balancer, traffic_cap: f64) {
    let status = RolloutStatusBuilder::canary(CANDIDATE).stage(1);
    status.traffic_cap(traffic_cap).deliver_to(policy);
}

/// Returns an instance whose only endpoint runs the canary, and to which this number of requests
/// was sent.
fn instance_during_canary(traffic_cap: f64, requests: u64) -> Instance {
    let mut instance = Instance::new(settings());
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1"], CANDIDATE);
        announce_canary(policy, traffic_cap);
        RequestBuilder::new(IDEMPOTENT).send_all(policy, 0..requests);
    });
    instance
}

/// Sends five requests of each of two routes while the only listed endpoint runs the canary.
fn serve_two_routes(exposure_by_route: bool) -> Decisions {
    let mut instance = Instance::new(Settings {
        exposure_by_route,
        ..settings()
    });
    instance.step_now(|policy| {
        list_endpoints(policy, &["m1"], CANDIDATE);
        announce_canary(policy, 0.1);
        RequestBuilder::new(IDEMPOTENT).send_all(policy, 0..5);
        RequestBuilder::new(IDEMPOTENCY_KEY).send_all(policy, 5..10);
    })
}

#[test]
fn exposure_is_counted_for_each_route_if_configured() {
    let shared = serve_two_routes(false);
    let by_route = serve_two_routes(true);

    assert_eq!(shared.attempt_count(), 3);
    let first_route = (0..5).filter(|id| by_route.attempts_of(*id) > 0);
    assert_eq!(first_route.count(), 2);
}

/// Uses up the canary's allowance of two attempts. Returns the number of attempts started for
/// another request this long after those two.
fn attempts_admitted_after(elapsed: Duration) -> usize {
    let mut instance = instance_during_canary(0.1, 2);
    instance.step(millis(20), |policy| {
        let response = AttemptResultBuilder::succeeded(millis(20));
        (0..2).for_each(|id| response.report(policy, id));
    });
    let decisions = instance.step(elapsed - millis(20), |policy| {
        RequestBuilder::new(IDEMPOTENT).send(policy, 9);
    });
    decisions.attempt_count()
}

#[test]
fn attempts_leave_the_exposure_window_only_after_its_full_length() {
    let window = Duration::from_secs(4);

    assert_eq!(attempts_admitted_after(window), 0);
    assert_eq!(
        attempts_admitted_after(window + Duration::from_micros(1)),
        1
    );
}

/// Admits 30 requests under a cap of 1, changes the cap to `traffic_cap`, and returns the number of
/// attempts started for one more request.
fn attempts_after_cap_change(traffic_cap: f64) -> usize {
    let mut instance = instance_during_canary(1.0, 30);
    let decisions = instance.step(millis(10), |policy| {
        let response = AttemptResultBuilder::succeeded(millis(10));
        (0..30).for_each(|id| response.report(policy, id));
        (0..30).for_each(|id: u64| policy.on_client_disconnected(id.into()));
        announce_canary(policy, traffic_cap);
        RequestBuilder::new(IDEMPOTENT).send(policy, 99);
    });
    decisions.attempts_of(99)
}

#[test]
fn requests_admitted_under_a_higher_cap_do_not_count_under_a_lower_one() {
    assert_eq!(attempts_after_cap_change(1.0), 1);
    assert_eq!(attempts_after_cap_change(0.5), 0);
}

/// Starts an attempt at a canary under a cap of 0.1 and changes the cap to `traffic_cap` before the
/// connection is established. Returns whether the request may still be written to the connection.
fn may_write_under_cap(traffic_cap: f64) -> bool {
    let mut instance = instance_during_canary(0.1, 1);
    instance.may_write_after(millis(10), attempt_id(0, 0), |policy| {
        announce_canary(policy, traffic_cap);
    })
}

#[test]
fn attempt_is_not_written_to_a_canary_whose_cap_has_fallen_meanwhile() {
    assert!(may_write_under_cap(0.1));
    assert!(!may_write_under_cap(0.0));
}

/// Starts two attempts, of which the request of the second is written to its connection only
/// `written_after` the start. Returns the number of attempts started for two more requests 4.01 s
/// after that start.
fn attempts_after_late_write(written_after: Duration) -> usize {
    let mut instance = instance_during_canary(0.1, 2);
    assert!(instance.may_write_after(written_after, attempt_id(1, 0), |_| {}));
    instance.step(millis(1), |policy| {
        let response = AttemptResultBuilder::succeeded(millis(1));
        (0..2).for_each(|id| response.report(policy, id));
    });
    let pause = millis(4010 - 1) - written_after;
    let decisions = instance.step(pause, |policy| {
        RequestBuilder::new(IDEMPOTENT).send_all(policy, 10..12);
    });
    decisions.attempt_count()
}

#[test]
fn attempt_at_a_canary_counts_from_when_it_is_written() {
    // The window of 4 s is counted from the write of the request: the attempt that was written late
    // still counts, so that the allowance of two admits only one more.
    assert_eq!(attempts_after_late_write(Duration::ZERO), 2);
    assert_eq!(attempts_after_late_write(millis(600)), 1);
}
