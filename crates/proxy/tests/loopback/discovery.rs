//! Discovery alone, with its iterations and its clock driven by hand.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tidescale_policy::Balancer;
use tidescale_policy::types::{EndpointState, Timestamp};
use tidescale_proxy::config;
use tidescale_proxy::context::{EventContext, IoContext, ReadyEvents};
use tidescale_proxy::discovery::{Discovery, ListSource};
use tidescale_proxy::upstream::Upstream;

use crate::common::*;

/// A proxy's discovery alone, its iterations and its clock driven by hand.
struct DiscoveryFixture {
    events: calloop::EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    context: IoContext,
    upstream: Upstream,
    policy: Balancer,
    discovery: Discovery,
}

impl DiscoveryFixture {
    fn at(address: SocketAddr, source: ListSource) -> DiscoveryFixture {
        let config = config::read(&config_with_endpoints(&[], 128)).ok().unwrap();
        let events = calloop::EventLoop::try_new().unwrap();
        let mut context = io_context(&events);
        context.now = Timestamp::from_micros(1_000_000);
        let mut discovery = Discovery::new(address, source, 7);
        discovery.open(&mut context);
        let upstream = Upstream::new(config.connections.clone(), 8);
        let policy = Balancer::new(config.settings.clone(), 1, Timestamp::ZERO);
        DiscoveryFixture {
            events,
            ready: ReadyEvents::default(),
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
        let mut context = EventContext {
            io: &mut self.context,
            policy: &mut self.policy,
        };
        self.discovery.serve(&mut self.upstream, &mut context);
    }
    /// Runs until it has connected again, which has to be before long by its own clock.
    fn reconnect(&mut self, gate: &ManualServer) -> ManualConnection {
        let begun = self.context.now;
        loop {
            if let Some(peer) = gate.try_accept() {
                return peer;
            }
            assert!(self.context.now - begun < TEST_TIMEOUT);
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
    fixture.reconnect(&gate);
    assert!(fixture.context.now - begun < Duration::from_secs(4));
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
