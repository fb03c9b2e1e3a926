//! Starting, with good and bad arguments and files.

use std::io::Write;
use std::process::Command;

use tidescale_proxy::operators;

use crate::common::*;

#[test]
fn a_bad_configuration_ends_with_one_line() {
    let path = format!("{}/bad.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(
        &path,
        config_with_endpoints(&[], 128).replace("\"rules\"", "\"rulez\""),
    )
    .unwrap();
    for path in [Some(path.as_str()), Some("/nowhere/config.json"), None] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tidescale"));
        command
            .env_remove("PROXY_CONFIG")
            .envs(path.map(|p| ("PROXY_CONFIG", p)));
        let done = command.output().unwrap();
        let stderr = String::from_utf8(done.stderr).unwrap();
        assert!(
            !done.status.success()
                && stderr.lines().count() == 1
                && stderr.starts_with("tidescale: "),
            "{stderr}"
        );
    }
}

#[test]
fn bad_arguments_are_one_line_and_exit_code_2() {
    for words in [
        &["bogus"][..],
        &["run", "--operators"],
        &["memory"],
        &["memory", "show"],
        &["run", "x"],
    ] {
        let output = run_tidescale(words);
        assert!(
            output.exit_code == Some(2)
                && output.stdout.is_empty()
                && output.stderr.lines().count() == 1,
            "{words:?}: {}",
            output.stderr
        );
    }
    assert_eq!(run_tidescale(&["--version"]).exit_code, Some(0));
}

#[test]
fn an_operators_file_that_cannot_be_used_is_refused_with_line_and_field() {
    let table = [
        (
            "folder = \"f\"\nevery = \"5\"",
            "line 3, `every = \"5\"`: `5` is no time with a unit",
        ),
        ("folder = \"f\"\nevery = 5", "line 3, `every = 5`"),
        ("folder = \"f\"\nevry = \"5 s\"", "unknown field `evry`"),
        (
            "folder = \"f\"\nevery = \"1 ms\"",
            "memory.every: out of its bounds",
        ),
        (
            "folder = \"f\"\nbytes_a_second = \"4\"",
            "`4` is no size with a unit",
        ),
        ("every = \"5 s\"", "missing field `folder`"),
        ("folder = \"\"", "memory.folder: empty"),
    ];
    for (text, wanted) in table {
        let error = operators::read(&format!("[memory]\n{text}")).unwrap_err();
        let error = error.to_string();
        assert!(error.contains(wanted), "{text}: {error}");
    }
    assert!(
        operators::read("[memroy]").is_err() && operators::read("").unwrap().snapshot.is_none()
    );
}

#[test]
fn a_proxy_whose_log_nobody_reads_serves() {
    let (unread, mut full) = std::io::pipe().unwrap();
    // No byte more goes into it.
    rustix::io::ioctl_fionbio(&full, true).unwrap();
    while full.write(&[b'x'; 4096]).is_ok() {}
    rustix::io::ioctl_fionbio(&full, false).unwrap();
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let proxy = start_proxy_logging_to(&config_with_endpoints(&[addr], 128), &[], full);
    assert_eq!(one_query(proxy.addr, 1).0, "TDCZ");
    drop(unread);
}
