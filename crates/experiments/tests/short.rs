//! Short forms of the long runs, with fixed seeds.

use std::process::Command;

/// What a run of the program left.
#[derive(Debug, PartialEq, Eq)]
struct Run {
    succeeded: bool,
    output: String,
}

impl Run {
    fn summary(&self) -> &str {
        self.output.lines().last().unwrap()
    }
}

fn run(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_tidescale-experiments"))
        .args(args)
        .output()
        .unwrap();
    Run {
        succeeded: output.status.success(),
        output: String::from_utf8(output.stdout).unwrap(),
    }
}

#[test]
fn histories_on_a_simulated_disk_read_back_whole() {
    let run = run(&["disk", "--histories", "60", "--seed", "7"]);
    assert!(
        run.succeeded && run.summary().starts_with("disk: 60 histories"),
        "{}",
        run.output
    );
    assert_eq!(
        run.output.matches("caught in history").count(),
        3,
        "{}",
        run.output
    );
}

#[test]
fn processes_killed_during_writes_leave_whole_states() {
    let dir = env!("CARGO_TARGET_TMPDIR");
    let run = run(&[
        "torture", "--kills", "60", "--lanes", "4", "--seed", "7", "--dir", dir,
    ]);
    assert!(
        run.succeeded && run.output.contains("60 kills in 4 folders"),
        "{}",
        run.output
    );
}

#[test]
fn wrong_deciders_on_rollbacks_are_caught_and_the_policy_is_not() {
    for (word, runs, caught) in [
        ("never", "40", true),
        ("first", "60", true),
        ("module", "200", false),
    ] {
        let run = run(&["verdicts", "--runs", runs, "--seed", "3", "--word", word]);
        let summary = run.summary();
        assert!(
            summary.contains(" trials, ") && summary.ends_with("broken") == caught,
            "{summary}"
        );
    }
}

#[test]
fn traces_of_a_seed_are_the_same_twice_and_differ_from_another_seed() {
    let trace = |seed: &str| run(&["trace", "--runs", "16", "--seed", seed]);
    let first = trace("5");
    let second = trace("5");
    let other = trace("6");
    assert!(
        first.succeeded && first.output.starts_with("trace: seed 5, 16 trials, "),
        "{}",
        first.output
    );
    assert_eq!(first, second);
    let digest = |run: &Run| run.output.trim().rsplit(' ').next().map(str::to_string);
    assert_ne!(digest(&first), digest(&other));
}
