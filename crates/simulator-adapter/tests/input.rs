//! What the adapter does with input that is malformed, and with news of what is not known.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "SPAWN 7 me=0 balancers=1 zone=z1 classes.count=1 classes.0.idempotency=retryable \
    classes.0.name=look classes.0.target=500.0 classes.0.value=1.0 membership_mode=push \
    tariffs.cross_zone=0.0 policy_limits.probes=true policy_limits.may_cancel=true policy_limits.second_copies=true \
    policy_limits.max_attempts=3 policy_limits.retry_after=false rules.answer_slack=20.0 rules.drain_grace=500.0 \
    rules.cold_from=0.3 rules.cold=4000.0 rules.fall_multiple=2.0 rules.fall=1500.0 \
    family_info.stage_cap=0.1,1.0 family_info.allowance=2.0 family_info.exposure_window=4000.0 \
    family_info.counted_by=all family_info.guarded_stages=1 family_info.forward_only=false \
    family_info.gate_mode=automatic family_info.min_dwell=1000.0 family_info.to_abort=1 \
    family_info.api_rate=100.0 family_info.vote_life=5000.0 family_info.vote_wait=1000.0";

fn run(lines: &str) -> (bool, String, String) {
    let mut host = Command::new(env!("CARGO_BIN_EXE_tidescale-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    host.stdin
        .take()
        .unwrap()
        .write_all(lines.as_bytes())
        .unwrap();
    let done = host.wait_with_output().unwrap();
    let [reply, complaint] = [done.stdout, done.stderr].map(|b| String::from_utf8(b).unwrap());
    (done.status.success(), reply, complaint)
}

#[test]
fn malformed_input_ends_with_one_clear_line() {
    // The lines of one batch after the start, and what the complaint names.
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
        let (ok, _, complaint) = run(&format!(
            "MARK 1.0 1\nAT 0\n{START}\n{lines}\nOVER_TO_YOU\n"
        ));
        assert!(
            !ok && complaint.lines().count() == 1 && complaint.contains(wanted),
            "{lines}: {complaint}"
        );
    }
}

#[test]
fn news_of_what_is_not_known_is_ignored() {
    for line in [
        "OUTCOME 9 0 m9 done 18.5 1 -",
        "WITHDRAWN 9",
        "ECHO m9 done 1.0 -",
        "CONTESTED m9 look 900.0",
    ] {
        let (ok, reply, complaint) =
            run(&format!("MARK 1.0 1\nAT 0\n{START}\n{line}\nOVER_TO_YOU\n"));
        assert!(
            ok && reply.ends_with("ACK 1\n") && complaint.is_empty(),
            "{line}: {reply}{complaint}"
        );
    }
}

#[test]
fn a_setting_that_cannot_be_kept_is_refused_by_its_name() {
    // What is told in place of another, and what the complaint names.
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
    for (told, instead, wanted) in table {
        let start = START.replace(told, instead);
        assert_ne!(start, START, "{told}");
        let (ok, _, complaint) = run(&format!("MARK 1.0 1\nAT 0\n{start}\nOVER_TO_YOU\n"));
        assert!(
            !ok && complaint.lines().count() == 1 && complaint.contains(wanted),
            "{told}: {complaint}"
        );
    }
}

#[test]
fn no_second_copy_goes_out_where_the_settings_forbid_it() {
    // A hundred quick answers, then a req that its machine does not answer.
    for (told, wanted) in [("second_copies=true", 2), ("second_copies=false", 1)] {
        let start = START.replace("second_copies=true", told);
        let mut lines = format!("MARK 1 1\nAT 0\n{start}\nINVENTORY 0 2\n");
        lines += "ROW m1 z1 1 k 0 1 1 -\nROW m2 z1 1 k 0 1 1 -\nROSTER_CHANGE 0 1 0\nOVER_TO_YOU\n";
        for n in 0..150 {
            let at = 10 + 20 * n;
            lines += &format!("MARK {at} 2\nAT 0\nASK {n} look - - 900.0 - 0 0\nOVER_TO_YOU\n");
            let (at, done) = (at + 10, format!("OUTCOME {n} 0 m1 done 10.0 1 -"));
            lines += &format!("MARK {at} 2\nAT 0\n{done}\nOVER_TO_YOU\n");
        }
        lines += "MARK 4000 2\nAT 0\nASK 900 look - - 900.0 - 0 0\nOVER_TO_YOU\n";
        for at in (4010..4600).step_by(10) {
            lines += &format!("MARK {at} 2\nAT 0\nWAKEUP 0\nOVER_TO_YOU\n");
        }
        let (ok, reply, complaint) = run(&lines);
        assert!(ok, "{complaint}");
        assert_eq!(
            reply.lines().filter(|l| l.starts_with("SEND 900 ")).count(),
            wanted,
            "{told}"
        );
    }
}
