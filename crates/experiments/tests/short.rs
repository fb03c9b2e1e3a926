//! Short forms of the long runs, with fixed seeds.

use std::process::Command;

fn lab(args: &[&str]) -> (bool, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_tidescale-experiments"))
        .args(args)
        .output()
        .unwrap();
    (
        done.status.success(),
        String::from_utf8(done.stdout).unwrap(),
    )
}

#[test]
fn histories_on_a_modelled_disk_read_back_whole() {
    let (whole, told) = lab(&["disk", "--histories", "60", "--seed", "7"]);
    assert!(
        whole
            && told
                .lines()
                .last()
                .unwrap()
                .starts_with("disk: 60 histories"),
        "{told}"
    );
    assert_eq!(told.matches("caught in history").count(), 3, "{told}");
}

#[test]
fn processes_killed_during_writes_leave_whole_states() {
    let dir = env!("CARGO_TARGET_TMPDIR");
    let (whole, told) = lab(&[
        "torture", "--kills", "60", "--lanes", "4", "--seed", "7", "--dir", dir,
    ]);
    assert!(whole && told.contains("60 kills in 4 folders"), "{told}");
}

#[test]
fn words_that_are_wrong_about_builds_are_caught_and_the_modules_is_not() {
    for (word, runs, caught) in [
        ("never", "40", true),
        ("first", "60", true),
        ("module", "200", false),
    ] {
        let (_, told) = lab(&["verdicts", "--runs", runs, "--seed", "3", "--word", word]);
        let last = told.lines().last().unwrap();
        assert!(
            last.contains(" trials, ") && last.ends_with("broken") == caught,
            "{last}"
        );
    }
}

#[test]
fn traces_of_a_seed_are_the_same_twice_and_tell_another_seed_apart() {
    let trace = |seed: &str| lab(&["trace", "--runs", "16", "--seed", seed]);
    let (first, second, other) = (trace("5"), trace("5"), trace("6"));
    assert!(
        first.0 && first.1.starts_with("trace: seed 5, 16 trials, "),
        "{}",
        first.1
    );
    assert_eq!(first, second);
    let digest = |line: &str| line.trim().rsplit(' ').next().map(str::to_string);
    assert_ne!(digest(&first.1), digest(&other.1));
}
