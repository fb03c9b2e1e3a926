//! What discovery lists, as a whole proxy takes it.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn what_discovery_lists_takes_the_place_of_what_was_known() {
    let [(earlier, earlier_queries), (later, later_queries)] =
        [(); 2].map(|()| start_endpoint(|_| EndpointAction::Row(vec![5])));
    let list = complete_list(&[(later, 41)]);
    let (discovery, asked) = start_http_server(move |_| {
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
            list.len() + 1
        )
    });
    let (platform, _) = start_http_server(|_| String::new());
    let proxy = start_proxy(&config_with_control(
        &[(earlier, 41)],
        128,
        discovery,
        platform,
    ));
    let mut client = Client::open(proxy.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    while later_queries.lock().unwrap().is_empty() {
        assert!(begun.elapsed() < TEST_TIMEOUT);
        client.send(&query("look", 1, 900));
        assert_eq!(client.answer().0, "TDCZ");
    }
    // An idle connection to the earlier address is not used for the later one.
    let before = earlier_queries.lock().unwrap().len();
    client.send(&query("look", 2, 900));
    assert_eq!(
        (client.answer().0, earlier_queries.lock().unwrap().len()),
        ("TDCZ".into(), before)
    );
    assert!(
        asked.lock().unwrap()[0].starts_with("GET /discovery/hosts?follow=1&since=41 HTTP/1.1\r\n")
    );
}

#[test]
fn a_stream_that_only_shows_life_is_opened_again() {
    let (endpoint, notes) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let list = complete_list(&[(endpoint, 41)]);
    let calls = Mutex::new(0);
    let (discovery, _) = start_http_server(move |_| {
        *calls.lock().unwrap() += 1;
        // The first goes on with empty lines and never lists the endpoint.
        let line = if *calls.lock().unwrap() == 1 {
            ""
        } else {
            &list
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1)
    });
    let (platform, _) = start_http_server(|_| String::new());
    let proxy = start_proxy(&config_with_control(&[], 128, discovery, platform));
    let mut client = Client::open(proxy.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    while notes.lock().unwrap().is_empty() {
        assert!(begun.elapsed() < Duration::from_millis(4500));
        client.send(&query("look", 1, 200));
        client.answer();
    }
}

/// Spread over many lines, as a person would read it.
fn indented(list: &str) -> String {
    serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(list).unwrap()).unwrap()
        + "\n"
}

#[test]
fn a_list_over_several_lines_is_read_like_one_on_a_single_line() {
    let (endpoint, notes) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let [gate, discovery] = [(); 2].map(|()| ManualServer::new());
    let (platform, _) = start_http_server(|_| String::new());
    let proxy = start_proxy(&config_with_control(
        &[(gate.addr(), 41)],
        128,
        discovery.addr(),
        platform,
    ));
    let mut stream = discovery.accept();
    stream.begin_stream();
    let text = indented(&list(
        42,
        true,
        &[list_entry("s-{1}\\\"", endpoint, "active", 0, 41)],
    ));
    // In pieces that end within a line and within a word, with a sign of life before and behind.
    stream.chunk("\n");
    let (middle, end) = (text.len() / 2, text.len() - 3);
    [&text[..middle], &text[middle..end], &text[end..]]
        .into_iter()
        .for_each(|piece| stream.chunk(piece));
    stream.chunk("\n");
    let mut client = Client::admitted(proxy.addr);
    let begun = Instant::now();
    while notes.lock().unwrap().is_empty() {
        assert!(
            begun.elapsed() < Duration::from_millis(2000),
            "the list was not read"
        );
        client.send(&query("look", 1, 200));
        client.answer();
    }
}

#[test]
fn a_list_that_breaks_off_is_asked_for_again_at_once() {
    let [gate, discovery] = [(); 2].map(|()| ManualServer::new());
    let (platform, _) = start_http_server(|_| String::new());
    // An end in the middle, with a sign of life behind it or with nothing; what can't be read; less than its size says.
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let broken = [
        chunk("{\"version\":42,\n\n"),
        chunk("{\"version\":42,\n"),
        chunk("{\"version\":42,\"full\":true,\"serv"),
        chunk("{\"version\":42}\n"),
        chunk("noise\n"),
        "ff\r\n{\"version\"".to_string(),
    ];
    for broken in broken {
        let _proxy = start_proxy(&config_with_control(
            &[(gate.addr(), 41)],
            128,
            discovery.addr(),
            platform,
        ));
        let mut stream = discovery.accept();
        stream.begin_stream();
        let begun = Instant::now();
        stream.send(broken.as_bytes());
        let _again = discovery.accept();
        // Long before it would be opened again without cause.
        assert!(begun.elapsed() < Duration::from_millis(1500), "{broken}");
    }
}
