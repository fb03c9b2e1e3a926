//! What the adapter does with malformed input, unusable settings and events about what it does not
//! know.

mod common;

use common::{Run, START, run};

#[test]
fn malformed_input_ends_with_one_clear_line() {
    // The lines of one batch after the start, and what the message contains.
    let table = [
        ("NONSENSE 1", "unknown message: NONSENSE 1"),
        ("WITHDRAWN", "too few values: WITHDRAWN"),
        ("WITHDRAWN 1 2", "too many values: WITHDRAWN 1 2"),
        ("ASK 1 look - - soon - 0 0", "not a time: soon"),
        ("ASK 1 other - - 900.0 - 0 0", "unknown class: other"),
        ("ROSTER_CHANGE 0 1 3", "a list that was never given"),
        (
            "INVENTORY 0 2\nROW m1 z1 1 k 0 1 1 -",
            "a list is shorter than told",
        ),
    ];
    for (lines, wanted) in table {
        let Run {
            succeeded, message, ..
        } = run(&format!(
            "MARK 1.0 1\nAT 0\n{START}\n{lines}\nOVER_TO_YOU\n"
        ));
        assert!(
            !succeeded && message.lines().count() == 1 && message.contains(wanted),
            "{lines}: {message}"
        );
    }
}

#[test]
fn events_about_unknown_requests_and_endpoints_are_ignored() {
    for line in [
        "OUTCOME 9 0 m9 done 18.5 1 -",
        "WITHDRAWN 9",
        "ECHO m9 done 1.0 -",
        "CONTESTED m9 look 900.0",
    ] {
        let Run {
            succeeded,
            reply,
            message,
        } = run(&format!("MARK 1.0 1\nAT 0\n{START}\n{line}\nOVER_TO_YOU\n"));
        assert!(
            succeeded && reply.ends_with("ACK 1\n") && message.is_empty(),
            "{line}: {reply}{message}"
        );
    }
}

#[test]
fn an_unusable_setting_is_refused_by_its_name() {
    // A part of the settings, what stands in its place, and what the message contains.
    let table = [
        (
            " policy_limits.second_copies=true",
            "",
            "a setting is missing: policy_limits.second_copies",
        ),
        (
            "slack=20.0",
            "slack=0.5 tick=1.0",
            "rules.answer_slack: 500 us are less than a tick",
        ),
        (
            "mode=push",
            "mode=gossip",
            "membership_mode: unknown word: gossip",
        ),
        (
            "mode=push",
            "mode=ask",
            "a setting is missing: rules.must_ask_in",
        ),
        (
            "counted_by=all",
            "counted_by=tenant",
            "family_info.counted_by: unknown word: tenant",
        ),
        (
            "automatic",
            "later",
            "family_info.gate_mode: unknown word: later",
        ),
        (
            "cap=0.1,1.0",
            "cap=0.1,1.5",
            "family_info.stage_cap: out of range: 0.1,1.5",
        ),
        (
            "cold_from=0.3",
            "cold_from=-0.3",
            "rules.cold_from: out of range: -0.3",
        ),
        (
            "max_attempts=3",
            "max_attempts=0",
            "policy_limits.max_attempts: out of range: 0",
        ),
        ("me=0", "me=1", "me: out of range: 1"),
    ];
    for (given, replacement, wanted) in table {
        let start = START.replace(given, replacement);
        assert_ne!(start, START, "{given}");
        let Run {
            succeeded, message, ..
        } = run(&format!("MARK 1.0 1\nAT 0\n{start}\nOVER_TO_YOU\n"));
        assert!(
            !succeeded && message.lines().count() == 1 && message.contains(wanted),
            "{given}: {message}"
        );
    }
}

#[test]
fn no_request_is_hedged_where_the_settings_forbid_it() {
    // 150 quick answers, then a request that its endpoint does not answer.
    for (hedging, wanted) in [("second_copies=true", 2), ("second_copies=false", 1)] {
        let start = START.replace("second_copies=true", hedging);
        let mut lines = format!("MARK 1 1\nAT 0\n{start}\nINVENTORY 0 2\n");
        lines += "ROW m1 z1 1 k 0 1 1 -\nROW m2 z1 1 k 0 1 1 -\nROSTER_CHANGE 0 1 0\nOVER_TO_YOU\n";
        for n in 0..150 {
            let at = 10 + 20 * n;
            lines += &format!("MARK {at} 2\nAT 0\nASK {n} look - - 900.0 - 0 0\nOVER_TO_YOU\n");
            let (at, outcome) = (at + 10, format!("OUTCOME {n} 0 m1 done 10.0 1 -"));
            lines += &format!("MARK {at} 2\nAT 0\n{outcome}\nOVER_TO_YOU\n");
        }
        lines += "MARK 4000 2\nAT 0\nASK 900 look - - 900.0 - 0 0\nOVER_TO_YOU\n";
        for at in (4010..4600).step_by(10) {
            lines += &format!("MARK {at} 2\nAT 0\nWAKEUP 0\nOVER_TO_YOU\n");
        }
        let Run {
            succeeded,
            reply,
            message,
        } = run(&lines);
        assert!(succeeded, "{message}");
        assert_eq!(
            reply.lines().filter(|l| l.starts_with("SEND 900 ")).count(),
            wanted,
            "{hedging}"
        );
    }
}
