//! Log lines of a running proxy, and the output of `tidescale explain` for its log.

use std::fs::File;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// The log file of one proxy.
struct LogFile {
    path: String,
}

impl LogFile {
    fn new(name: &str) -> LogFile {
        let path = format!("{}/log-{name}.txt", env!("CARGO_TARGET_TMPDIR"));
        LogFile { path }
    }

    fn start_proxy(&self, config: &ProxyConfig) -> RunningProxy {
        let file = File::create(&self.path).unwrap();
        ProxyCommand::new(config).log(file).start()
    }

    fn read(&self) -> String {
        std::fs::read_to_string(&self.path).unwrap()
    }

    /// Waits for a line that contains this text.
    fn wait_for(&self, text: &str) {
        let started_at = Instant::now();
        loop {
            let log = self.read();
            if log.lines().any(|line| line.contains(text)) {
                return;
            }
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "`{text}` is not in the log:\n{log}"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn verdict_on_a_failing_build_is_logged_and_explained() {
    let healthy = TestEndpoint::start(|_| EndpointAction::Row(vec![1]));
    let failing = TestEndpoint::start(|_| EndpointAction::Error("XX000"));
    let log = LogFile::new("verdict");
    let proxy = log.start_proxy(
        &ProxyConfig::new()
            .endpoint(healthy.address)
            .endpoint_of_build(failing.address, 42)
            .discovery(HttpServer::unresponsive().address)
            .platform(HttpServer::platform_with_canary("trial", "1.0").address),
    );
    let started_at = Instant::now();
    let mut client = Client::with_open_session(proxy.address);

    while !log.read().contains("vote: RollBack") {
        assert!(started_at.elapsed() < TEST_TIMEOUT);
        client.request(&query("look", 1, 900));
    }

    log.wait_for(" INFO rollback verdict, ejected_endpoints: 0, beta: 0.2, alpha: 0.05, bound: ");
    log.wait_for(" INFO vote cast, vote: RollBack, stage: 1, build: 42");
    let explained = run_tidescale(&["explain", &log.path]);
    assert_eq!(explained.exit_code, Some(0), "{}", explained.stderr);
    let row = explained.stdout.lines().nth(2).unwrap();
    assert!(row.contains("| 42 ") && !row.contains('?'), "{row}");
}

#[test]
fn client_errors_and_failed_exchanges_are_logged() {
    let endpoint = TestEndpoint::start(|_| EndpointAction::Close);
    let log = LogFile::new("errors");
    let proxy = log.start_proxy(&ProxyConfig::new().endpoint(endpoint.address));

    let mut client = Client::with_open_session(proxy.address);
    assert!(client.request(&query("nowhere", 1, 900)).is_error());
    client.request(&query("look", 2, 900));
    client.request(&message(b'!', b""));

    log.wait_for(" INFO statement rejected, error: an unknown route");
    log.wait_for(" INFO exchange failed, error: all written: closed, endpoint: s-0");
    log.wait_for(" INFO invalid client message, error: an unknown kind of message");
    log.wait_for(" INFO stream ended, reconnect_ms: ");
}

#[test]
fn start_reload_and_stop_are_logged() {
    let log = LogFile::new("signals");
    let mut proxy = log.start_proxy(&ProxyConfig::new());
    let config = std::fs::read_to_string(&proxy.config_path).unwrap();
    log.wait_for(&format!(" INFO serving, listen: {}", proxy.address));

    std::fs::write(&proxy.config_path, "{").unwrap();
    proxy.signal("-HUP");
    log.wait_for(" WARN configuration rejected, error: EOF while parsing");

    std::fs::write(&proxy.config_path, &config).unwrap();
    proxy.signal("-HUP");
    log.wait_for(" INFO configuration reloaded, platform_changed: false, discovery_changed: false");

    proxy.signal("-TERM");
    log.wait_for(" INFO stopping, open_requests: 0");
    log.wait_for(" INFO stopped, longest_turn_us: ");
}
