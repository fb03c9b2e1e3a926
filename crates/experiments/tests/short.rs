//! Short runs of the experiments `disk`, `torture`, `verdicts` and `trace` with fixed seeds.

use std::process::Command;

/// Exit status and output of a run of the program.
#[derive(Debug, PartialEq, Eq)]
struct Run {
    succeeded: bool,
    output: String,
}

impl Run {
    /// Returns the last line of the output.
    fn summary(&self) -> &str {
        self.output.lines().last().unwrap()
    }
}

fn run_experiment(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_tidescale-experiments"))
        .args(args)
        .output()
        .unwrap();
    Run {
        succeeded: output.status.success(),
        output: String::from_utf8(output.stdout).unwrap(),
    }
}

fn run_trace(seed: &str) -> Run {
    run_experiment(&["trace", "--runs", "16", "--seed", seed])
}

/// Returns the digest at the end of the summary line of `trace`.
fn digest_of(trace: &Run) -> &str {
    trace.summary().rsplit(' ').next().unwrap()
}

#[test]
fn power_losses_leave_whole_snapshots_and_injected_faults_are_caught() {
    let run = run_experiment(&["disk", "--histories", "60", "--seed", "7"]);

    assert!(run.succeeded, "{}", run.output);
    assert!(
        run.summary().starts_with("disk: 60 histories"),
        "{}",
        run.output
    );
    let caught = run.output.matches("caught in history").count();
    assert_eq!(caught, 3, "{}", run.output);
}

#[test]
fn processes_killed_during_saves_leave_whole_snapshots() {
    let dir = env!("CARGO_TARGET_TMPDIR");

    let run = run_experiment(&[
        "torture", "--kills", "60", "--lanes", "4", "--seed", "7", "--dir", dir,
    ]);

    assert!(run.succeeded, "{}", run.output);
    assert!(
        run.output.contains("60 kills in 4 folders"),
        "{}",
        run.output
    );
}

/// A run of `verdicts` with one of its rollback triggers.
struct RollbackTriggerCase {
    /// Value of the option `--word`, which selects what triggers a rollback: `module` for the votes
    /// of the policy, or one of the wrong triggers `never` and `first` (the first failure).
    rollback_trigger: &'static str,
    /// Number of trials.
    runs: &'static str,
    /// Whether the experiment has to report that a rate exceeds its limit.
    exceeds_limit: bool,
}

#[test]
fn wrong_rollback_triggers_exceed_the_limits_and_votes_do_not() {
    let cases = [
        RollbackTriggerCase {
            rollback_trigger: "never",
            runs: "40",
            exceeds_limit: true,
        },
        RollbackTriggerCase {
            rollback_trigger: "first",
            runs: "60",
            exceeds_limit: true,
        },
        RollbackTriggerCase {
            rollback_trigger: "module",
            runs: "200",
            exceeds_limit: false,
        },
    ];
    for case in cases {
        let run = run_experiment(&[
            "verdicts",
            "--seed",
            "3",
            "--word",
            case.rollback_trigger,
            "--runs",
            case.runs,
        ]);

        let summary = run.summary();
        assert!(summary.contains(" trials, "), "{summary}");
        assert_eq!(summary.ends_with("broken"), case.exceeds_limit, "{summary}");
    }
}

#[test]
fn traces_with_the_same_seed_are_equal_and_with_another_seed_differ() {
    let first = run_trace("5");
    let second = run_trace("5");
    let other_seed = run_trace("6");

    assert!(first.succeeded, "{}", first.output);
    assert!(
        first.output.starts_with("trace: seed 5, 16 trials, "),
        "{}",
        first.output
    );
    assert_eq!(first, second);
    assert_ne!(digest_of(&first), digest_of(&other_seed));
}
