//! A memory kept in a folder.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// A folder of a test's own with an operators' file beside it that names it.
fn memory_folder(name: &str) -> (String, String) {
    let folder = format!(
        "{}/memory-{name}-{}",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let _ = std::fs::remove_dir_all(&folder);
    let operators = format!("{folder}.toml");
    std::fs::write(
        &operators,
        format!("[memory]\nfolder = \"{folder}\"\nevery = \"100 ms\"\n"),
    )
    .unwrap();
    (folder, operators)
}

#[test]
fn a_restarted_front_spares_clients_a_silent_machine_and_takes_it_back_once_healed() {
    let healed = Arc::new(AtomicU8::new(0));
    let seen_by = healed.clone();
    let act = move |_| {
        if seen_by.load(Ordering::Relaxed) == 1 {
            EndpointAction::Row(vec![5])
        } else {
            EndpointAction::Silence
        }
    };
    let (silent, asked) = start_endpoint(act);
    let (good, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let (_, operators) = memory_folder("silent");
    let config = config_with_endpoints(&[silent, good], 128);
    let words = ["run", "--operators", &operators];
    let proxy = start_proxy_with(&config, &words);
    // One req goes to the silent machine and waits in vain; after its objective the machine is set aside.
    let count = |word: &str| {
        asked
            .lock()
            .unwrap()
            .iter()
            .filter(|q| q.contains(word))
            .count()
    };
    let begun = Instant::now();
    for id in 0.. {
        one_query(proxy.addr, id);
        if count("facts") > 0 {
            break;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT * 4);
    }
    thread::sleep(Duration::from_millis(1200));
    drop(proxy);
    let before = count("facts");
    let proxy = start_proxy_with(&config, &words);
    for id in 1000..1030 {
        let (tags, value) = one_query(proxy.addr, id);
        assert_eq!((tags.as_str(), &value[..]), ("TDCZ", &[5][..]));
    }
    assert_eq!(
        count("facts"),
        before,
        "a try at a machine that was known to be silent"
    );
    healed.store(1, Ordering::Relaxed);
    let begun = Instant::now();
    for id in 2000.. {
        one_query(proxy.addr, id);
        if count("facts") > before {
            break;
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT * 4,
            "it is shunned though it has healed"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn files_that_cannot_be_read_are_set_aside_and_the_front_serves() {
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
        let (folder, operators) = memory_folder(name);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(format!("{folder}/memory.0"), bytes).unwrap();
        std::fs::create_dir_all(format!("{folder}/memory.1")).unwrap();
        let proxy = start_proxy_with(
            &config_with_endpoints(&[addr], 128),
            &["run", "--operators", &operators],
        );
        assert_eq!(one_query(proxy.addr, 1).0, "TDCZ", "{name}");
        let files: Vec<String> = std::fs::read_dir(&folder)
            .unwrap()
            .map(|e| e.unwrap().file_name().into_string().unwrap())
            .collect();
        for word in [name, "unreadable"] {
            assert!(
                files
                    .iter()
                    .any(|f| f.starts_with("set-aside.") && f.ends_with(word)),
                "{files:?}"
            );
        }
    }
}

#[test]
fn the_last_state_is_written_at_sigterm_and_a_second_front_goes_without() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let (folder, operators) = memory_folder("sigterm");
    std::fs::write(
        &operators,
        format!("[memory]\nfolder = \"{folder}\"\nevery = \"1 h\"\n"),
    )
    .unwrap();
    let words = ["run", "--operators", &operators];
    let mut proxy = start_proxy_with(&config_with_endpoints(&[addr], 128), &words);
    let second = start_proxy_with(&config_with_endpoints(&[addr], 128), &words);
    for proxy in [&proxy, &second] {
        assert_eq!(one_query(proxy.addr, 1).0, "TDCZ");
    }
    assert_eq!(
        run_tidescale(&["memory", "check", &folder]).exit_code,
        Some(1)
    );
    assert_eq!(
        run_tidescale(&["memory", "clear", &folder]).exit_code,
        Some(1),
        "a proxy holds it"
    );
    proxy.signal("-TERM");
    let begun = Instant::now();
    while proxy.child.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < TEST_TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
    let check = run_tidescale(&["memory", "check", &folder]);
    assert!(
        check.exit_code == Some(0) && check.stdout.contains("is whole"),
        "{}",
        check.stdout
    );
    let shown = run_tidescale(&["memory", "show", "--json", &folder]);
    assert!(
        shown.exit_code == Some(0) && shown.stdout.contains("\"Machine\""),
        "{}",
        shown.stdout
    );
    assert_eq!(
        run_tidescale(&["memory", "clear", &folder]).exit_code,
        Some(0)
    );
    assert_eq!(
        run_tidescale(&["memory", "show", &folder]).exit_code,
        Some(1)
    );
}
