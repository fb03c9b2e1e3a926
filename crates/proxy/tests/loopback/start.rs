//! Startup with valid and invalid arguments, configurations and operators' files.

use std::io::Write;
use std::process::Command;

use tidescale_proxy::operators;

use crate::common::*;

#[test]
fn unusable_configuration_fails_with_one_line() {
    let invalid = format!("{}/bad.json", env!("CARGO_TARGET_TMPDIR"));
    let text = ProxyConfig::new().replace("\"rules\"", "\"rulez\"").text();
    std::fs::write(&invalid, text).unwrap();
    for path in [Some(invalid.as_str()), Some("/nowhere/config.json"), None] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tidescale"));
        command
            .env_remove("PROXY_CONFIG")
            .envs(path.map(|path| ("PROXY_CONFIG", path)));

        let output = CommandOutput::run(&mut command);

        assert_ne!(output.exit_code, Some(0), "{path:?}");
        assert_eq!(output.stderr.lines().count(), 1, "{}", output.stderr);
        assert!(
            output.stderr.starts_with("tidescale: "),
            "{}",
            output.stderr
        );
    }
}

#[test]
fn bad_arguments_fail_with_one_line_and_exit_code_2() {
    for arguments in [
        &["bogus"][..],
        &["run", "--operators"],
        &["memory"],
        &["memory", "show"],
        &["run", "x"],
    ] {
        let output = run_tidescale(arguments);

        assert_eq!(output.exit_code, Some(2), "{arguments:?}");
        assert_eq!(output.stdout, "", "{arguments:?}");
        assert_eq!(output.stderr.lines().count(), 1, "{}", output.stderr);
    }
    assert_eq!(run_tidescale(&["--version"]).exit_code, Some(0));
}

#[test]
fn invalid_operators_file_is_rejected_with_line_and_field() {
    struct Case {
        text: &'static str,
        error: &'static str,
    }
    let case = |text, error| Case { text, error };
    let cases = [
        case(
            "folder = \"f\"\nevery = \"5\"",
            "line 3, `every = \"5\"`: `5` is no time with a unit",
        ),
        case("folder = \"f\"\nevery = 5", "line 3, `every = 5`"),
        case("folder = \"f\"\nevry = \"5 s\"", "unknown field `evry`"),
        case(
            "folder = \"f\"\nevery = \"1 ms\"",
            "memory.every: out of its bounds",
        ),
        case(
            "folder = \"f\"\nbytes_a_second = \"4\"",
            "`4` is no size with a unit",
        ),
        case("every = \"5 s\"", "missing field `folder`"),
        case("folder = \"\"", "memory.folder: empty"),
    ];
    for Case { text, error } in cases {
        let rejection = operators::parse(&format!("[memory]\n{text}")).unwrap_err();
        let rejection = rejection.to_string();
        assert!(rejection.contains(error), "{text}: {rejection}");
    }
    assert!(operators::parse("[memroy]").is_err());
    assert!(operators::parse("").unwrap().snapshot.is_none());
}

#[test]
fn proxy_serves_while_nothing_reads_its_log() {
    let (read_end, mut write_end) = std::io::pipe().unwrap();
    // Fill the pipe, so that the proxy's first write to the log would block.
    rustix::io::ioctl_fionbio(&write_end, true).unwrap();
    while write_end.write(&[b'x'; 4096]).is_ok() {}
    rustix::io::ioctl_fionbio(&write_end, false).unwrap();
    let endpoint = TestEndpoint::responsive();
    let config = ProxyConfig::new().endpoint(endpoint.address);

    let proxy = ProxyCommand::new(&config).log(write_end).start();

    assert_eq!(
        query_with_new_client(proxy.address, 1),
        Response::row(VALUE)
    );
    drop(read_end);
}
