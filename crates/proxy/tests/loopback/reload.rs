//! SIGHUP.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn sighup_takes_up_addresses_that_can_be_used_and_ends_nothing() {
    let [(earlier, _), (later, later_queries)] =
        [(); 2].map(|()| start_endpoint(|_| EndpointAction::Row(vec![5])));
    let discovery_with = |list: String| {
        start_http_server(move |_| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1)
        })
    };
    let platform = || {
        start_http_server(|_| {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n:\n\n\r\n".into()
        })
    };
    let (first, _) = discovery_with(complete_list(&[(earlier, 41)]));
    let (second, discovery_requests) = discovery_with(complete_list(&[(later, 41)]));
    let [(before, _), (after, platform_requests)] = [(); 2].map(|()| platform());
    let config = config_with_control(&[(earlier, 41)], 128, first, before);
    let mut proxy = start_proxy(&config);
    let mut client = Client::open(proxy.addr);
    client.send(&startup());
    client.answer();
    let mut ask = |id| {
        client.send(&query("look", id, 900));
        assert_eq!(client.answer().0, "TDCZ");
    };
    ask(1);
    // Gone, half written, of another form: it goes on as it was.
    let mended = config.replace(&first.to_string(), &second.to_string());
    let mended = mended.replace(&before.to_string(), &after.to_string());
    for text in [
        None,
        Some(&mended[..mended.len() / 2]),
        Some(&mended.replace("\"rules\"", "\"rulez\"")),
    ] {
        std::fs::remove_file(&proxy.config).ok();
        text.iter()
            .for_each(|text| std::fs::write(&proxy.config, text).unwrap());
        proxy.signal("-HUP");
        thread::sleep(Duration::from_millis(30));
        ask(2);
    }
    assert!(
        discovery_requests.lock().unwrap().is_empty() && later_queries.lock().unwrap().is_empty()
    );
    std::fs::write(&proxy.config, mended).unwrap();
    proxy.signal("-HUP");
    let begun = Instant::now();
    while later_queries.lock().unwrap().is_empty() || platform_requests.lock().unwrap().is_empty() {
        assert!(begun.elapsed() < TEST_TIMEOUT);
        ask(3);
    }
    assert!(
        discovery_requests.lock().unwrap()[0]
            .starts_with("GET /discovery/hosts?follow=1&since=41 ")
    );
    assert!(platform_requests.lock().unwrap()[0].starts_with("GET /bulletin "));
    // Both at once, too.
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
}
