//! Builds input for the adapter, runs the adapter on it and captures its output.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fmt;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A complete set of settings, one per line.
const SETTINGS: &str = "me=0
balancers=1
zone=z1
classes.count=1
classes.0.deadline=1200.0
classes.0.idempotency=retryable
classes.0.name=look
classes.0.target=500.0
classes.0.value=1.0
membership_mode=push
tariffs.cross_zone=0.0
policy_limits.probes=true
policy_limits.may_cancel=true
policy_limits.second_copies=true
policy_limits.max_attempts=3
policy_limits.retry_after=false
rules.answer_slack=20.0
rules.drain_grace=500.0
rules.cold_from=0.3
rules.cold=4000.0
rules.fall_multiple=2.0
rules.fall=1500.0
family_info.stage_cap=0.1,1.0
family_info.allowance=2.0
family_info.exposure_window=4000.0
family_info.counted_by=all
family_info.guarded_stages=1
family_info.forward_only=false
family_info.gate_mode=automatic
family_info.min_dwell=1000.0
family_info.to_abort=1
family_info.api_rate=100.0
family_info.vote_life=5000.0
family_info.vote_wait=1000.0";

/// Builds the `SPAWN` line that starts an instance; `Display` writes the line.
pub struct SpawnLine {
    /// Pairs of path and text.
    settings: Vec<(String, String)>,
}

impl SpawnLine {
    /// Creates a line with the complete set of settings.
    pub fn new() -> SpawnLine {
        let settings = SETTINGS.lines().filter_map(|line| line.split_once('='));
        SpawnLine {
            settings: settings
                .map(|(path, text)| (path.to_string(), text.to_string()))
                .collect(),
        }
    }

    /// Changes or adds a setting.
    pub fn with(mut self, path: &str, text: &str) -> SpawnLine {
        self.settings.retain(|(other, _)| other != path);
        self.settings.push((path.to_string(), text.to_string()));
        self
    }

    /// Removes a setting.
    pub fn without(mut self, path: &str) -> SpawnLine {
        let complete = self.settings.len();
        self.settings.retain(|(other, _)| other != path);
        assert_eq!(self.settings.len(), complete - 1, "no such setting: {path}");
        self
    }
}

impl fmt::Display for SpawnLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SPAWN 7")?;
        for (path, text) in &self.settings {
            write!(formatter, " {path}={text}")?;
        }
        Ok(())
    }
}

/// Input of several batches for instance 0, numbered from 1.
pub struct Input {
    text: String,
    batch_count: u64,
}

impl Input {
    /// Creates input with a first batch at 1 ms that starts the instance and contains these lines.
    pub fn with_spawn(spawn: &SpawnLine, lines: &[&str]) -> Input {
        let input = Input {
            text: String::new(),
            batch_count: 0,
        };
        let spawn = spawn.to_string();
        let lines = [&[spawn.as_str()], lines].concat();
        input.batch(1, &lines)
    }

    /// Adds a batch with these lines, at this time on the simulator's clock.
    pub fn batch(mut self, milliseconds: u32, lines: &[&str]) -> Input {
        self.batch_count += 1;
        let number = self.batch_count;
        self.text += &format!("MARK {milliseconds} {number}\nAT 0\n");
        for line in lines {
            self.text += &format!("{line}\n");
        }
        self.text += "OVER_TO_YOU\n";
        self
    }

    /// Adds a batch every 10 ms that only steps the instance.
    pub fn wake_ups(self, milliseconds: std::ops::Range<u32>) -> Input {
        milliseconds
            .step_by(10)
            .fold(self, |input, at| input.batch(at, &["WAKEUP 0"]))
    }

    /// Runs the adapter on this input.
    pub fn run(&self) -> AdapterOutput {
        run_adapter(&self.text)
    }
}

/// Exit status and output of a finished adapter.
pub struct AdapterOutput {
    /// Whether the exit status was 0.
    pub succeeded: bool,
    /// Complete output on stdout.
    pub stdout: String,
    /// Complete output on stderr.
    pub stderr: String,
}

impl AdapterOutput {
    /// Lines of stdout that start with this text.
    pub fn lines_starting_with<'a>(&'a self, start: &'a str) -> Vec<&'a str> {
        let lines = self.stdout.lines();
        lines.filter(|line| line.starts_with(start)).collect()
    }

    /// Asserts that the adapter failed with this message: as the only line on stdout, and on stderr
    /// after the program's name.
    pub fn assert_failed_with(&self, message: &str, case: &str) {
        assert!(!self.succeeded, "{case}: the adapter succeeded");
        assert_eq!(self.stdout, format!("INTERNAL_ERROR {message}\n"), "{case}");
        let expected_stderr = format!("tidescale-simhost: {message}\n");
        assert_eq!(self.stderr, expected_stderr, "{case}");
    }
}

/// Runs the adapter on this input until it exits.
pub fn run_adapter(input: &str) -> AdapterOutput {
    let mut adapter = start_adapter();
    adapter
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    let output = adapter.wait_with_output().unwrap();
    AdapterOutput {
        succeeded: output.status.success(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn start_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_tidescale-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// A running adapter with instance 0, for tests whose input depends on earlier replies.
pub struct Session {
    adapter: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    batch_count: u64,
}

impl Session {
    /// Starts the adapter. The first batch has to start the instance.
    pub fn start() -> Session {
        let mut adapter = start_adapter();
        let input = adapter.stdin.take().unwrap();
        let output = BufReader::new(adapter.stdout.take().unwrap());
        Session {
            adapter,
            input,
            output,
            batch_count: 0,
        }
    }

    /// Sends a batch at this time on the simulator's clock. Returns the lines of the reply before
    /// the acknowledgement.
    pub fn exchange(&mut self, milliseconds: u32, lines: &[String]) -> Vec<String> {
        self.batch_count += 1;
        let number = self.batch_count;
        let lines = lines.join("\n");
        let batch = format!("MARK {milliseconds} {number}\nAT 0\n{lines}\nOVER_TO_YOU\n");
        self.input.write_all(batch.as_bytes()).unwrap();
        self.input.flush().unwrap();
        let acknowledgement = format!("ACK {number}");
        let mut reply = Vec::new();
        loop {
            let mut line = String::new();
            self.output.read_line(&mut line).unwrap();
            let line = line.trim_end().to_string();
            if line == acknowledgement {
                return reply;
            }
            assert!(
                !line.is_empty(),
                "the adapter exited; last reply: {reply:?}"
            );
            reply.push(line);
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let _ = self.adapter.kill();
        let _ = self.adapter.wait();
    }
}
