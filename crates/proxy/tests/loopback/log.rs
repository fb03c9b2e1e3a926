//! The log of a running proxy: which line each event leaves, and what `tidescale explain` makes of
//! it.

use std::fs::File;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// The log of one proxy, in a file.
struct LogFile {
    path: String,
}

impl LogFile {
    fn new(name: &str) -> LogFile {
        let path = format!("{}/log-{name}.txt", env!("CARGO_TARGET_TMPDIR"));
        LogFile { path }
    }

    fn start_proxy(&self, config: &str) -> RunningProxy {
        start_proxy_logging_to(config, &[], File::create(&self.path).unwrap())
    }

    /// Waits for a line with this text behind its time.
    fn wait_for(&self, text: &str) {
        let started_at = Instant::now();
        loop {
            let log = std::fs::read_to_string(&self.path).unwrap();
            if log.lines().any(|line| line.contains(text)) {
                return;
            }
            assert!(started_at.elapsed() < TEST_TIMEOUT, "{text}: not in\n{log}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A platform that announces build 42 as canary and accepts votes.
fn platform_with_canary() -> std::net::SocketAddr {
    let event =
        "event: stage\ndata: version=42&step=1&status=trial&maxWeight=1.0&observedAgoMs=10\n\n";
    let response = "<Response><groups><item><version>42</version><step>1</step><status>trial</status>\
        <maxWeight>1.0</maxWeight><observedAgoMs>1</observedAgoMs></item></groups></Response>";
    let (address, _) = start_http_server(move |request| {
        if request.starts_with("GET /bulletin ") {
            return format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                event.len()
            );
        }
        let length = response.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{response}")
    });
    address
}

#[test]
fn verdict_on_a_failing_build_is_logged_and_explained() {
    let (good, _) = start_endpoint(|_| EndpointAction::Row(vec![1]));
    let (bad, _) = start_endpoint(|_| EndpointAction::Error("XX000"));
    let (discovery, _) = start_http_server(|_| String::new());
    let log = LogFile::new("verdict");
    let endpoints = [(good, 41), (bad, 42)];
    let config = config_with_control(&endpoints, 128, discovery, platform_with_canary());
    let proxy = log.start_proxy(&config);
    let started_at = Instant::now();
    let mut client = Client::admitted(proxy.addr);

    while !std::fs::read_to_string(&log.path)
        .unwrap()
        .contains("vote: RollBack")
    {
        assert!(started_at.elapsed() < TEST_TIMEOUT);
        client.send(&query("look", 1, 900));
        client.answer();
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
    let (endpoint, _) = start_endpoint(|_| EndpointAction::Close);
    let log = LogFile::new("errors");
    let proxy = log.start_proxy(&config_with_endpoints(&[endpoint], 128));

    let mut client = Client::admitted(proxy.addr);
    client.send(&query("nowhere", 1, 900));
    assert_eq!(client.answer().0, "EZ");
    client.send(&query("look", 2, 900));
    client.answer();
    client.send(&message(b'!', b""));
    client.answer();

    log.wait_for(" INFO statement rejected, error: an unknown route");
    log.wait_for(" INFO exchange failed, error: all written: closed, endpoint: s-0");
    log.wait_for(" INFO invalid client message, error: an unknown kind of message");
    log.wait_for(" INFO stream ended, reconnect_ms: ");
}

#[test]
fn start_reload_and_stop_are_logged() {
    let log = LogFile::new("signals");
    let config = config_with_endpoints(&[], 128);
    let mut proxy = log.start_proxy(&config);
    log.wait_for(&format!(" INFO serving, listen: {}", proxy.addr));

    std::fs::write(&proxy.config, "{").unwrap();
    proxy.signal("-HUP");
    log.wait_for(" WARN configuration rejected, error: EOF while parsing");

    std::fs::write(&proxy.config, &config).unwrap();
    proxy.signal("-HUP");
    log.wait_for(" INFO configuration reloaded, platform_changed: false, discovery_changed: false");

    proxy.signal("-TERM");
    log.wait_for(" INFO stopping, open_requests: 0");
    log.wait_for(" INFO stopped, longest_turn_us: ");
}
