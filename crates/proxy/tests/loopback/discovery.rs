//! Discovery without the rest of the proxy: the tests run its event loop and set its clock.

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

/// The id of the only endpoint in the lists.
const ENDPOINT: &str = "s-0";

/// A complete list as one line, with the endpoint in this state.
fn complete_list(version: u64, state: &'static str) -> String {
    list_line(version, true, state)
}

/// A change of the list as one line, which gives the endpoint this state.
fn list_change(version: u64, state: &'static str) -> String {
    list_line(version, false, state)
}

fn list_line(version: u64, complete: bool, state: &'static str) -> String {
    let endpoint = ListedEndpoint {
        state,
        ..ListedEndpoint::active(ENDPOINT, "127.0.0.1:1".parse().unwrap())
    };
    let list = EndpointList {
        version,
        complete,
        endpoints: vec![endpoint],
    };
    format!("{list}\n")
}

/// Discovery with its own event loop and a clock that the test sets.
struct DiscoveryFixture {
    events: calloop::EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    context: IoContext,
    upstream: Upstream,
    policy: Balancer,
    discovery: Discovery,
}

impl DiscoveryFixture {
    /// Starts a connection to this address.
    fn start(address: SocketAddr, source: ListSource) -> DiscoveryFixture {
        let config = config::parse(&ProxyConfig::new().text()).ok().unwrap();
        let events = calloop::EventLoop::try_new().unwrap();
        let mut context = io_context(&events);
        context.now = Timestamp::from_micros(1_000_000);
        let mut discovery = Discovery::new(address, source, 7);
        discovery.open(&mut context);
        let upstream = Upstream::new(config.connections.clone(), 8);
        let policy = Balancer::new(config.settings.clone(), 1, Timestamp::ZERO);
        let mut fixture = DiscoveryFixture {
            events,
            ready: ReadyEvents::default(),
            context,
            upstream,
            policy,
            discovery,
        };
        fixture.iterate();
        fixture
    }

    /// Connects to this server and applies version 44 of the list, in which the endpoint is active.
    fn start_with_list(
        server: &ManualServer,
        source: ListSource,
    ) -> (DiscoveryFixture, ManualConnection) {
        let mut fixture = DiscoveryFixture::start(server.address(), source);
        let mut stream = server.accept_stream();
        stream.send_chunk(&complete_list(44, "active"));
        fixture.run_until(44, EndpointState::Ready);
        (fixture, stream)
    }

    /// Runs one iteration of the event loop.
    fn iterate(&mut self) {
        self.events
            .dispatch(Duration::from_millis(5), &mut self.ready)
            .unwrap();
        while let Some(owner) = self.context.deadlines.pop_due(self.context.now) {
            self.discovery.on_deadline(owner.slot, &mut self.context);
        }
        let sockets: Vec<_> = self.ready.sockets.drain(..).collect();
        for (owner, readiness) in sockets {
            self.discovery.on_ready(owner.slot, readiness);
        }
        let mut context = EventContext {
            io: &mut self.context,
            policy: &mut self.policy,
        };
        self.discovery.serve(&mut self.upstream, &mut context);
    }

    fn iterate_times(&mut self, count: usize) {
        (0..count).for_each(|_| self.iterate());
    }

    /// Advances the clock.
    fn advance(&mut self, duration: Duration) {
        self.context.now = self.context.now + duration;
    }

    /// Changes the address of discovery, and starts a connection to the new address.
    fn change_address(&mut self, server: &ManualServer) {
        let changed = self
            .discovery
            .change_address(server.address(), &mut self.context);
        assert!(changed);
        self.iterate();
    }

    /// Runs until discovery has connected again. Fails if that takes longer than `TEST_TIMEOUT` by
    /// the clock that the test sets.
    fn reconnect(&mut self, server: &ManualServer) -> ManualConnection {
        let started_at = self.context.now;
        loop {
            if let Some(connection) = server.try_accept() {
                return connection;
            }
            assert!(self.context.now - started_at < TEST_TIMEOUT);
            self.advance(Duration::from_millis(5));
            self.iterate();
        }
    }

    /// Runs until the list has this version and the endpoint this state.
    fn run_until(&mut self, version: u64, state: EndpointState) {
        let started_at = Instant::now();
        let current = |fixture: &DiscoveryFixture| {
            (
                fixture.discovery.list_version(),
                fixture
                    .policy
                    .endpoint_status(ENDPOINT)
                    .map(|status| status.state),
            )
        };
        while current(self) != (version, Some(state)) {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "{:?}", current(self));
            self.iterate();
        }
    }

    /// Runs until the list has been confirmed at the current time of the clock.
    fn run_until_confirmed(&mut self) {
        while self.discovery.list_confirmed_at() != self.context.now {
            self.iterate();
        }
    }
}

#[test]
fn older_list_is_ignored_while_the_address_changes() {
    let [first, second] = [(); 2].map(|()| ManualServer::new());
    let (mut fixture, mut earlier) =
        DiscoveryFixture::start_with_list(&first, ListSource::LocalAgent);
    fixture.change_address(&second);
    let mut later = second.accept_stream();

    // The later stream does not replace the earlier one until its first list has been received
    // completely.
    later.send_chunk("{\n");
    fixture.iterate_times(20);
    earlier.send_chunk(&list_change(45, "leaving"));
    fixture.run_until(45, EndpointState::Draining);

    // Older versions from the later stream are ignored: a complete list and a change.
    later.send_chunk(&complete_list(44, "active")[1..]);
    later.send_chunk(&list_change(44, "active"));
    later.send_chunk(&list_change(46, "leaving"));
    fixture.run_until(46, EndpointState::Draining);

    // After seven seconds without a line the stream is reopened. A complete list with a lower
    // version then means that discovery has restarted its version numbers; a change does not.
    fixture.advance(Duration::from_secs(7));
    let mut later = fixture.reconnect(&second);
    later.start_stream();
    later.send_chunk(&list_change(3, "active"));
    later.send_chunk(&complete_list(2, "active"));
    fixture.run_until(2, EndpointState::Ready);
}

#[test]
fn stream_that_opens_and_delivers_nothing_is_reopened_within_four_seconds() {
    let server = ManualServer::new();
    let mut fixture = DiscoveryFixture::start(server.address(), ListSource::LocalAgent);
    let _stream = server.accept_stream();
    // Enough iterations to read the head of the response.
    fixture.iterate_times(20);
    let opened_at = fixture.context.now;

    fixture.reconnect(&server);

    assert!(fixture.context.now - opened_at < Duration::from_secs(4));
}

#[test]
fn list_is_read_from_the_last_address_after_two_changes_in_a_row() {
    let [first, unresponsive, last] = [(); 3].map(|()| ManualServer::new());
    let (mut fixture, mut earlier) =
        DiscoveryFixture::start_with_list(&first, ListSource::LocalAgent);

    // The server at the second address accepts the connection and sends nothing. The address
    // changes again while that connection is still open.
    fixture.change_address(&unresponsive);
    let _ignored = unresponsive.accept();
    earlier.send_chunk(&complete_list(45, "leaving"));
    fixture.run_until(45, EndpointState::Draining);

    fixture.change_address(&last);
    let mut later = last.accept_stream();
    earlier.send_chunk(&complete_list(46, "active"));
    fixture.run_until(46, EndpointState::Ready);
    later.send_chunk(&complete_list(47, "leaving"));
    fixture.run_until(47, EndpointState::Draining);

    // The first stream is closed now, and what it sends is ignored.
    let _ = earlier.stream.write_all(b"2\r\nxx\r\n");
    later.send_chunk(&complete_list(48, "active"));
    fixture.run_until(48, EndpointState::Ready);
}

#[test]
fn queued_list_request_is_kept_and_its_stream_reopened_only_after_the_keep_alive_timeout() {
    let server = ManualServer::new();
    let mut fixture = DiscoveryFixture::start(server.address(), ListSource::SharedService);
    let mut stream = server.accept();

    // The response starts late. Then the stream stays open as long as keep-alives are received.
    fixture.advance(Duration::from_secs(3));
    fixture.iterate_times(5);
    assert!(
        server.try_accept().is_none(),
        "the request was abandoned while it waited in the server's queue"
    );
    stream.start_stream();
    stream.send_chunk(&complete_list(44, "active"));
    fixture.run_until(44, EndpointState::Ready);
    for _ in 0..6 {
        fixture.advance(Duration::from_secs(2));
        stream.send_chunk("\n");
        fixture.run_until_confirmed();
    }
    assert!(
        server.try_accept().is_none(),
        "the stream was reopened in spite of keep-alives"
    );

    // The stream is reopened later than the interval between two keep-alives, but early enough for
    // the instance to act on the latest list within six seconds.
    let last_line_at = fixture.context.now;
    fixture.reconnect(&server);
    let idle_time = fixture.context.now - last_line_at;
    let allowed = Duration::from_millis(2_500)..Duration::from_secs(5);
    assert!(allowed.contains(&idle_time), "{idle_time:?}");
}

#[test]
fn stream_is_reopened_within_a_second_after_the_agent_recovers() {
    let server = ManualServer::new();
    let (mut fixture, first) = DiscoveryFixture::start_with_list(&server, ListSource::LocalAgent);
    drop(first);
    // For eight seconds the agent accepts connections and sends nothing on any of them.
    let recovered_at = fixture.context.now + Duration::from_secs(8);
    let mut ignored = Vec::new();
    while fixture.context.now < recovered_at {
        fixture.advance(Duration::from_millis(20));
        fixture.iterate();
        ignored.extend(server.try_accept());
    }

    // The earlier connections never deliver anything. A new one gets a response.
    let mut recovered = fixture.reconnect(&server);
    let delay = fixture.context.now - recovered_at;
    recovered.start_stream();
    recovered.send_chunk(&list_change(45, "leaving"));

    assert!(delay < Duration::from_millis(950), "{delay:?}");
    fixture.run_until(45, EndpointState::Draining);
}
