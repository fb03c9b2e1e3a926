//! Invalid settings, malformed input, and events about unknown requests and endpoints.

mod common;

use common::{Input, SpawnLine, run_adapter};

/// Lines that the adapter cannot parse, and the complete error message.
struct MalformedInput {
    lines: &'static [&'static str],
    message: &'static str,
}

/// Malformed input of a single line, and the complete error message.
macro_rules! malformed_line {
    ($line:literal => $message:literal) => {
        MalformedInput {
            lines: &[$line],
            message: $message,
        }
    };
}

fn assert_malformed(cases: &[MalformedInput]) {
    for MalformedInput { lines, message } in cases {
        let output = Input::with_spawn(&SpawnLine::new(), lines).run();

        output.assert_failed_with(message, &lines.join("\n"));
    }
}

#[test]
fn malformed_event_ends_the_adapter_with_its_message() {
    assert_malformed(&[
        malformed_line!("NONSENSE 1" => "unknown message: NONSENSE 1"),
        malformed_line!("WITHDRAWN" => "too few values: WITHDRAWN"),
        malformed_line!("WITHDRAWN 1 2" => "too many values: WITHDRAWN 1 2"),
        malformed_line!("WITHDRAWN -1" => "not a number: -1"),
        malformed_line!("ASK 1 look - - soon - 0 0" => "not a time: soon"),
        malformed_line!("ASK 1 look - - 1e13 - 0 0" => "time out of range: 1e13"),
        malformed_line!("ASK 1 look - - 900.0 much 0 0" => "not a number: much"),
        malformed_line!("ASK 1 look - - 900.0 - perhaps 0" => "not a yes or no: perhaps"),
        malformed_line!("ASK 1 other - - 900.0 - 0 0" => "unknown class: other"),
        malformed_line!("OUTCOME 1 0 m1 lost 18.5 1 -" => "unknown outcome: lost"),
        malformed_line!("OUTCOME 1 0 m1 done 18.5 1 inflight" => "not a load report: inflight"),
        malformed_line!("OUTCOME 1 0 m1 done 18.5 1 cpu:high" => "not a number: high"),
        malformed_line!("OPENED 1 soon m1 0" => "not a time: soon"),
        malformed_line!("ECHO m1 maybe 1.0 -" => "unknown outcome: maybe"),
        malformed_line!("CONTESTED m1 other 1.0" => "unknown class: other"),
        malformed_line!("WAKEUP never" => "not a number: never"),
        malformed_line!("SCORECARD look 1.0 2.0 many 0 1" => "not a number: many"),
        malformed_line!("MESSAGE me" => "too few values: MESSAGE me"),
        malformed_line!("PHASE_TOLD 0 lost 0 0 1.0 0.1 2" => "unknown answer to a vote: lost"),
        malformed_line!("PHASE_TOLD 0 done 256 0 1.0 0.1 2" => "not a number: 256"),
        malformed_line!("PHASE_TOLD 0 done 0 4 1.0 0.1 2" => "unknown course: 4"),
    ]);
}

#[test]
fn malformed_endpoint_list_ends_the_adapter_with_its_message() {
    assert_malformed(&[
        malformed_line!("ROSTER_CHANGE 4 1 0" => "unknown kind of list: 4"),
        malformed_line!("ROSTER_CHANGE 0 1 0" => "a list that was never given"),
        malformed_line!("ROSTER_CHANGE 0 1 3" => "a list that was never given"),
        malformed_line!("INVENTORY zero 2" => "not a number: zero"),
        MalformedInput {
            lines: &[
                "INVENTORY 0 1",
                "ROW m1 z1 1 k 0 3 1 -",
                "ROSTER_CHANGE 0 1 0",
            ],
            message: "unknown readiness: ROW m1 z1 1 k 0 3 1 -",
        },
        MalformedInput {
            lines: &[
                "INVENTORY 0 1",
                "ROW m1 z1 1 k 0 1 heavy -",
                "ROSTER_CHANGE 3 1 0",
            ],
            message: "not a number: heavy",
        },
        MalformedInput {
            lines: &[
                "INVENTORY 0 1",
                "ROW m1 z1 1 k 0 1 1",
                "ROSTER_CHANGE 1 1 0",
            ],
            message: "too few values: ROW m1 z1 1 k 0 1 1",
        },
        MalformedInput {
            lines: &["INVENTORY 0 2", "ROW m1 z1 1 k 0 1 1 -"],
            message: "a list is shorter than told: OVER_TO_YOU",
        },
    ]);
}

#[test]
fn malformed_batch_ends_the_adapter_with_its_message() {
    let cases = [
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
    for (input, message) in cases {
        run_adapter(input).assert_failed_with(message, input);
    }
}

/// A setting with an invalid text, and the complete error message.
struct UnusableSetting {
    path: &'static str,
    text: &'static str,
    message: &'static str,
}

const UNUSABLE_SETTINGS: &[UnusableSetting] = &[
    UnusableSetting {
        path: "membership_mode",
        text: "gossip",
        message: "membership_mode: unknown word: gossip",
    },
    UnusableSetting {
        path: "membership_mode",
        text: "ask",
        message: "a setting is missing: rules.must_ask_in",
    },
    UnusableSetting {
        path: "family_info.counted_by",
        text: "tenant",
        message: "family_info.counted_by: unknown word: tenant",
    },
    UnusableSetting {
        path: "family_info.gate_mode",
        text: "later",
        message: "family_info.gate_mode: unknown word: later",
    },
    UnusableSetting {
        path: "family_info.stage_cap",
        text: "0.1,1.5",
        message: "family_info.stage_cap: out of range: 0.1,1.5",
    },
    UnusableSetting {
        path: "rules.cold_from",
        text: "-0.3",
        message: "rules.cold_from: out of range: -0.3",
    },
    UnusableSetting {
        path: "policy_limits.max_attempts",
        text: "0",
        message: "policy_limits.max_attempts: out of range: 0",
    },
    UnusableSetting {
        path: "me",
        text: "1",
        message: "me: out of range: 1",
    },
];

#[test]
fn unusable_setting_is_refused_with_its_path() {
    for case in UNUSABLE_SETTINGS {
        let spawn = SpawnLine::new().with(case.path, case.text);

        let output = Input::with_spawn(&spawn, &[]).run();

        output.assert_failed_with(case.message, case.path);
    }
}

#[test]
fn missing_setting_is_refused_with_its_path() {
    let spawn = SpawnLine::new().without("policy_limits.second_copies");

    let output = Input::with_spawn(&spawn, &[]).run();

    let message = "a setting is missing: policy_limits.second_copies";
    output.assert_failed_with(message, "without a setting");
}

#[test]
fn answer_slack_below_the_tick_is_refused() {
    let spawn = SpawnLine::new()
        .with("rules.answer_slack", "0.5")
        .with("tick", "1.0");

    let output = Input::with_spawn(&spawn, &[]).run();

    let message = "rules.answer_slack: 500 us are less than a tick";
    output.assert_failed_with(message, "slack below the tick");
}

#[test]
fn event_about_an_unknown_request_or_endpoint_is_ignored() {
    for line in [
        "OUTCOME 9 0 m9 done 18.5 1 -",
        "WITHDRAWN 9",
        "ECHO m9 done 1.0 -",
        "CONTESTED m9 look 900.0",
    ] {
        let output = Input::with_spawn(&SpawnLine::new(), &[line]).run();

        assert!(output.succeeded, "{line}: {}", output.stderr);
        assert!(
            output.stdout.ends_with("ACK 1\n"),
            "{line}: {}",
            output.stdout
        );
        assert!(output.stderr.is_empty(), "{line}: {}", output.stderr);
    }
}
