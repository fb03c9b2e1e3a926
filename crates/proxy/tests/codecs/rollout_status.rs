//! Parsing of the platform's events.

use tidescale_policy::Balancer;
use tidescale_policy::types::Timestamp;
use tidescale_proxy::rollout_status::{self, EventError};

use crate::configuration::valid_config;

const SEED: u64 = 1;
const STATUS: &str = "data: version=42&step=1&status=trial&maxWeight=0.28&observedAgoMs=310";

/// Applies an event to a new policy. Returns the result, and whether the policy knows of a rollout
/// afterwards.
fn apply_event(lines: &str) -> (Result<(), EventError>, bool) {
    let mut policy = Balancer::new(valid_config().settings, SEED, Timestamp::ZERO);
    let result = rollout_status::apply_event(lines, &mut policy);
    (result, policy.rollout().is_some())
}

#[test]
fn events_of_a_rollout_status_reach_the_policy() {
    for lines in [
        format!("event: stage\n{STATUS}\n"),
        format!(":\n{STATUS}\nevent: stage\n"),
    ] {
        let (result, has_rollout) = apply_event(&lines);
        assert!(result.is_ok() && has_rollout, "{lines}");
    }
}

#[test]
fn other_valid_events_change_no_rollout_status() {
    let cases = [
        ("keep-alive", ":\n"),
        ("nothing", ""),
        (
            "flagged response",
            "event: flag\ndata: pod=s-1&kind=look&observedAgoMs=1200\n",
        ),
    ];
    for (name, lines) in cases {
        let (result, has_rollout) = apply_event(lines);
        assert!(result.is_ok() && !has_rollout, "{name}");
    }
}

#[test]
fn events_that_may_have_been_a_rollout_status_are_reported_as_invalid() {
    let cases = [
        ("corrupt kind", format!("event: stXge\n{STATUS}\n")),
        ("corrupt field name", format!("evXnt: stage\n{STATUS}\n")),
        ("no kind", format!("{STATUS}\n")),
        ("no data", "event: stage\n".to_string()),
        ("unknown line", "event: stage\nnoise\n".to_string()),
        (
            "traffic cap out of range",
            format!("event: stage\n{}\n", STATUS.replace("0.28", "7.5")),
        ),
        (
            "unknown status",
            format!("event: stage\n{}\n", STATUS.replace("trial", "tria")),
        ),
        (
            "flagged response without kind",
            "event: flag\ndata: pod=s-1\n".to_string(),
        ),
    ];
    for (name, lines) in cases {
        let (result, has_rollout) = apply_event(&lines);
        assert!(result.is_err() && !has_rollout, "{name}");
    }
}
