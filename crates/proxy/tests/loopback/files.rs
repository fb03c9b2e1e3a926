//! Snapshots in a directory: over a restart, damaged ones, the last one, and the command that looks at them.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    CommandOutput, EndpointAction, TEST_TIMEOUT, config_with_endpoints, one_query, run_tidescale,
    start_endpoint, start_proxy_logging_to, start_proxy_with, wait_until,
};

/// What version 1 wrote, and what was printed of it then.
const VERSION_1_FILE: &[u8] = include_bytes!("../../../snapshot/tests/version-1.memory");
const VERSION_1_JSON: &str = include_str!("../version-1-snapshot.json");

/// A path for a directory of a test's own.
fn snapshot_directory(name: &str) -> String {
    let directory = format!(
        "{}/memory-{name}-{}",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

/// An operators' file beside the directory that names it.
fn operators_file(directory: &str, interval: &str) -> String {
    let operators = format!("{directory}.toml");
    std::fs::write(
        &operators,
        format!(
            "[memory]\nfolder = \"{directory}\"\nevery = \"{interval}\"\nstop_within = \"5 s\"\n"
        ),
    )
    .unwrap();
    operators
}

#[test]
fn a_restarted_instance_spares_clients_a_silent_endpoint_and_takes_it_back_once_healed() {
    let healed = Arc::new(AtomicBool::new(false));
    let healed_for_endpoint = healed.clone();
    let act = move |_| {
        if healed_for_endpoint.load(Ordering::Relaxed) {
            EndpointAction::Row(vec![5])
        } else {
            EndpointAction::Silence
        }
    };
    let (silent, received) = start_endpoint(act);
    let (good, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let directory = snapshot_directory("silent");
    let operators = operators_file(&directory, "100 ms");
    let config = config_with_endpoints(&[silent, good], 128);
    let words = ["run", "--operators", &operators];
    let instance = start_proxy_with(&config, &words);
    let attempts_at_silent = || {
        let queries = received.lock().unwrap();
        queries
            .iter()
            .filter(|query| query.contains("facts"))
            .count()
    };
    // One request goes to the silent endpoint and waits in vain; after its objective the endpoint is ejected, and a
    // snapshot says so.
    let begun = Instant::now();
    for id in 0.. {
        one_query(instance.addr, id);
        if attempts_at_silent() > 0 {
            break;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT * 4);
    }
    wait_until("no snapshot with the ejection", || {
        stored_ejected_endpoints(&directory) == ["s-0"]
    });
    drop(instance);
    let before = attempts_at_silent();
    let instance = start_proxy_with(&config, &words);
    for id in 1000..1030 {
        let (tags, value) = one_query(instance.addr, id);
        assert_eq!((tags.as_str(), &value[..]), ("TDCZ", &[5][..]));
    }
    assert_eq!(
        attempts_at_silent(),
        before,
        "an attempt at an endpoint that was known to be silent"
    );
    healed.store(true, Ordering::Relaxed);
    let begun = Instant::now();
    for id in 2000.. {
        one_query(instance.addr, id);
        if attempts_at_silent() > before {
            break;
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT * 4,
            "it stays ejected though it has healed"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// The endpoints that the newest snapshot in a directory holds as ejected.
fn stored_ejected_endpoints(directory: &str) -> Vec<String> {
    let output = run_tidescale(&["snapshot", "show", "--json", directory]);
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

#[test]
fn files_that_cannot_be_read_are_set_aside_and_the_instance_serves() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let newer = [&b"tidemem\n"[..], &[0, 0, 0, 9], &[0; 40]].concat();
    let huge = [
        &b"tidemem\n"[..],
        &[0, 0, 0, 1],
        &[0; 20],
        &3_000_000_000u64.to_be_bytes(),
        &[0; 4],
    ]
    .concat();
    for (name, bytes) in [
        ("empty", vec![]),
        ("newer", newer),
        ("torn", huge),
        ("foreign", vec![b'x'; 70_000]),
    ] {
        let directory = snapshot_directory(name);
        let operators = operators_file(&directory, "100 ms");
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(format!("{directory}/memory.0"), bytes).unwrap();
        std::fs::create_dir_all(format!("{directory}/memory.1")).unwrap();
        let instance = start_proxy_with(
            &config_with_endpoints(&[addr], 128),
            &["run", "--operators", &operators],
        );
        assert_eq!(one_query(instance.addr, 1).0, "TDCZ", "{name}");
        let files: Vec<String> = std::fs::read_dir(&directory)
            .unwrap()
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        for label in [name, "unreadable"] {
            assert!(
                files
                    .iter()
                    .any(|file| file.starts_with("set-aside.") && file.ends_with(label)),
                "{files:?}"
            );
        }
    }
}

#[test]
fn the_last_snapshot_is_written_at_sigterm_and_a_second_instance_goes_without() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let directory = snapshot_directory("sigterm");
    let operators = operators_file(&directory, "1 h");
    let words = ["run", "--operators", &operators];
    let mut first = start_proxy_with(&config_with_endpoints(&[addr], 128), &words);
    // It listens before it has locked the directory, and answers afterwards.
    assert_eq!(one_query(first.addr, 1).0, "TDCZ");
    let second = start_proxy_with(&config_with_endpoints(&[addr], 128), &words);
    assert_eq!(one_query(second.addr, 1).0, "TDCZ");
    assert_eq!(
        run_tidescale(&["snapshot", "check", &directory]).exit_code,
        Some(1)
    );
    assert_eq!(
        run_tidescale(&["snapshot", "clear", &directory]).exit_code,
        Some(1),
        "an instance has locked it"
    );
    first.signal("-TERM");
    let begun = Instant::now();
    while first.child.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < TEST_TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
    let CommandOutput {
        exit_code: code,
        stdout: output,
        ..
    } = run_tidescale(&["snapshot", "check", &directory]);
    assert!(code == Some(0) && output.contains("is whole"), "{output}");
    let CommandOutput {
        exit_code: code,
        stdout: output,
        ..
    } = run_tidescale(&["snapshot", "show", "--json", &directory]);
    assert!(
        code == Some(0) && output.contains("\"Machine\""),
        "{output}"
    );
    assert_eq!(
        run_tidescale(&["snapshot", "clear", &directory]).exit_code,
        Some(0)
    );
    assert_eq!(
        run_tidescale(&["snapshot", "show", &directory]).exit_code,
        Some(1)
    );
}

#[test]
fn a_last_snapshot_that_cannot_be_written_is_not_reported_as_written() {
    let directory = snapshot_directory("blocked");
    let operators = operators_file(&directory, "1 h");
    let log = format!("{directory}.log");
    let mut instance = start_proxy_logging_to(
        &config_with_endpoints(&[], 128),
        &["run", "--operators", &operators],
        File::create(&log).unwrap(),
    );
    // It answers once it has opened the directory.
    one_query(instance.addr, 1);
    std::fs::create_dir(format!("{directory}/memory.new")).unwrap();
    instance.signal("-TERM");
    assert!(instance.child.wait().unwrap().success());
    let log = std::fs::read_to_string(&log).unwrap();
    assert!(log.contains("snapshot write failed"), "{log}");
    assert!(!log.contains("final snapshot written"), "{log}");
}

/// A directory with the version-1 file and nothing else.
fn version_1_directory(name: &str) -> String {
    let directory = snapshot_directory(name);
    std::fs::create_dir_all(&directory).unwrap();
    std::fs::write(Path::new(&directory).join("memory.0"), VERSION_1_FILE).unwrap();
    directory
}

#[test]
fn the_json_of_a_version_1_file_is_what_it_always_was() {
    let directory = version_1_directory("json");
    let file = format!("{directory}/memory.0");
    for path in [&directory, &file] {
        let CommandOutput {
            exit_code: code,
            stdout: output,
            stderr: complaint,
        } = run_tidescale(&["snapshot", "show", "--json", path]);
        assert_eq!((code, complaint.as_str()), (Some(0), ""));
        assert_eq!(output, VERSION_1_JSON);
    }
}

#[test]
fn the_commands_old_name_is_a_hidden_alias() {
    let directory = version_1_directory("alias");
    for name in ["snapshot", "memory"] {
        let CommandOutput {
            exit_code: code,
            stdout: output,
            ..
        } = run_tidescale(&[name, "show", "--json", &directory]);
        assert_eq!((code, output.as_str()), (Some(0), VERSION_1_JSON), "{name}");
        let CommandOutput {
            exit_code: code,
            stdout: output,
            ..
        } = run_tidescale(&[name, "check", &directory]);
        assert!(code == Some(0) && output.contains("is whole"), "{output}");
        let CommandOutput {
            exit_code: code,
            stderr: complaint,
            ..
        } = run_tidescale(&[name, "show"]);
        assert_eq!((code, complaint.lines().count()), (Some(2), 1), "{name}");
        assert_eq!(run_tidescale(&[name]).exit_code, Some(2), "{name}");
    }
    let CommandOutput { stdout: help, .. } = run_tidescale(&["--help"]);
    assert!(
        help.contains("snapshot") && !help.contains("memory"),
        "{help}"
    );
    assert_eq!(
        run_tidescale(&["memory", "clear", &directory]).exit_code,
        Some(0)
    );
    assert_eq!(
        run_tidescale(&["snapshot", "check", &directory]).exit_code,
        Some(1)
    );
}
