//! Snapshots in a directory: restarts, unreadable files, the final snapshot at shutdown, and the
//! command that reads them.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// A snapshot file of format version 1.
const VERSION_1_FILE: &[u8] = include_bytes!("../../../snapshot/tests/version-1.memory");
/// The output of `snapshot show --json` for [`VERSION_1_FILE`] when format version 1 was current.
const VERSION_1_JSON: &str = include_str!("../version-1-snapshot.json");

/// A directory for the snapshots of one test.
struct SnapshotDirectory {
    path: String,
}

impl SnapshotDirectory {
    /// A directory that does not exist yet.
    fn new(name: &str) -> SnapshotDirectory {
        let path = format!(
            "{}/memory-{name}-{}",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let _ = std::fs::remove_dir_all(&path);
        SnapshotDirectory { path }
    }

    /// A directory with this file as its only snapshot.
    fn with_snapshot(name: &str, bytes: &[u8]) -> SnapshotDirectory {
        let directory = SnapshotDirectory::new(name);
        std::fs::create_dir_all(&directory.path).unwrap();
        std::fs::write(Path::new(&directory.path).join("memory.0"), bytes).unwrap();
        directory
    }

    /// Writes an operators' file next to the directory, for snapshots at this interval.
    fn operators_file(&self, interval: &str) -> String {
        let directory = &self.path;
        let operators = format!("{directory}.toml");
        std::fs::write(
            &operators,
            format!(
                "[memory]\nfolder = \"{directory}\"\nevery = \"{interval}\"\n\
                 stop_within = \"5 s\"\n"
            ),
        )
        .unwrap();
        operators
    }

    /// A command for a proxy that writes snapshots into the directory at this interval.
    fn proxy_command(&self, config: &ProxyConfig, interval: &str) -> ProxyCommand {
        ProxyCommand::new(config).operators_file(&self.operators_file(interval))
    }

    /// Runs `tidescale snapshot` with these arguments, followed by the directory.
    fn run_snapshot(&self, arguments: &[&str]) -> CommandOutput {
        run_tidescale(&[&["snapshot"], arguments, &[&self.path]].concat())
    }

    /// The ids of the endpoints that are ejected in the newest snapshot.
    fn stored_ejected_endpoints(&self) -> Vec<String> {
        let output = self.run_snapshot(&["show", "--json"]);
        if output.exit_code != Some(0) {
            return Vec::new();
        }
        let document: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
        let records = document["facts"].as_array().unwrap();
        let endpoints = records.iter().map(|record| &record["fact"]["Machine"]);
        endpoints
            .filter(|endpoint| endpoint["aside"] == true)
            .map(|endpoint| endpoint["process"]["id"].as_str().unwrap().to_string())
            .collect()
    }

    /// The names of the files in the directory.
    fn file_names(&self) -> Vec<String> {
        std::fs::read_dir(&self.path)
            .unwrap()
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect()
    }
}

/// Sends requests with ids from `first_id`, at this interval, until the endpoint receives one.
fn send_requests_until_attempted(
    proxy: &RunningProxy,
    endpoint: &RecoveringEndpoint,
    first_id: u32,
    interval: Duration,
) {
    let attempts_before = endpoint.attempts();
    let started_at = Instant::now();
    for id in first_id.. {
        query_with_new_client(proxy.address, id);
        if endpoint.attempts() > attempts_before {
            return;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT * 4,
            "no attempt at the endpoint"
        );
        thread::sleep(interval);
    }
}

/// An endpoint that sends no response to queries until it recovers.
struct RecoveringEndpoint {
    endpoint: TestEndpoint,
    has_recovered: Arc<AtomicBool>,
}

impl RecoveringEndpoint {
    fn start() -> RecoveringEndpoint {
        let has_recovered = Arc::new(AtomicBool::new(false));
        let state = has_recovered.clone();
        let endpoint = TestEndpoint::start(move |_| {
            if state.load(Ordering::Relaxed) {
                EndpointAction::row()
            } else {
                EndpointAction::NoResponse
            }
        });
        RecoveringEndpoint {
            endpoint,
            has_recovered,
        }
    }

    fn recover(&self) {
        self.has_recovered.store(true, Ordering::Relaxed);
    }

    /// The number of client requests that it has received; health checks do not count.
    fn attempts(&self) -> usize {
        self.endpoint.events.queries_with("facts")
    }
}

#[test]
fn restarted_instance_keeps_an_unresponsive_endpoint_ejected_until_it_has_recovered() {
    let unresponsive = RecoveringEndpoint::start();
    let healthy = TestEndpoint::responsive();
    let directory = SnapshotDirectory::new("unresponsive");
    let config = ProxyConfig::new()
        .endpoint(unresponsive.endpoint.address)
        .endpoint(healthy.address);
    let proxy = directory.proxy_command(&config, "100 ms").start();

    // One request goes to the unresponsive endpoint. When that has taken longer than its objective,
    // the endpoint is ejected, and the next snapshot contains the ejection.
    send_requests_until_attempted(&proxy, &unresponsive, 0, Duration::ZERO);
    wait_until("no snapshot with the ejection", || {
        directory.stored_ejected_endpoints() == ["s-0"]
    });
    drop(proxy);
    let attempts_before = unresponsive.attempts();

    let proxy = directory.proxy_command(&config, "100 ms").start();
    for id in 1000..1030 {
        assert_eq!(
            query_with_new_client(proxy.address, id),
            Response::row(VALUE)
        );
    }
    assert_eq!(
        unresponsive.attempts(),
        attempts_before,
        "an attempt at an endpoint that was ejected before the restart"
    );

    unresponsive.recover();
    send_requests_until_attempted(&proxy, &unresponsive, 2000, Duration::from_millis(20));
}

#[test]
fn unreadable_snapshots_are_quarantined_and_the_instance_serves() {
    let endpoint = TestEndpoint::responsive();
    // A header of format version 9, and one that gives the rest of the file a length of 3 GB.
    let newer = [&b"tidemem\n"[..], &[0, 0, 0, 9], &[0; 40]].concat();
    let huge = [
        &b"tidemem\n"[..],
        &[0, 0, 0, 1],
        &[0; 20],
        &3_000_000_000u64.to_be_bytes(),
        &[0; 4],
    ]
    .concat();
    // The name of a quarantined file ends with a label for the reason.
    for (label, bytes) in [
        ("empty", vec![]),
        ("newer", newer),
        ("torn", huge),
        ("foreign", vec![b'x'; 70_000]),
    ] {
        let directory = SnapshotDirectory::with_snapshot(label, &bytes);
        std::fs::create_dir_all(format!("{}/memory.1", directory.path)).unwrap();
        let config = ProxyConfig::new().endpoint(endpoint.address);

        let proxy = directory.proxy_command(&config, "100 ms").start();

        let response = query_with_new_client(proxy.address, 1);
        assert_eq!(response, Response::row(VALUE), "{label}");
        let files = directory.file_names();
        for suffix in [label, "unreadable"] {
            let quarantined = files
                .iter()
                .any(|file| file.starts_with("set-aside.") && file.ends_with(suffix));
            assert!(quarantined, "{files:?}");
        }
    }
}

#[test]
fn final_snapshot_is_written_at_sigterm_and_a_second_instance_serves_without_snapshots() {
    let endpoint = TestEndpoint::responsive();
    let directory = SnapshotDirectory::new("sigterm");
    let start = || {
        let config = ProxyConfig::new().endpoint(endpoint.address);
        let proxy = directory.proxy_command(&config, "1 h").start();
        // The proxy listens before it has locked the directory, but responds only afterwards.
        assert_eq!(
            query_with_new_client(proxy.address, 1),
            Response::row(VALUE)
        );
        proxy
    };
    let exit_code = |command| directory.run_snapshot(&[command]).exit_code;
    let mut first = start();
    let _second = start();
    assert_eq!(exit_code("check"), Some(1));
    assert_eq!(
        exit_code("clear"),
        Some(1),
        "an instance has locked the directory"
    );

    first.signal("-TERM");
    let signalled_at = Instant::now();
    while first.child.try_wait().unwrap().is_none() {
        assert!(signalled_at.elapsed() < TEST_TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }

    let checked = directory.run_snapshot(&["check"]);
    assert_eq!(checked.exit_code, Some(0), "{}", checked.stdout);
    assert!(checked.stdout.contains("is whole"), "{}", checked.stdout);
    let shown = directory.run_snapshot(&["show", "--json"]);
    assert_eq!(shown.exit_code, Some(0), "{}", shown.stdout);
    assert!(shown.stdout.contains("\"Machine\""), "{}", shown.stdout);
    assert_eq!(exit_code("clear"), Some(0));
    assert_eq!(exit_code("show"), Some(1));
}

#[test]
fn final_snapshot_that_cannot_be_written_is_not_logged_as_written() {
    let directory = SnapshotDirectory::new("blocked");
    let log = format!("{}.log", directory.path);
    let mut proxy = directory
        .proxy_command(&ProxyConfig::new(), "1 h")
        .log(File::create(&log).unwrap())
        .start();
    // A response shows that the proxy has opened the directory.
    query_with_new_client(proxy.address, 1);
    std::fs::create_dir(format!("{}/memory.new", directory.path)).unwrap();

    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());

    let log = std::fs::read_to_string(&log).unwrap();
    assert!(log.contains("snapshot write failed"), "{log}");
    assert!(!log.contains("final snapshot written"), "{log}");
}

#[test]
fn json_of_a_version_1_file_is_unchanged() {
    let directory = SnapshotDirectory::with_snapshot("json", VERSION_1_FILE);
    let file = format!("{}/memory.0", directory.path);
    for path in [&directory.path, &file] {
        let output = run_tidescale(&["snapshot", "show", "--json", path]);

        assert_eq!(output.exit_code, Some(0));
        assert_eq!(output.stderr, "");
        assert_eq!(output.stdout, VERSION_1_JSON);
    }
}

#[test]
fn former_name_of_the_snapshot_command_is_a_hidden_alias() {
    let directory = SnapshotDirectory::with_snapshot("alias", VERSION_1_FILE);
    for name in ["snapshot", "memory"] {
        let shown = run_tidescale(&[name, "show", "--json", &directory.path]);
        assert_eq!(shown.exit_code, Some(0), "{name}");
        assert_eq!(shown.stdout, VERSION_1_JSON, "{name}");

        let checked = run_tidescale(&[name, "check", &directory.path]);
        assert_eq!(checked.exit_code, Some(0), "{name}");
        assert!(checked.stdout.contains("is whole"), "{}", checked.stdout);

        let without_directory = run_tidescale(&[name, "show"]);
        assert_eq!(without_directory.exit_code, Some(2), "{name}");
        assert_eq!(without_directory.stderr.lines().count(), 1, "{name}");
        assert_eq!(run_tidescale(&[name]).exit_code, Some(2), "{name}");
    }
    let help = run_tidescale(&["--help"]).stdout;
    assert!(
        help.contains("snapshot") && !help.contains("memory"),
        "{help}"
    );

    let cleared = run_tidescale(&["memory", "clear", &directory.path]);
    assert_eq!(cleared.exit_code, Some(0));
    assert_eq!(directory.run_snapshot(&["check"]).exit_code, Some(1));
}
