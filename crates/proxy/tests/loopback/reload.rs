//! Reloading the configuration on SIGHUP.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// A discovery service, the endpoint that it lists, and a platform.
struct TestServers {
    endpoint: TestEndpoint,
    discovery: HttpServer,
    platform: HttpServer,
}

impl TestServers {
    fn start() -> TestServers {
        let endpoint = TestEndpoint::responsive();
        let list = EndpointList::of_endpoints(&[(endpoint.address, RELEASED_BUILD)]);
        TestServers {
            endpoint,
            discovery: HttpServer::discovery(list.to_string()),
            platform: HttpServer::start(|_| stream_with_chunk(":\n\n")),
        }
    }

    fn config(&self) -> ProxyConfig {
        ProxyConfig::new()
            .endpoint(self.endpoint.address)
            .discovery(self.discovery.address)
            .platform(self.platform.address)
    }
}

/// Writes the configuration file, or removes it if there is no text, and sends SIGHUP to the proxy.
fn reload(proxy: &mut RunningProxy, text: Option<&str>) {
    match text {
        Some(text) => std::fs::write(&proxy.config_path, text).unwrap(),
        None => std::fs::remove_file(&proxy.config_path).unwrap(),
    }
    proxy.signal("-HUP");
}

#[test]
fn sighup_applies_new_addresses_only_from_a_valid_configuration_and_closes_nothing() {
    let [earlier, later] = [(); 2].map(|()| TestServers::start());
    let config = earlier.config();
    let mut proxy = start_proxy(&config);
    let mut client = Client::with_open_session(proxy.address);
    let mut assert_served = |id| {
        let response = client.request(&query("look", id, 900));
        assert_eq!(response, Response::row(VALUE));
    };
    assert_served(1);
    let new_text = config
        .discovery(later.discovery.address)
        .platform(later.platform.address)
        .text();

    // If the file is missing, truncated or invalid, the proxy keeps its current configuration.
    let truncated = &new_text[..new_text.len() / 2];
    let invalid = &new_text.replace("\"rules\"", "\"rulez\"");
    for text in [None, Some(truncated), Some(invalid)] {
        reload(&mut proxy, text);
        thread::sleep(Duration::from_millis(30));
        assert_served(2);
    }
    assert!(later.discovery.requests().is_empty());
    assert!(later.endpoint.events.all().is_empty());

    reload(&mut proxy, Some(&new_text));
    let reloaded_at = Instant::now();
    while later.endpoint.events.all().is_empty() || later.platform.requests().is_empty() {
        assert!(reloaded_at.elapsed() < TEST_TIMEOUT);
        assert_served(3);
    }
    assert!(later.discovery.requests()[0].starts_with("GET /discovery/hosts?follow=1&since=41 "));
    assert!(later.platform.requests()[0].starts_with("GET /bulletin "));

    // SIGHUP and SIGTERM in quick succession: the proxy still exits successfully.
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
}
