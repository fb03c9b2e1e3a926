//! Endpoint lists that a running proxy receives from discovery.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn listed_endpoint_replaces_the_configured_one() {
    let [earlier, later] = [(); 2].map(|()| TestEndpoint::responsive());
    let list = EndpointList::of_endpoints(&[(later.address, RELEASED_BUILD)]);
    let discovery = HttpServer::discovery(list.to_string());
    let proxy = start_proxy(
        &ProxyConfig::new()
            .endpoint(earlier.address)
            .discovery(discovery.address)
            .platform(HttpServer::unresponsive().address),
    );
    let mut client = Client::with_open_session(proxy.address);

    let started_at = Instant::now();
    while later.events.all().is_empty() {
        assert!(started_at.elapsed() < TEST_TIMEOUT);
        assert!(client.request(&query("look", 1, 900)).is_row());
    }

    // The idle connection to the earlier address is not reused.
    let events_before = earlier.events.all();
    assert!(client.request(&query("look", 2, 900)).is_row());
    assert_eq!(earlier.events.all(), events_before);
    assert!(
        discovery.requests()[0].starts_with("GET /discovery/hosts?follow=1&since=41 HTTP/1.1\r\n")
    );
}

#[test]
fn stream_that_only_sends_keep_alives_is_reopened() {
    let endpoint = TestEndpoint::responsive();
    let list = EndpointList::of_endpoints(&[(endpoint.address, RELEASED_BUILD)]).to_string();
    let first_request = AtomicBool::new(true);
    let discovery = HttpServer::start(move |_| {
        // The first stream only sends empty lines and never delivers the list.
        let first = first_request.swap(false, Ordering::Relaxed);
        let line = if first { "" } else { &list };
        stream_with_chunk(&format!("{line}\n"))
    });
    let proxy = start_proxy(
        &ProxyConfig::new()
            .discovery(discovery.address)
            .platform(HttpServer::unresponsive().address),
    );
    let mut client = Client::with_open_session(proxy.address);

    let started_at = Instant::now();
    while endpoint.events.all().is_empty() {
        assert!(started_at.elapsed() < Duration::from_millis(4500));
        client.request(&query("look", 1, 200));
    }
}

/// The list as indented JSON over several lines.
fn indented(list: &EndpointList) -> String {
    let document: serde_json::Value = serde_json::from_str(&list.to_string()).unwrap();
    serde_json::to_string_pretty(&document).unwrap() + "\n"
}

#[test]
fn multi_line_list_is_read_like_a_single_line_list() {
    let endpoint = TestEndpoint::responsive();
    let servers = ManualServers::new();
    let proxy = start_proxy(&servers.config());
    let mut stream = servers.discovery.accept_stream();
    // Braces and quotes in the id of an endpoint do not end the list.
    let text = indented(&EndpointList {
        version: 42,
        complete: true,
        endpoints: vec![ListedEndpoint::active("s-{1}\\\"", endpoint.address)],
    });

    // The list is sent in chunks that end within a line, with a keep-alive before and after.
    stream.send_chunk("\n");
    let (middle, end) = (text.len() / 2, text.len() - 3);
    for piece in [&text[..middle], &text[middle..end], &text[end..]] {
        stream.send_chunk(piece);
    }
    stream.send_chunk("\n");

    let mut client = Client::with_open_session(proxy.address);
    let started_at = Instant::now();
    while endpoint.events.all().is_empty() {
        assert!(
            started_at.elapsed() < Duration::from_millis(2000),
            "the list was not applied"
        );
        client.request(&query("look", 1, 200));
    }
}

#[test]
fn list_that_is_truncated_or_invalid_is_requested_again_immediately() {
    let servers = ManualServers::new();
    let cases = [
        (
            "truncated, then a keep-alive",
            chunk("{\"version\":42,\n\n"),
        ),
        ("truncated after a line", chunk("{\"version\":42,\n")),
        (
            "truncated within a line",
            chunk("{\"version\":42,\"full\":true,\"serv"),
        ),
        ("without endpoints", chunk("{\"version\":42}\n")),
        ("not JSON", chunk("noise\n")),
        (
            "shorter than the size of its chunk",
            "ff\r\n{\"version\"".to_string(),
        ),
    ];
    for (name, bytes) in cases {
        let _proxy = start_proxy(&servers.config());
        let mut stream = servers.discovery.accept_stream();

        let sent_at = Instant::now();
        stream.send(bytes.as_bytes());
        let _reopened = servers.discovery.accept();

        // The keep-alive timeout would reopen the stream much later.
        let delay = sent_at.elapsed();
        assert!(delay < Duration::from_millis(1500), "{name}");
    }
}
