//! Runs the adapter on given input.

use std::io::Write;
use std::process::{Command, Stdio};

/// The line that starts an instance with a complete set of settings.
pub const START: &str = "SPAWN 7 me=0 balancers=1 zone=z1 classes.count=1 classes.0.idempotency=retryable \
    classes.0.name=look classes.0.target=500.0 classes.0.value=1.0 membership_mode=push \
    tariffs.cross_zone=0.0 policy_limits.probes=true policy_limits.may_cancel=true policy_limits.second_copies=true \
    policy_limits.max_attempts=3 policy_limits.retry_after=false rules.answer_slack=20.0 rules.drain_grace=500.0 \
    rules.cold_from=0.3 rules.cold=4000.0 rules.fall_multiple=2.0 rules.fall=1500.0 \
    family_info.stage_cap=0.1,1.0 family_info.allowance=2.0 family_info.exposure_window=4000.0 \
    family_info.counted_by=all family_info.guarded_stages=1 family_info.forward_only=false \
    family_info.gate_mode=automatic family_info.min_dwell=1000.0 family_info.to_abort=1 \
    family_info.api_rate=100.0 family_info.vote_life=5000.0 family_info.vote_wait=1000.0";

/// What came of one run of the adapter.
pub struct Run {
    /// It ended with exit status 0.
    pub succeeded: bool,
    /// All of its stdout.
    pub reply: String,
    /// All of its stderr.
    pub message: String,
}

/// Runs the adapter on this input until it ends.
pub fn run(input: &str) -> Run {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_tidescale-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    adapter
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    let output = adapter.wait_with_output().unwrap();
    Run {
        succeeded: output.status.success(),
        reply: String::from_utf8(output.stdout).unwrap(),
        message: String::from_utf8(output.stderr).unwrap(),
    }
}
