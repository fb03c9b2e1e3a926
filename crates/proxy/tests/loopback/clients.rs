//! Client connections: requests, responses, invalid input and disconnects.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tidescale_policy::Balancer;
use tidescale_proxy::clock::Clock;
use tidescale_proxy::config;

use crate::common::*;

/// The longest time until an endpoint observes the effect of a client's action.
const OBSERVATION_LIMIT: Duration = Duration::from_millis(1000);

#[test]
fn responses_are_complete_and_in_order_however_the_requests_are_split() {
    let value: Vec<u8> = (0..60_000u32).map(|index| (index * 7) as u8).collect();
    let long_value = value.clone();
    let endpoint = TestEndpoint::start(move |index| {
        EndpointAction::Row(if index == 0 {
            long_value.clone()
        } else {
            vec![index as u8]
        })
    });
    let proxy = start_proxy_with_endpoint(&endpoint);
    let mut client = Client::connect(proxy.address);
    let messages = [
        startup(),
        query("look", 1, 900),
        statement(""),
        query("pay", 2, 800),
    ]
    .concat();
    let (bytewise, remainder) = messages.split_at(messages.len() - 20);

    for byte in bytewise {
        client.send(&[*byte]);
    }
    assert_eq!(client.response(), Response::SessionOpened);
    client.send(remainder);

    assert_eq!(client.response(), Response::Row(value));
    assert_eq!(client.response(), Response::EmptyStatement);
    assert_eq!(client.response(), Response::row(&[1]));
    let events = endpoint.events.all();
    assert_eq!(events.len(), 2);
    let EndpointEvent::Query(first) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(first.starts_with("SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=look,d="));
}

#[test]
fn malformed_statement_or_message_gets_an_error_and_reaches_no_endpoint() {
    let endpoint = TestEndpoint::responsive();
    let proxy = start_proxy_with_endpoint(&endpoint);
    let syntax_error = || Response::error("42601");
    let unsupported = || Response::error("0A000");
    let protocol_violation = || Response::fatal_error("08P01");
    let without_time_limit = "SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=look */";
    let extended_query = [
        message(b'P', b"\0SELECT 1\0\0\0"),
        message(b'B', b""),
        message(b'S', b""),
    ]
    .concat();
    let cases = [
        (statement("SELECT 1"), syntax_error()),
        (statement(without_time_limit), syntax_error()),
        (query("elsewhere", 1, 900), syntax_error()),
        (extended_query, unsupported()),
        (message(b'F', b"1234"), unsupported()),
        (message(b'!', b""), protocol_violation()),
        (vec![b'Q', 0, 0, 0, 1], protocol_violation()),
        (vec![b'Q', 0x7f, 0, 0, 0], protocol_violation()),
        (message(b'Q', b"no end"), protocol_violation()),
        (message(b'X', b""), Response::Closed),
    ];
    for (bytes, response) in cases {
        let mut client = Client::with_open_session(proxy.address);

        assert_eq!(client.request(&bytes), response, "{bytes:?}");

        if !response.ends_connection() {
            let response = client.request(&query("look", 7, 900));
            assert_eq!(response, Response::row(VALUE), "{bytes:?}");
        }
    }
    let events = endpoint.events.all();
    assert!(events.iter().all(|event| event.is_query_with("id=7")));
}

#[test]
fn first_message_other_than_startup_is_declined_or_closes_the_connection() {
    const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
    const CANCEL_REQUEST: [u8; 16] = [0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 1];
    const PROTOCOL_VERSION_2: [u8; 8] = [0, 0, 0, 8, 0, 2, 0, 0];
    let endpoint = TestEndpoint::responsive();
    let proxy = start_proxy_with_endpoint(&endpoint);

    let mut client = Client::connect(proxy.address);
    client.send(&ENCRYPTION_REQUEST);
    let mut reply = [0];
    client.stream.read_exact(&mut reply).unwrap();
    assert_eq!(reply, *b"N");
    assert_eq!(client.request(&startup()), Response::SessionOpened);

    for first_message in [&CANCEL_REQUEST[..], &PROTOCOL_VERSION_2] {
        let mut client = Client::connect(proxy.address);
        assert!(client.request(first_message).ends_connection());
    }
    assert!(endpoint.events.all().is_empty());
}

#[test]
fn client_that_disconnects_has_its_attempt_cancelled() {
    let endpoint = TestEndpoint::start(|_| EndpointAction::NoResponse);
    let proxy = start_proxy_with_endpoint(&endpoint);
    let mut client = Client::connect(proxy.address);
    client.send_with_startup(&query("look", 1, 1200));
    endpoint.events.wait_for(1, OBSERVATION_LIMIT);

    client.disconnect();

    endpoint.events.wait_for(2, OBSERVATION_LIMIT);
    assert_eq!(endpoint.events.all()[1], EndpointEvent::ClosedInFlight);
}

#[test]
fn client_that_disconnects_with_much_unread_input_has_its_attempt_cancelled_and_starts_no_other() {
    let endpoint = TestEndpoint::responsive_after(|| EndpointAction::NoResponse);
    let proxy = start_proxy_with_endpoint(&endpoint);
    let mut client = Client::with_open_session(proxy.address);
    client.send(&query("look", 1, 1200));
    endpoint.events.wait_for(1, OBSERVATION_LIMIT);

    // More than the proxy reads ahead while a request is pending.
    let unread: Vec<u8> = (100..700).flat_map(|id| query("look", id, 1200)).collect();
    client.send(&unread);
    client.disconnect();

    endpoint.events.wait_for(2, OBSERVATION_LIMIT);
    assert_eq!(endpoint.events.all()[1], EndpointEvent::ClosedInFlight);
    assert_eq!(
        query_with_new_client(proxy.address, 0xffff),
        Response::row(VALUE)
    );
    let events = endpoint.events.all();
    let mut later_events = events[2..].iter();
    assert!(
        later_events.all(|event| event.is_query_with("id=ffff")),
        "attempts for a client that has disconnected: {events:?}"
    );
}

/// A policy with all configured endpoints but only the first configured route.
fn policy_with_one_route(config: &ProxyConfig) -> Balancer {
    let mut config = config::parse(&config.text()).ok().unwrap();
    config.settings.routes.truncate(1);
    let mut policy = Balancer::new(config.settings, config.seed, Clock::start().now());
    for endpoint in &config.known_endpoints.endpoints {
        policy.on_endpoint(endpoint.entry());
    }
    policy
}

#[test]
fn panic_closes_the_connection_that_caused_it_and_no_other() {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let endpoint = TestEndpoint::start(move |_| {
        released.lock().unwrap().recv().unwrap();
        EndpointAction::row()
    });
    let config = ProxyConfig::new()
        .endpoint(endpoint.address)
        .long_deadline();
    // The policy panics on a request of the second route, which it does not have.
    let policy = policy_with_one_route(&config);
    let events = endpoint.events;

    let scenario = move |address: SocketAddr| {
        let [mut triggering, mut other] = [(); 2].map(|()| Client::with_open_session(address));
        // Another request is pending meanwhile. Its time limits are long, since printing the
        // panic's backtrace blocks the event loop.
        other.send(&query("look", 2, 8000));
        wait_until("no query received", || !events.all().is_empty());
        assert_eq!(triggering.request(&query("pay", 1, 900)), Response::Closed);
        release.send(()).unwrap();
        assert_eq!(other.response(), Response::row(VALUE));
        release.send(()).unwrap();
        let response = other.request(&query("look", 3, 8000));
        assert_eq!(response, Response::row(VALUE));
    };

    with_proxy(&config, |proxy| proxy.policy = policy, scenario);
}

/// Sends a message that is never completed, and checks on a separate thread that the time until it
/// is rejected is in this range.
fn assert_rejected_within(
    address: SocketAddr,
    incomplete_message: &[u8],
    range: Range<Duration>,
) -> JoinHandle<()> {
    let mut client = Client::connect(address);
    let sent_at = Instant::now();
    client.send_with_startup(incomplete_message);
    thread::spawn(move || {
        assert_eq!(client.response(), Response::SessionOpened);
        assert_eq!(client.response(), Response::fatal_error("08P01"));
        let delay = sent_at.elapsed();
        assert!(range.contains(&delay), "{delay:?}");
    })
}

/// The type byte and the length field of a message that is too long.
const HEADER_WITH_EXCESSIVE_LENGTH: &[u8] = b"Q\x03\x93\x87\0";

/// Checks that a client receives the error for a message that is too long, even if it sends much
/// more data before it reads.
fn assert_error_is_received_despite_further_input(address: SocketAddr) {
    let mut client = Client::connect(address);
    client.send_with_startup(HEADER_WITH_EXCESSIVE_LENGTH);
    thread::sleep(Duration::from_millis(50));
    let _ = client.stream.write_all(&vec![b'x'; 200_000]);

    assert_eq!(client.response(), Response::SessionOpened);
    assert!(matches!(client.response(), Response::FatalError(_)));
}

/// Checks that 400 requests in one write get responses in order. They are more than the proxy reads
/// at a time, and their responses are more than it may buffer.
fn assert_pipelined_requests_get_responses_in_order(address: SocketAddr) {
    let is_valid = |index: u32| index.is_multiple_of(20);
    let message = |index| {
        if is_valid(index) {
            query("look", 100 + index, 5000)
        } else {
            query("nowhere", 1, 900)
        }
    };
    let mut client = Client::connect(address);
    client.send_with_startup(&(0..400).flat_map(message).collect::<Vec<u8>>());

    assert_eq!(client.response(), Response::SessionOpened);
    for index in 0..400 {
        let response = client.response();
        if is_valid(index) {
            assert_eq!(response, Response::row(VALUE), "{index}");
        } else {
            assert!(response.is_error(), "{index}: {response:?}");
        }
    }
}

#[test]
fn missing_incomplete_oversized_and_pipelined_input_gets_a_response_or_is_closed_in_time() {
    let endpoint = TestEndpoint::responsive();
    let proxy = start_proxy_with_endpoint(&endpoint);
    let opened_at = Instant::now();
    let mut inactive = [(); 3].map(|()| Client::connect(proxy.address));
    inactive[1].send(&startup()[..9]);
    assert_eq!(inactive[2].request(&startup()), Response::SessionOpened);

    // An excessive length is rejected as soon as it has been read.
    let incomplete = &query("look", 1, 900)[..30];
    let excessive = [HEADER_WITH_EXCESSIVE_LENGTH, b"SELECT"].concat();
    let milliseconds =
        |range: Range<u64>| Duration::from_millis(range.start)..Duration::from_millis(range.end);
    let rejections = [
        assert_rejected_within(proxy.address, incomplete, milliseconds(2000..3000)),
        assert_rejected_within(proxy.address, &excessive, milliseconds(0..500)),
    ];
    assert_error_is_received_despite_further_input(proxy.address);
    assert_pipelined_requests_get_responses_in_order(proxy.address);

    for client in &mut inactive {
        assert!(client.is_closed());
        assert!(opened_at.elapsed() < Duration::from_millis(3000));
    }
    for rejection in rejections {
        rejection.join().unwrap();
    }
    let events = endpoint.events.all();
    assert!(events.iter().all(|event| event.is_query_with("c=look")));
}
