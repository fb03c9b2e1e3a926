//! Discovery and its streams.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tidescale_policy::Balancer;
use tidescale_policy::types::{EndpointState, Timestamp};
use tidescale_proxy::buffers::Pool;
use tidescale_proxy::config;
use tidescale_proxy::connection::{Component, IoContext, Owner, TurnEvents};
use tidescale_proxy::deadlines::Deadlines;
use tidescale_proxy::discovery::Discovery;
use tidescale_proxy::stream::{PersistentStream, ReconnectingStream, StreamTimeouts};
use tidescale_proxy::upstream::Upstream;

use crate::common::*;

fn context(events: &calloop::EventLoop<'static, TurnEvents>) -> IoContext {
    let [pool, clients_pool, streams_pool] = [8, 8, 8].map(Pool::new);
    let (log, deadlines) = (
        slog::Logger::root(slog::Discard, slog::o!()),
        Deadlines::default(),
    );
    IoContext {
        handle: events.handle(),
        pool,
        clients_pool,
        streams_pool,
        deadlines,
        log,
        now: Timestamp::ZERO,
    }
}

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
        let (addr, asked) = http(|_| head.into());
        let mut events = calloop::EventLoop::try_new().unwrap();
        let mut context = context(&events);
        let (begun, mut ready) = (Instant::now(), TurnEvents::default());
        let mut stream = ReconnectingStream::new(
            Owner::new(Component::EndpointList, 0),
            addr,
            StreamTimeouts::responsive_server(Duration::from_millis(50)),
            7,
        );
        stream.open("/there", &mut context);
        while asked.lock().unwrap().len() < 3 {
            assert!(begun.elapsed() < PATIENCE, "{head}");
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
fn what_discovery_lists_takes_the_place_of_what_was_known() {
    let [(earlier, none), (later, some)] = [(); 2].map(|()| machine(|_| Act::Row(vec![5])));
    let list = listing(&[(later, 41)]);
    let (discovery, asked) = http(move |_| {
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
            list.len() + 1
        )
    });
    let (platform, _) = http(|_| String::new());
    let front = start(&told_by(&[(earlier, 41)], 128, discovery, platform));
    let mut client = Client::open(front.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    while some.lock().unwrap().is_empty() {
        assert!(begun.elapsed() < PATIENCE);
        client.send(&query("look", 1, 900));
        assert_eq!(client.answer().0, "TDCZ");
    }
    // An idle connection to the earlier address is not used for the later one.
    let before = none.lock().unwrap().len();
    client.send(&query("look", 2, 900));
    assert_eq!(
        (client.answer().0, none.lock().unwrap().len()),
        ("TDCZ".into(), before)
    );
    assert!(
        asked.lock().unwrap()[0].starts_with("GET /discovery/hosts?follow=1&since=41 HTTP/1.1\r\n")
    );
}

#[test]
fn a_stream_is_left_only_when_the_one_in_its_place_has_told_something() {
    let (old, _) = http(|_| "HTTP/1.1 200 OK\r\n\r\nold\n".into());
    // The new address says nothing on the first connection.
    let calls = Mutex::new(0);
    let (new, _) = http(move |_| {
        *calls.lock().unwrap() += 1;
        if *calls.lock().unwrap() == 1 {
            String::new()
        } else {
            "HTTP/1.1 200 OK\r\n\r\nnew\n".into()
        }
    });
    let mut events = calloop::EventLoop::try_new().unwrap();
    let mut context = context(&events);
    let (begun, mut ready, mut lines) = (Instant::now(), TurnEvents::default(), Vec::new());
    let mut streams = PersistentStream::new(
        Component::EndpointList,
        old,
        StreamTimeouts::responsive_server(Duration::from_millis(60)),
        7,
    );
    streams.open("/there", &mut context);
    let mut left = None;
    while !lines.contains(&"new".to_string()) {
        assert!(begun.elapsed() < PATIENCE, "{lines:?}");
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
            Owner::new(Component::EndpointList, 1),
            Owner::new(Component::EndpointList, u64::MAX)
        ]
    );
}

#[test]
fn a_watch_that_only_shows_life_is_opened_anew() {
    let (machine, seen) = machine(|_| Act::Row(vec![5]));
    let list = listing(&[(machine, 41)]);
    let calls = Mutex::new(0);
    let (discovery, _) = http(move |_| {
        *calls.lock().unwrap() += 1;
        // The first goes on with empty lines and never tells of the machine.
        let line = if *calls.lock().unwrap() == 1 {
            ""
        } else {
            &list
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1)
    });
    let (platform, _) = http(|_| String::new());
    let front = start(&told_by(&[], 128, discovery, platform));
    let mut client = Client::open(front.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    while seen.lock().unwrap().is_empty() {
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
    let (machine, seen) = machine(|_| Act::Row(vec![5]));
    let [gate, discovery] = [(); 2].map(|()| Gate::new());
    let (platform, _) = http(|_| String::new());
    let front = start(&told_by(
        &[(gate.addr(), 41)],
        128,
        discovery.addr(),
        platform,
    ));
    let mut watch = discovery.accept();
    watch.stream();
    let text = indented(&list(
        42,
        true,
        &[entry("s-{1}\\\"", machine, "active", 0, 41)],
    ));
    // In pieces that end within a line and within a word, with a sign of life before and behind.
    watch.chunk("\n");
    let (middle, end) = (text.len() / 2, text.len() - 3);
    [&text[..middle], &text[middle..end], &text[end..]]
        .into_iter()
        .for_each(|piece| watch.chunk(piece));
    watch.chunk("\n");
    let mut client = Client::admitted(front.addr);
    let begun = Instant::now();
    while seen.lock().unwrap().is_empty() {
        assert!(
            begun.elapsed() < Duration::from_millis(2000),
            "the list was not read"
        );
        client.send(&query("look", 1, 200));
        client.answer();
    }
}

#[test]
fn a_list_that_breaks_off_is_asked_for_anew_at_once() {
    let [gate, discovery] = [(); 2].map(|()| Gate::new());
    let (platform, _) = http(|_| String::new());
    // An end in the middle, with a sign of life behind it or with nothing; what can't be read; less than was told.
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let spoilt = [
        chunk("{\"version\":42,\n\n"),
        chunk("{\"version\":42,\n"),
        chunk("{\"version\":42,\"full\":true,\"serv"),
        chunk("{\"version\":42}\n"),
        chunk("noise\n"),
        "ff\r\n{\"version\"".to_string(),
    ];
    for spoilt in spoilt {
        let _front = start(&told_by(
            &[(gate.addr(), 41)],
            128,
            discovery.addr(),
            platform,
        ));
        let mut watch = discovery.accept();
        watch.stream();
        let begun = Instant::now();
        watch.send(spoilt.as_bytes());
        let _anew = discovery.accept();
        // Long before it would be opened anew without cause.
        assert!(begun.elapsed() < Duration::from_millis(1500), "{spoilt}");
    }
}

/// Discovery's part of a front alone, its turns driven by hand, its clock told.
struct Watching {
    events: calloop::EventLoop<'static, TurnEvents>,
    ready: TurnEvents,
    context: IoContext,
    upstream: Upstream,
    module: Balancer,
    discovery: Discovery,
}

impl Watching {
    fn at(addr: SocketAddr, ask: bool) -> Watching {
        let config = config::read(&told(&[], 128)).ok().unwrap();
        let events = calloop::EventLoop::try_new().unwrap();
        let mut context = context(&events);
        context.now = Timestamp::from_micros(1_000_000);
        let mut discovery = Discovery::new(addr, ask, 7);
        discovery.open(&mut context);
        let upstream = Upstream::new(config.connections.clone(), 8);
        let module = Balancer::new(config.settings.clone(), 1, Timestamp::ZERO);
        Watching {
            events,
            ready: TurnEvents::default(),
            context,
            upstream,
            module,
            discovery,
        }
    }
    fn turn(&mut self) {
        self.events
            .dispatch(Duration::from_millis(5), &mut self.ready)
            .unwrap();
        while let Some(owner) = self.context.deadlines.pop_due(self.context.now) {
            self.discovery.on_deadline(owner.slot, &mut self.context);
        }
        let found: Vec<_> = self.ready.sockets.drain(..).collect();
        found
            .into_iter()
            .for_each(|(owner, readiness)| self.discovery.on_ready(owner.slot, readiness));
        self.discovery
            .serve(&mut self.context, &mut self.upstream, &mut self.module);
    }
    /// Until it has come for another watch.
    fn opened(&mut self, gate: &Gate) -> Peer {
        let begun = Instant::now();
        loop {
            if let Some(peer) = gate.try_accept() {
                return peer;
            }
            assert!(begun.elapsed() < PATIENCE);
            self.context.now = self.context.now + Duration::from_micros(5_000);
            self.turn();
        }
    }
    /// Until the list stands at this version and its only machine so.
    fn until(&mut self, version: u64, standing: EndpointState) {
        let begun = Instant::now();
        let now = |w: &Watching| {
            (
                w.discovery.list_version(),
                w.module.endpoint_status("s-0").map(|e| e.state),
            )
        };
        while now(self) != (version, Some(standing)) {
            assert!(begun.elapsed() < PATIENCE, "{:?}", now(self));
            self.turn();
        }
    }
}

#[test]
fn of_two_watches_the_one_that_is_behind_changes_nothing() {
    let line = |version, full, state| {
        list(
            version,
            full,
            &[entry("s-0", "127.0.0.1:1".parse().unwrap(), state, 0, 41)],
        ) + "\n"
    };
    let [first, second] = [(); 2].map(|()| Gate::new());
    let mut w = Watching::at(first.addr(), false);
    w.turn();
    let mut earlier = first.accept();
    earlier.stream();
    earlier.chunk(&line(44, true, "active"));
    w.until(44, EndpointState::Ready);
    assert!(w.discovery.change_address(second.addr(), &mut w.context));
    w.turn();
    let mut later = second.accept();
    later.stream();
    // A list that is not whole yet takes nobody's place: the earlier one still tells.
    later.chunk("{\n");
    (0..20).for_each(|_| w.turn());
    earlier.chunk(&line(45, false, "leaving"));
    w.until(45, EndpointState::Draining);
    // The one in its place is still behind, with a whole list and with a change.
    later.chunk(&line(44, true, "active")[1..]);
    later.chunk(&line(44, false, "active"));
    later.chunk(&line(46, false, "leaving"));
    w.until(46, EndpointState::Draining);
    // A whole list that stays behind is discovery that counts anew; a change that does is not.
    // The watch was silent meanwhile and is opened anew.
    w.context.now = w.context.now + Duration::from_micros(7_000_000);
    let mut later = w.opened(&second);
    later.stream();
    later.chunk(&line(3, false, "active"));
    later.chunk(&line(2, true, "active"));
    w.until(2, EndpointState::Ready);
}

#[test]
fn a_watch_that_opens_and_tells_nothing_at_all_is_opened_anew_within_four_seconds() {
    let gate = Gate::new();
    let mut w = Watching::at(gate.addr(), false);
    w.turn();
    let mut silent = gate.accept();
    silent.stream();
    // Its head has been read.
    (0..20).for_each(|_| w.turn());
    let begun = w.context.now;
    while gate.try_accept().is_none() {
        assert!(w.context.now - begun < Duration::from_secs(4));
        w.context.now = w.context.now + Duration::from_micros(50_000);
        w.turn();
    }
}

#[test]
fn discovery_that_moves_twice_within_a_hand_over_is_heard_at_its_last_address() {
    let line = |version, state| {
        list(
            version,
            true,
            &[entry("s-0", "127.0.0.1:1".parse().unwrap(), state, 0, 41)],
        ) + "\n"
    };
    let [first, never, last] = [(); 3].map(|()| Gate::new());
    let mut w = Watching::at(first.addr(), false);
    w.turn();
    let mut earlier = first.accept();
    earlier.stream();
    earlier.chunk(&line(44, "active"));
    w.until(44, EndpointState::Ready);
    // The second address takes the connection and says nothing; the third is told before that is over.
    assert!(w.discovery.change_address(never.addr(), &mut w.context));
    w.turn();
    let _unanswered = never.accept();
    earlier.chunk(&line(45, "leaving"));
    w.until(45, EndpointState::Draining);
    assert!(w.discovery.change_address(last.addr(), &mut w.context));
    w.turn();
    let mut later = last.accept();
    later.stream();
    earlier.chunk(&line(46, "active"));
    w.until(46, EndpointState::Ready);
    later.chunk(&line(47, "leaving"));
    w.until(47, EndpointState::Draining);
    // The first is left now, and nothing that it tells counts.
    let _ = earlier.0.write_all(b"2\r\nxx\r\n");
    later.chunk(&line(48, "active"));
    w.until(48, EndpointState::Ready);
}

#[test]
fn a_list_that_is_asked_for_is_waited_for_and_not_asked_for_again_without_cause() {
    let gate = Gate::new();
    let mut w = Watching::at(gate.addr(), true);
    w.turn();
    let mut watch = gate.accept();
    let line = list(
        44,
        true,
        &[entry(
            "s-0",
            "127.0.0.1:1".parse().unwrap(),
            "active",
            0,
            41,
        )],
    ) + "\n";
    // Its turn comes late, and then it stands for as long as it shows life.
    w.context.now = w.context.now + Duration::from_micros(3_000_000);
    (0..5).for_each(|_| w.turn());
    assert!(
        gate.try_accept().is_none(),
        "given up while it waits for its turn"
    );
    watch.stream();
    watch.chunk(&line);
    w.until(44, EndpointState::Ready);
    for _ in 0..6 {
        w.context.now = w.context.now + Duration::from_micros(2_000_000);
        watch.chunk("\n");
        let heard = w.context.now;
        while w.discovery.list_confirmed_at() != heard {
            w.turn();
        }
    }
    assert!(gate.try_accept().is_none(), "asked for again without cause");
    // Silent for longer than between two signs of life: within the six seconds that silence is allowed.
    let begun = w.context.now;
    w.opened(&gate);
    assert!(
        (Duration::from_millis(2_500)..Duration::from_secs(5)).contains(&(w.context.now - begun)),
        "{:?}",
        w.context.now - begun
    );
}

#[test]
fn fronts_whose_streams_end_together_come_back_apart() {
    // Told how long each of ten pauses lasts: no two fronts come back together at each try.
    let comes_back = |seed: u64| {
        let gate = Gate::new();
        let events: calloop::EventLoop<'static, TurnEvents> =
            calloop::EventLoop::try_new().unwrap();
        let mut context = context(&events);
        let mut stream = ReconnectingStream::new(
            Owner::new(Component::EndpointList, 0),
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

#[test]
fn an_agent_that_comes_back_after_a_silence_is_heard_within_a_second() {
    let gate = Gate::new();
    let mut w = Watching::at(gate.addr(), false);
    w.turn();
    let mut first = gate.accept();
    first.stream();
    first.chunk(
        &(list(
            44,
            true,
            &[entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                "active",
                0,
                41,
            )],
        ) + "\n"),
    );
    w.until(44, EndpointState::Ready);
    drop(first);
    // For eight seconds it takes connections and says nothing on any of them.
    let down = w.context.now + Duration::from_secs(8);
    let mut silent = Vec::new();
    while w.context.now < down {
        w.context.now = w.context.now + Duration::from_micros(20_000);
        w.turn();
        silent.extend(gate.try_accept());
    }
    // Whatever stands then goes on saying nothing; a new one is answered.
    let mut back = w.opened(&gate);
    assert!(
        w.context.now - down < Duration::from_millis(950),
        "{:?}",
        w.context.now - down
    );
    back.stream();
    back.chunk(
        &(list(
            45,
            false,
            &[entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                "leaving",
                0,
                41,
            )],
        ) + "\n"),
    );
    w.until(45, EndpointState::Draining);
}
