//! SIGHUP.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn sighup_takes_up_addresses_that_can_be_used_and_ends_nothing() {
    let [(earlier, _), (later, some)] = [(); 2].map(|()| machine(|_| Act::Row(vec![5])));
    let watch = |list: String| {
        http(move |_| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1)
        })
    };
    let platform =
        || http(|_| "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n:\n\n\r\n".into());
    let (first, _) = watch(listing(&[(earlier, 41)]));
    let (second, asked) = watch(listing(&[(later, 41)]));
    let [(before, _), (after, told)] = [(); 2].map(|()| platform());
    let config = told_by(&[(earlier, 41)], 128, first, before);
    let mut front = start(&config);
    let mut client = Client::open(front.addr);
    client.send(&startup());
    client.answer();
    let mut asks = |id| {
        client.send(&query("look", id, 900));
        assert_eq!(client.answer().0, "TDCZ");
    };
    asks(1);
    // Gone, half written, of another form: it goes on as it was.
    let mended = config.replace(&first.to_string(), &second.to_string());
    let mended = mended.replace(&before.to_string(), &after.to_string());
    for text in [
        None,
        Some(&mended[..mended.len() / 2]),
        Some(&mended.replace("\"rules\"", "\"rulez\"")),
    ] {
        std::fs::remove_file(&front.config).ok();
        text.iter()
            .for_each(|text| std::fs::write(&front.config, text).unwrap());
        front.signal("-HUP");
        thread::sleep(Duration::from_millis(30));
        asks(2);
    }
    assert!(asked.lock().unwrap().is_empty() && some.lock().unwrap().is_empty());
    std::fs::write(&front.config, mended).unwrap();
    front.signal("-HUP");
    let begun = Instant::now();
    while some.lock().unwrap().is_empty() || told.lock().unwrap().is_empty() {
        assert!(begun.elapsed() < PATIENCE);
        asks(3);
    }
    assert!(asked.lock().unwrap()[0].starts_with("GET /discovery/hosts?follow=1&since=41 "));
    assert!(told.lock().unwrap()[0].starts_with("GET /bulletin "));
    // Both at once, too.
    front.signal("-HUP");
    front.signal("-TERM");
    assert!(front.child.wait().unwrap().success());
}
