//! The adapter's lines: each error message word for word, and the shape of each line of a reply.

mod common;

use common::{START, run};

/// A batch of one instance, with these lines after its start.
fn batch_with(lines: &str) -> String {
    format!("MARK 1.0 1\nAT 0\n{START}\n{lines}\nOVER_TO_YOU\n")
}

/// Input must end the adapter with this message: on stdout as the only line of its batch, on stderr
/// after the program's name.
fn assert_ends_with(input: &str, message: &str) {
    let run = run(input);
    assert!(!run.succeeded, "{input}: accepted");
    assert_eq!(run.reply, format!("INTERNAL_ERROR {message}\n"), "{input}");
    assert_eq!(
        run.message,
        format!("tidescale-simhost: {message}\n"),
        "{input}"
    );
}

#[test]
fn an_event_that_cannot_be_understood_is_named_word_for_word() {
    let table = "NONSENSE 1 -> unknown message: NONSENSE 1
WITHDRAWN -> too few values: WITHDRAWN
WITHDRAWN 1 2 -> too many values: WITHDRAWN 1 2
WITHDRAWN -1 -> not a number: -1
ASK 1 look - - 1e13 - 0 0 -> time out of range: 1e13
ASK 1 look - - 900.0 much 0 0 -> not a number: much
ASK 1 look - - 900.0 - perhaps 0 -> not a yes or no: perhaps
ASK 1 other - - 900.0 - 0 0 -> unknown class: other
OUTCOME 1 0 m1 lost 18.5 1 - -> unknown outcome: lost
OUTCOME 1 0 m1 done 18.5 1 inflight -> not a load report: inflight
OUTCOME 1 0 m1 done 18.5 1 cpu:high -> not a number: high
OPENED 1 soon m1 0 -> not a time: soon
ECHO m1 maybe 1.0 - -> unknown outcome: maybe
CONTESTED m1 other 1.0 -> unknown class: other
WAKEUP never -> not a number: never
SCORECARD look 1.0 2.0 many 0 1 -> not a number: many
MESSAGE me -> too few values: MESSAGE me
PHASE_TOLD 0 lost 0 0 1.0 0.1 2 -> unknown answer to a vote: lost
PHASE_TOLD 0 done 256 0 1.0 0.1 2 -> not a number: 256
PHASE_TOLD 0 done 0 4 1.0 0.1 2 -> unknown course: 4
ROSTER_CHANGE 4 1 0 -> unknown kind of list: 4
ROSTER_CHANGE 0 1 0 -> a list that was never given";
    for row in table.lines() {
        let Some((line, message)) = row.split_once(" -> ") else {
            panic!("not a row: {row}");
        };
        assert_ends_with(&batch_with(line), message);
    }
}

#[test]
fn an_endpoint_list_that_cannot_be_understood_is_named_word_for_word() {
    let table = [
        (
            "INVENTORY 0 1\nROW m1 z1 1 k 0 3 1 -\nROSTER_CHANGE 0 1 0",
            "unknown readiness: ROW m1 z1 1 k 0 3 1 -",
        ),
        (
            "INVENTORY 0 1\nROW m1 z1 1 k 0 1 heavy -\nROSTER_CHANGE 3 1 0",
            "not a number: heavy",
        ),
        (
            "INVENTORY 0 1\nROW m1 z1 1 k 0 1 1\nROSTER_CHANGE 1 1 0",
            "too few values: ROW m1 z1 1 k 0 1 1",
        ),
        (
            "INVENTORY 0 2\nROW m1 z1 1 k 0 1 1 -",
            "a list is shorter than told: OVER_TO_YOU",
        ),
        ("INVENTORY zero 2", "not a number: zero"),
    ];
    for (lines, message) in table {
        assert_ends_with(&batch_with(lines), message);
    }
}

#[test]
fn a_batch_that_cannot_be_understood_is_named_word_for_word() {
    let table = [
        ("AT 0\n", "a batch must start with its clock: AT 0"),
        ("MARK 1.0\n", "a batch must start with its clock: MARK 1.0"),
        ("MARK soon 1\n", "not a time: soon"),
        ("MARK 1.0 one\n", "not a number: one"),
        ("MARK 1.0 1\nAT 0\n", "input ended inside a batch"),
        (
            "MARK 1.0 1\nWITHDRAWN 1\n",
            "an event before any instance was named: WITHDRAWN 1",
        ),
        ("MARK 1.0 1\nAT 0 1\n", "too many values: AT 0 1"),
        (
            "MARK 1.0 1\nINVENTORY 0 1\n",
            "a list is shorter than told: ",
        ),
        ("MARK 1.0 1\nAT 0\nSPAWN\n", "a start without a seed"),
        ("MARK 1.0 1\nAT 0\nSPAWN 7\n", "a start without settings"),
        ("MARK 1.0 1\nAT 0\nSPAWN 7 zone\n", "not a setting: zone"),
        (
            "MARK 1.0 1\nAT 0\nSPAWN 7 rules.answer_slack=0.5 tick=1.0\n",
            "rules.answer_slack: 500 us are less than a tick",
        ),
    ];
    for (input, message) in table {
        assert_ends_with(input, message);
    }
}

#[test]
fn a_reply_names_the_running_instances_in_order_and_acknowledges_the_batch() {
    let second = START.replace("me=0 balancers=1", "me=1 balancers=2");
    let input = format!(
        "\nMARK 1.0 41\r\nAT 9\n{second}\nAT 3\n{START}\nAT 5\nWITHDRAWN 1\nOVER_TO_YOU\r\n\n\
         MARK 2.0 42\nAT 3\nDOWN\nAT 9\nWITHDRAWN 1\nOVER_TO_YOU\n\
         MARK 3.0 43\nOVER_TO_YOU\n"
    );
    let run = run(&input);
    assert!(run.succeeded, "{}", run.message);
    let framing: Vec<&str> = run
        .reply
        .lines()
        .filter(|line| line.starts_with("INSTANCE ") || line.starts_with("ACK "))
        .collect();
    let wanted = [
        "INSTANCE 3",
        "INSTANCE 9",
        "ACK 41",
        "INSTANCE 9",
        "ACK 42",
        "ACK 43",
    ];
    assert_eq!(framing, wanted);
}

#[test]
fn a_list_is_bound_when_it_is_announced_though_its_number_is_reused() {
    let lists = "INVENTORY 0 1\nROW m1 z1 1 k 0 1 1 -\nROSTER_CHANGE 0 1 0\n\
                 INVENTORY 0 1\nROW m2 z1 1 k 0 1 1 -";
    let ask = "MARK 2.0 2\nAT 0\nASK 1 look - - 900.0 - 0 0\nOVER_TO_YOU\n";
    let run = run(&format!("{}{ask}", batch_with(lists)));
    assert!(run.succeeded, "{}", run.message);
    let sent: Vec<&str> = run
        .reply
        .lines()
        .filter(|line| line.starts_with("SEND "))
        .collect();
    let [line] = sent.as_slice() else {
        panic!("not one attempt: {}", run.reply);
    };
    let deadline = line.strip_prefix("SEND 1 m1 ").map(str::parse::<f64>);
    assert!(
        matches!(deadline, Some(Ok(at)) if at > 2.0 && at <= 902.0),
        "{line}"
    );
}

/// The fields after a decision's name: `n` for a number, `e` for an endpoint, any other for itself.
fn shape_of(decision: &str) -> Option<&'static str> {
    match decision {
        "SEND" => Some("n e n"),
        "STOP_ATTEMPT" => Some("n n"),
        "TURN_AWAY" => Some("n n"),
        "ERROR" => Some("n"),
        "OPINION" => Some("n n n"),
        "HEALTH_CHECK" => Some("e"),
        "TAIL" => Some("1"),
        "SCHEDULE" => Some("n 0"),
        "INSTANCE" | "ACK" => Some("n"),
        _ => None,
    }
}

fn has_its_shape(line: &str) -> bool {
    let mut fields = line.split(' ');
    let Some(shape) = fields.next().and_then(shape_of) else {
        return false;
    };
    let fields: Vec<&str> = fields.collect();
    let shape: Vec<&str> = shape.split(' ').collect();
    fields.len() == shape.len()
        && fields
            .iter()
            .zip(shape)
            .all(|(field, wanted)| match wanted {
                "n" => field.parse::<f64>().is_ok_and(|number| number >= 0.0),
                "e" => ["m1", "m2"].contains(field),
                literal => *field == literal,
            })
}

#[test]
fn every_decision_has_the_shape_of_its_line() {
    // A polled list; of requests that must not be executed twice one that is answered, one whose
    // connection breaks, one that is never answered, and one that no endpoint is left for.
    let start = START
        .replace("mode=push", "mode=ask rules.must_ask_in=400.0")
        .replace("idempotency=retryable", "idempotency=fragile");
    let mut input = format!("MARK 1 1\nAT 0\n{start}\nINVENTORY 0 2\nROW m1 z1 1 k 0 1 1 -\n");
    input += "ROW m2 z1 1 k 0 1 1 -\nROSTER_CHANGE 0 1 0\nOVER_TO_YOU\n";
    for request in 1..=3 {
        let at = 10 * request;
        input += &format!("MARK {at} 2\nAT 0\nASK {request} look - - 900.0 - 0 0\nOVER_TO_YOU\n");
    }
    input += "MARK 40 3\nAT 0\nOUTCOME 1 0 m1 done 30.0 1 inflight:1,queue:0\n";
    input += "OUTCOME 2 0 m1 econnreset 20.0 0 -\nOVER_TO_YOU\n";
    input += "MARK 70 4\nAT 0\nINVENTORY 0 0\nROSTER_CHANGE 0 2 0\n";
    input += "ASK 4 look - - 900.0 - 0 0\nOVER_TO_YOU\n";
    for at in (80..2000).step_by(10) {
        input += &format!("MARK {at} 5\nAT 0\nWAKEUP 0\nOVER_TO_YOU\n");
    }
    let run = run(&input);
    assert!(run.succeeded, "{}", run.message);
    for line in run.reply.lines() {
        assert!(has_its_shape(line), "{line}");
    }
    for decision in ["SEND ", "ERROR ", "TURN_AWAY ", "TAIL ", "SCHEDULE "] {
        let is_there = run.reply.lines().any(|line| line.starts_with(decision));
        assert!(is_there, "no {decision}in {}", run.reply);
    }
}
