//! The output for a build that must be rolled back: the report of the verdict and the vote.

mod common;

use common::{Session, SpawnLine};

/// Time between two batches on the simulator's clock.
const TICK_MS: u32 = 10;

/// Starts the instance with three endpoints of build 1 and the endpoint `canary` of build 2, which
/// is under evaluation at stage 0.
fn first_batch() -> Vec<String> {
    let mut lines = vec![SpawnLine::new().to_string()];
    let list_and_status = [
        "INVENTORY 0 4",
        "ROW m1 z1 1 k 0 1 1 -",
        "ROW m2 z1 1 k 0 1 1 -",
        "ROW m3 z1 1 k 0 1 1 -",
        "ROW canary z1 2 k 0 1 1 -",
        "ROSTER_CHANGE 0 1 0",
        "PHASE_TOLD 0 done 0 0 0.0 0.5 2",
    ];
    lines.extend(list_and_status.map(String::from));
    lines
}

/// The event that ends the attempt of a `SEND` line: attempts at the canary fail, all others
/// succeed. `None` for other lines.
fn response_to(line: &str) -> Option<String> {
    let [name, request, endpoint, _deadline] = line.split(' ').collect::<Vec<_>>()[..] else {
        return None;
    };
    let outcome = if endpoint == "canary" { "err" } else { "done" };
    (name == "SEND").then(|| format!("OUTCOME {request} 0 {endpoint} {outcome} 8.0 1 -"))
}

/// Sends two requests in each batch and ends their attempts in the next batch, until a reply
/// reports a verdict. Returns this reply and the one after it.
fn replies_with_verdict(session: &mut Session) -> Vec<String> {
    let mut reply = session.exchange(1, &first_batch());
    for batch in 1..1000 {
        let mut lines: Vec<String> = reply.iter().filter_map(|line| response_to(line)).collect();
        let requests = [2 * batch, 2 * batch + 1];
        lines.extend(requests.map(|request| format!("ASK {request} look - - 900.0 - 0 0")));
        reply = session.exchange(batch * TICK_MS, &lines);
        if reply.iter().any(|line| line.starts_with("EMIT ")) {
            let wake_up = ["WAKEUP 0".to_string()];
            reply.extend(session.exchange((batch + 1) * TICK_MS, &wake_up));
            return reply;
        }
    }
    panic!("no verdict; the last reply is {reply:?}");
}

/// Parses a decayed count, which is written with one decimal.
fn parse_count(text: &str) -> f64 {
    let (_, decimals) = text.split_once('.').unwrap();
    assert_eq!(decimals.len(), 1, "{text}");
    text.parse().unwrap()
}

#[test]
fn failing_canary_is_reported_with_its_counts_and_voted_to_be_rolled_back() {
    let mut session = Session::start();

    let lines = replies_with_verdict(&mut session);

    let verdicts: Vec<&String> = lines
        .iter()
        .filter(|line| line.starts_with("EMIT"))
        .collect();
    let [verdict] = verdicts.as_slice() else {
        panic!("expected one verdict: {lines:?}");
    };
    let counts = verdict
        .strip_prefix("EMIT build 2 to go back: test 0, new and old [")
        .and_then(|rest| rest.strip_suffix(']'))
        .unwrap_or_else(|| panic!("{verdict}"));
    let counts: Vec<f64> = counts.split(", ").map(parse_count).collect();
    let [failures, outcomes, baseline_failures, baseline_outcomes] = counts[..] else {
        panic!("expected four counts: {verdict}");
    };
    assert!(failures > 0.0, "{verdict}");
    assert_eq!(failures, outcomes, "{verdict}");
    assert_eq!(baseline_failures, 0.0, "{verdict}");
    assert!(baseline_outcomes > 0.0, "{verdict}");
    assert!(lines.contains(&"OPINION 2 0 3".to_string()), "{lines:?}");
}
