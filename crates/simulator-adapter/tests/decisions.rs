//! The structure of the adapter's replies and the format of the lines for decisions.

mod common;

use common::{AdapterOutput, Input, SpawnLine, run_adapter};

/// Announces a list of two ready endpoints, `m1` and `m2`.
const TWO_ENDPOINTS: [&str; 4] = [
    "INVENTORY 0 2",
    "ROW m1 z1 1 k 0 1 1 -",
    "ROW m2 z1 1 k 0 1 1 -",
    "ROSTER_CHANGE 0 1 0",
];

#[test]
fn reply_names_running_instances_in_order_and_acknowledges_each_batch() {
    let first = SpawnLine::new();
    let second = SpawnLine::new().with("me", "1").with("balancers", "2");
    let input = format!(
        "\nMARK 1.0 41\r\nAT 9\n{second}\nAT 3\n{first}\nAT 5\nWITHDRAWN 1\nOVER_TO_YOU\r\n\n\
         MARK 2.0 42\nAT 3\nDOWN\nAT 9\nWITHDRAWN 1\nOVER_TO_YOU\n\
         MARK 3.0 43\nOVER_TO_YOU\n"
    );

    let output = run_adapter(&input);

    assert!(output.succeeded, "{}", output.stderr);
    let framing: Vec<&str> = output
        .stdout
        .lines()
        .filter(|line| line.starts_with("INSTANCE ") || line.starts_with("ACK "))
        .collect();
    let expected = [
        "INSTANCE 3",
        "INSTANCE 9",
        "ACK 41",
        "INSTANCE 9",
        "ACK 42",
        "ACK 43",
    ];
    assert_eq!(framing, expected);
}

#[test]
fn announced_list_is_used_even_if_its_number_is_reused_in_the_batch() {
    let lists = [
        "INVENTORY 0 1",
        "ROW m1 z1 1 k 0 1 1 -",
        "ROSTER_CHANGE 0 1 0",
        "INVENTORY 0 1",
        "ROW m2 z1 1 k 0 1 1 -",
    ];

    let output = Input::with_spawn(&SpawnLine::new(), &lists)
        .batch(2, &["ASK 1 look - - 900.0 - 0 0"])
        .run();

    assert!(output.succeeded, "{}", output.stderr);
    let attempts = output.lines_starting_with("SEND ");
    let [attempt] = attempts.as_slice() else {
        panic!("expected one attempt: {}", output.stdout);
    };
    let deadline = attempt.strip_prefix("SEND 1 m1 ").map(str::parse::<f64>);
    assert!(
        matches!(deadline, Some(Ok(at)) if at > 2.0 && at <= 902.0),
        "{attempt}"
    );
}

#[test]
fn request_is_hedged_only_where_the_settings_allow_it() {
    for (hedging, expected_attempts) in [("true", 2), ("false", 1)] {
        let spawn = SpawnLine::new().with("policy_limits.second_copies", hedging);
        let input = with_quick_responses(Input::with_spawn(&spawn, &TWO_ENDPOINTS), 150);

        // The endpoint does not respond to request 900.
        let output = input
            .batch(4000, &["ASK 900 look - - 900.0 - 0 0"])
            .wake_ups(4010..4600)
            .run();

        assert!(output.succeeded, "{}", output.stderr);
        let attempts = output.lines_starting_with("SEND 900 ");
        assert_eq!(attempts.len(), expected_attempts, "hedging {hedging}");
    }
}

/// Adds requests every 20 ms, each with a response after 10 ms.
fn with_quick_responses(input: Input, count: u32) -> Input {
    (0..count).fold(input, |input, request| {
        let sent_at_ms = 10 + 20 * request;
        let request_line = format!("ASK {request} look - - 900.0 - 0 0");
        let outcome_line = format!("OUTCOME {request} 0 m1 done 10.0 1 -");
        input
            .batch(sent_at_ms, &[&request_line])
            .batch(sent_at_ms + 10, &[&outcome_line])
    })
}

/// Expected content of a field in a line of a reply.
enum Field {
    /// A non-negative number.
    Number,
    /// Name of one of the two endpoints.
    Endpoint,
    /// Exactly this text.
    Literal(&'static str),
}

impl Field {
    fn accepts(&self, text: &str) -> bool {
        match self {
            Field::Number => text.parse::<f64>().is_ok_and(|number| number >= 0.0),
            Field::Endpoint => ["m1", "m2"].contains(&text),
            Field::Literal(literal) => text == *literal,
        }
    }
}

/// The expected fields after the name of a line; `None` for an unknown name.
fn expected_fields(name: &str) -> Option<&'static [Field]> {
    use Field::{Endpoint, Literal, Number};
    match name {
        "SEND" => Some(&[Number, Endpoint, Number]),
        "STOP_ATTEMPT" | "TURN_AWAY" => Some(&[Number, Number]),
        "OPINION" => Some(&[Number, Number, Number]),
        "HEALTH_CHECK" => Some(&[Endpoint]),
        "TAIL" => Some(&[Literal("1")]),
        "SCHEDULE" => Some(&[Number, Literal("0")]),
        "ERROR" | "INSTANCE" | "ACK" => Some(&[Number]),
        _ => None,
    }
}

fn is_well_formed(line: &str) -> bool {
    let mut texts = line.split(' ');
    let Some(fields) = texts.next().and_then(expected_fields) else {
        return false;
    };
    let texts: Vec<&str> = texts.collect();
    texts.len() == fields.len()
        && texts
            .iter()
            .zip(fields)
            .all(|(text, field)| field.accepts(text))
}

/// Runs the adapter with a polled endpoint list and requests that must not be executed twice:
/// request 1 gets a response, the connection of request 2 is reset, request 3 never gets a
/// response, and no endpoint is left for request 4.
fn run_with_failures() -> AdapterOutput {
    let spawn = SpawnLine::new()
        .with("membership_mode", "ask")
        .with("rules.must_ask_in", "400.0")
        .with("classes.0.idempotency", "fragile");
    Input::with_spawn(&spawn, &TWO_ENDPOINTS)
        .batch(10, &["ASK 1 look - - 900.0 - 0 0"])
        .batch(20, &["ASK 2 look - - 900.0 - 0 0"])
        .batch(30, &["ASK 3 look - - 900.0 - 0 0"])
        .batch(
            40,
            &[
                "OUTCOME 1 0 m1 done 30.0 1 inflight:1,queue:0",
                "OUTCOME 2 0 m1 econnreset 20.0 0 -",
            ],
        )
        .batch(
            70,
            &[
                "INVENTORY 0 0",
                "ROSTER_CHANGE 0 2 0",
                "ASK 4 look - - 900.0 - 0 0",
            ],
        )
        .wake_ups(80..2000)
        .run()
}

#[test]
fn every_line_of_a_reply_is_well_formed() {
    let output = run_with_failures();

    assert!(output.succeeded, "{}", output.stderr);
    for line in output.stdout.lines() {
        assert!(is_well_formed(line), "{line}");
    }
}

#[test]
fn failures_and_a_polled_list_cause_each_kind_of_decision() {
    let output = run_with_failures();

    for decision in ["SEND ", "ERROR ", "TURN_AWAY ", "TAIL ", "SCHEDULE "] {
        let lines = output.lines_starting_with(decision);
        assert!(!lines.is_empty(), "no {decision}in {}", output.stdout);
    }
}
