//! Streams that are opened again, and the hand-over between two of them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tidescale_policy::types::Timestamp;
use tidescale_proxy::context::{Component, Owner, ReadyEvents};
use tidescale_proxy::ids::SlotKey;
use tidescale_proxy::stream::{PersistentStream, ReconnectingStream, StreamTimeouts};

use crate::common::*;

#[test]
fn a_stream_that_falls_silent_or_ends_is_opened_again() {
    // One that goes on without a word, one that ends, one that is no answer, one that is declined.
    let heads = [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n",
        "nonsense\r\n\r\n",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    ];
    for head in heads {
        let (addr, asked) = start_http_server(|_| head.into());
        let mut events = calloop::EventLoop::try_new().unwrap();
        let mut context = io_context(&events);
        let (begun, mut ready) = (Instant::now(), ReadyEvents::default());
        let mut stream = ReconnectingStream::new(
            Owner::new(Component::EndpointList, SlotKey::new(0)),
            addr,
            StreamTimeouts::responsive_server(Duration::from_millis(50)),
            7,
        );
        stream.open("/there", &mut context);
        while asked.lock().unwrap().len() < 3 {
            assert!(begun.elapsed() < TEST_TIMEOUT, "{head}");
            events
                .dispatch(Duration::from_millis(5), &mut ready)
                .unwrap();
            context.now = Timestamp::ZERO + begun.elapsed();
            ready
                .sockets
                .drain(..)
                .for_each(|(_, readiness)| stream.on_ready(readiness));
            stream.serve(&mut context, |_, _, _| Ok(()));
            if context.deadlines.pop_due(context.now).is_some() && stream.on_deadline(&mut context)
            {
                stream.open("/there", &mut context);
            }
        }
        // Ever longer pauses, or a peer that is down would be asked all the time.
        assert!(
            begun.elapsed()
                >= Duration::from_millis(if head.contains("Length: 1") { 200 } else { 300 }),
            "{head}"
        );
    }
}

#[test]
fn a_stream_is_left_only_when_the_one_in_its_place_has_delivered_something() {
    let (old, _) = start_http_server(|_| "HTTP/1.1 200 OK\r\n\r\nold\n".into());
    // The new address says nothing on the first connection.
    let calls = Mutex::new(0);
    let (new, _) = start_http_server(move |_| {
        *calls.lock().unwrap() += 1;
        if *calls.lock().unwrap() == 1 {
            String::new()
        } else {
            "HTTP/1.1 200 OK\r\n\r\nnew\n".into()
        }
    });
    let mut events = calloop::EventLoop::try_new().unwrap();
    let mut context = io_context(&events);
    let (begun, mut ready, mut lines) = (Instant::now(), ReadyEvents::default(), Vec::new());
    let mut streams = PersistentStream::new(
        Component::EndpointList,
        old,
        StreamTimeouts::responsive_server(Duration::from_millis(60)),
        7,
    );
    streams.open("/there", &mut context);
    let mut left = None;
    while !lines.contains(&"new".to_string()) {
        assert!(begun.elapsed() < TEST_TIMEOUT, "{lines:?}");
        events
            .dispatch(Duration::from_millis(5), &mut ready)
            .unwrap();
        context.now = Timestamp::ZERO + begun.elapsed();
        ready
            .sockets
            .drain(..)
            .for_each(|(owner, readiness)| streams.on_ready(owner.slot, readiness));
        streams.serve(&mut context, |line, _, _| {
            lines.push(line.to_string());
            Ok(())
        });
        if left.is_none() && !lines.is_empty() {
            assert!(
                !streams.change_address(old, "/there", &mut context)
                    && streams.change_address(new, "/there", &mut context)
            );
            left = Some(context.now);
        }
        while let Some(owner) = context.deadlines.pop_due(context.now) {
            if streams.on_deadline(owner.slot, &mut context) {
                streams.open("/there", &mut context);
            }
        }
    }
    assert_eq!(lines.iter().filter(|l| *l == "new").count(), 1);
    // Only the new one is left, with its deadline and that for the next.
    let due: Vec<_> = std::iter::from_fn(|| context.deadlines.pop_due(Timestamp::MAX)).collect();
    assert_eq!(
        due,
        [
            Owner::new(Component::EndpointList, SlotKey::new(1)),
            Owner::new(Component::EndpointList, SlotKey::new(u64::MAX))
        ]
    );
}

#[test]
fn instances_whose_streams_end_together_come_back_apart() {
    // When each of ten pauses ends: no two instances come back together after any of them.
    let comes_back = |seed: u64| {
        let gate = ManualServer::new();
        let events: calloop::EventLoop<'static, ReadyEvents> =
            calloop::EventLoop::try_new().unwrap();
        let mut context = io_context(&events);
        let mut stream = ReconnectingStream::new(
            Owner::new(Component::EndpointList, SlotKey::new(0)),
            gate.addr(),
            StreamTimeouts::responsive_server(Duration::from_millis(60)),
            seed,
        );
        let mut times = Vec::new();
        for _ in 0..10 {
            stream.open("/there", &mut context);
            // Nothing comes: it ends for silence, and then its pause runs.
            context.now = context.deadlines.next_at().unwrap();
            assert!(
                context.deadlines.pop_due(context.now).is_some()
                    && !stream.on_deadline(&mut context)
            );
            context.now = context.deadlines.next_at().unwrap();
            assert!(
                context.deadlines.pop_due(context.now).is_some()
                    && stream.on_deadline(&mut context)
            );
            times.push(context.now);
        }
        times
    };
    let [one, other] = [1, 2].map(comes_back);
    assert!(
        one.iter()
            .zip(&other)
            .all(|(a, b)| (*a - *b).max(*b - *a) > Duration::from_millis(1)),
        "{one:?} {other:?}"
    );
    assert_eq!(one, comes_back(1));
}
