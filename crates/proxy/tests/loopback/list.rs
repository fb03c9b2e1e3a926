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
use tidescale_proxy::discovery::{Discovery, ListSource};
use tidescale_proxy::stream::{PersistentStream, ReconnectingStream, StreamTimeouts};
use tidescale_proxy::upstream::Upstream;

use crate::common::*;

/// What discovery needs of a proxy.
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
        let (addr, asked) = start_http_server(|_| head.into());
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
            Owner::new(Component::EndpointList, 1),
            Owner::new(Component::EndpointList, u64::MAX)
        ]
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

/// A proxy's discovery alone, its iterations and its clock driven by hand.
struct DiscoveryFixture {
    events: calloop::EventLoop<'static, TurnEvents>,
    ready: TurnEvents,
    context: IoContext,
    upstream: Upstream,
    policy: Balancer,
    discovery: Discovery,
}

impl DiscoveryFixture {
    fn at(address: SocketAddr, source: ListSource) -> DiscoveryFixture {
        let config = config::read(&config_with_endpoints(&[], 128)).ok().unwrap();
        let events = calloop::EventLoop::try_new().unwrap();
        let mut context = context(&events);
        context.now = Timestamp::from_micros(1_000_000);
        let mut discovery = Discovery::new(address, source, 7);
        discovery.open(&mut context);
        let upstream = Upstream::new(config.connections.clone(), 8);
        let policy = Balancer::new(config.settings.clone(), 1, Timestamp::ZERO);
        DiscoveryFixture {
            events,
            ready: TurnEvents::default(),
            context,
            upstream,
            policy,
            discovery,
        }
    }
    fn iterate(&mut self) {
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
            .serve(&mut self.context, &mut self.upstream, &mut self.policy);
    }
    /// Runs until it has connected again.
    fn reconnect(&mut self, gate: &ManualServer) -> ManualConnection {
        let begun = Instant::now();
        loop {
            if let Some(peer) = gate.try_accept() {
                return peer;
            }
            assert!(begun.elapsed() < TEST_TIMEOUT);
            self.context.now = self.context.now + Duration::from_micros(5_000);
            self.iterate();
        }
    }
    /// Runs until the list has this version and its only endpoint this state.
    fn run_until(&mut self, version: u64, standing: EndpointState) {
        let begun = Instant::now();
        let now = |fixture: &DiscoveryFixture| {
            (
                fixture.discovery.list_version(),
                fixture.policy.endpoint_status("s-0").map(|e| e.state),
            )
        };
        while now(self) != (version, Some(standing)) {
            assert!(begun.elapsed() < TEST_TIMEOUT, "{:?}", now(self));
            self.iterate();
        }
    }
}

#[test]
fn of_two_streams_the_one_that_is_behind_changes_nothing() {
    let line = |version, full, state| {
        list(
            version,
            full,
            &[list_entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                state,
                0,
                41,
            )],
        ) + "\n"
    };
    let [first, second] = [(); 2].map(|()| ManualServer::new());
    let mut fixture = DiscoveryFixture::at(first.addr(), ListSource::LocalAgent);
    fixture.iterate();
    let mut earlier = first.accept();
    earlier.begin_stream();
    earlier.chunk(&line(44, true, "active"));
    fixture.run_until(44, EndpointState::Ready);
    assert!(
        fixture
            .discovery
            .change_address(second.addr(), &mut fixture.context)
    );
    fixture.iterate();
    let mut later = second.accept();
    later.begin_stream();
    // A list that is not whole yet takes nobody's place: the earlier one still tells.
    later.chunk("{\n");
    (0..20).for_each(|_| fixture.iterate());
    earlier.chunk(&line(45, false, "leaving"));
    fixture.run_until(45, EndpointState::Draining);
    // The one in its place is still behind, with a whole list and with a change.
    later.chunk(&line(44, true, "active")[1..]);
    later.chunk(&line(44, false, "active"));
    later.chunk(&line(46, false, "leaving"));
    fixture.run_until(46, EndpointState::Draining);
    // A whole list that stays behind is discovery that has begun to count anew; a change that does is not.
    // The stream was silent meanwhile and is opened again.
    fixture.context.now = fixture.context.now + Duration::from_micros(7_000_000);
    let mut later = fixture.reconnect(&second);
    later.begin_stream();
    later.chunk(&line(3, false, "active"));
    later.chunk(&line(2, true, "active"));
    fixture.run_until(2, EndpointState::Ready);
}

#[test]
fn a_stream_that_opens_and_delivers_nothing_at_all_is_opened_again_within_four_seconds() {
    let gate = ManualServer::new();
    let mut fixture = DiscoveryFixture::at(gate.addr(), ListSource::LocalAgent);
    fixture.iterate();
    let mut silent = gate.accept();
    silent.begin_stream();
    // Its head has been read.
    (0..20).for_each(|_| fixture.iterate());
    let begun = fixture.context.now;
    while gate.try_accept().is_none() {
        assert!(fixture.context.now - begun < Duration::from_secs(4));
        fixture.context.now = fixture.context.now + Duration::from_micros(50_000);
        fixture.iterate();
    }
}

#[test]
fn discovery_that_moves_twice_within_a_hand_over_is_heard_at_its_last_address() {
    let line = |version, state| {
        list(
            version,
            true,
            &[list_entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                state,
                0,
                41,
            )],
        ) + "\n"
    };
    let [first, never, last] = [(); 3].map(|()| ManualServer::new());
    let mut fixture = DiscoveryFixture::at(first.addr(), ListSource::LocalAgent);
    fixture.iterate();
    let mut earlier = first.accept();
    earlier.begin_stream();
    earlier.chunk(&line(44, "active"));
    fixture.run_until(44, EndpointState::Ready);
    // The second address takes the connection and sends nothing; the third comes before that is over.
    assert!(
        fixture
            .discovery
            .change_address(never.addr(), &mut fixture.context)
    );
    fixture.iterate();
    let _unanswered = never.accept();
    earlier.chunk(&line(45, "leaving"));
    fixture.run_until(45, EndpointState::Draining);
    assert!(
        fixture
            .discovery
            .change_address(last.addr(), &mut fixture.context)
    );
    fixture.iterate();
    let mut later = last.accept();
    later.begin_stream();
    earlier.chunk(&line(46, "active"));
    fixture.run_until(46, EndpointState::Ready);
    later.chunk(&line(47, "leaving"));
    fixture.run_until(47, EndpointState::Draining);
    // The first is left now, and nothing that it sends counts.
    let _ = earlier.0.write_all(b"2\r\nxx\r\n");
    later.chunk(&line(48, "active"));
    fixture.run_until(48, EndpointState::Ready);
}

#[test]
fn a_list_that_is_asked_for_is_waited_for_and_not_asked_for_again_without_cause() {
    let gate = ManualServer::new();
    let mut fixture = DiscoveryFixture::at(gate.addr(), ListSource::SharedService);
    fixture.iterate();
    let mut stream = gate.accept();
    let line = list(
        44,
        true,
        &[list_entry(
            "s-0",
            "127.0.0.1:1".parse().unwrap(),
            "active",
            0,
            41,
        )],
    ) + "\n";
    // Its turn comes late, and then it stands for as long as it shows life.
    fixture.context.now = fixture.context.now + Duration::from_micros(3_000_000);
    (0..5).for_each(|_| fixture.iterate());
    assert!(
        gate.try_accept().is_none(),
        "given up while it waits for its turn"
    );
    stream.begin_stream();
    stream.chunk(&line);
    fixture.run_until(44, EndpointState::Ready);
    for _ in 0..6 {
        fixture.context.now = fixture.context.now + Duration::from_micros(2_000_000);
        stream.chunk("\n");
        let sent_at = fixture.context.now;
        while fixture.discovery.list_confirmed_at() != sent_at {
            fixture.iterate();
        }
    }
    assert!(gate.try_accept().is_none(), "asked for again without cause");
    // Silent for longer than between two signs of life: within the six seconds that silence is allowed.
    let begun = fixture.context.now;
    fixture.reconnect(&gate);
    assert!(
        (Duration::from_millis(2_500)..Duration::from_secs(5))
            .contains(&(fixture.context.now - begun)),
        "{:?}",
        fixture.context.now - begun
    );
}

#[test]
fn instances_whose_streams_end_together_come_back_apart() {
    // When each of ten pauses ends: no two instances come back together after any of them.
    let comes_back = |seed: u64| {
        let gate = ManualServer::new();
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
    let gate = ManualServer::new();
    let mut fixture = DiscoveryFixture::at(gate.addr(), ListSource::LocalAgent);
    fixture.iterate();
    let mut first = gate.accept();
    first.begin_stream();
    first.chunk(
        &(list(
            44,
            true,
            &[list_entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                "active",
                0,
                41,
            )],
        ) + "\n"),
    );
    fixture.run_until(44, EndpointState::Ready);
    drop(first);
    // For eight seconds it takes connections and says nothing on any of them.
    let down = fixture.context.now + Duration::from_secs(8);
    let mut silent = Vec::new();
    while fixture.context.now < down {
        fixture.context.now = fixture.context.now + Duration::from_micros(20_000);
        fixture.iterate();
        silent.extend(gate.try_accept());
    }
    // Whatever stands then goes on saying nothing; a new one is answered.
    let mut back = fixture.reconnect(&gate);
    assert!(
        fixture.context.now - down < Duration::from_millis(950),
        "{:?}",
        fixture.context.now - down
    );
    back.begin_stream();
    back.chunk(
        &(list(
            45,
            false,
            &[list_entry(
                "s-0",
                "127.0.0.1:1".parse().unwrap(),
                "leaving",
                0,
                41,
            )],
        ) + "\n"),
    );
    fixture.run_until(45, EndpointState::Draining);
}
