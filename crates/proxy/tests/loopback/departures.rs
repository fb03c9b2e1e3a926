//! Clients that disconnect while requests are unread or in flight, and request ids that come again.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::common::*;

/// How long after a client has disconnected an attempt of its requests may still begin.
const MAX_DELAY: Duration = Duration::from_millis(150);
/// How long the tests look for attempts that begin later.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);
/// The time that a simulated endpoint takes for each query.
const EXECUTION_TIME: Duration = Duration::from_millis(300);

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

fn depart(client: Client, departure: Departure) {
    match departure {
        Departure::Close => client.disconnect(),
        Departure::Reset => {
            let socket = SockRef::from(&client.stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}

/// Counts the attempts that begin later than is allowed after a client has disconnected.
fn attempts_begun_later(endpoint: &TestEndpoint) -> usize {
    thread::sleep(MAX_DELAY);
    let begun = endpoint.events.queries_with("id=");
    thread::sleep(OBSERVATION_TIME);
    endpoint.events.queries_with("id=") - begun
}

/// A configuration in which a client of the route `pay`, whose requests are not idempotent, waits for
/// 8 s in all, so that the ids of its requests do not expire during a test.
fn config_with_long_waiting_clients(endpoint: &TestEndpoint) -> ProxyConfig {
    ProxyConfig::new().endpoint(endpoint.address).replace(
        "\"target\":500.0,\"deadline\":1000.0",
        "\"target\":500.0,\"deadline\":8000.0",
    )
}

fn slow_endpoint() -> TestEndpoint {
    TestEndpoint::start(|_| {
        thread::sleep(EXECUTION_TIME);
        EndpointAction::row()
    })
}

/// Guards against requests that are sent although their client has left: input that was read or
/// still unread was handled after the end of the connection.
#[test]
fn no_attempt_begins_after_a_client_with_many_unread_requests_has_disconnected() {
    for departure in [Departure::Close, Departure::Reset] {
        for count in [20, 400, 2000] {
            let endpoint = TestEndpoint::start(|_| {
                thread::sleep(Duration::from_millis(5));
                EndpointAction::row()
            });
            let config = ProxyConfig::new()
                .endpoint(endpoint.address)
                .long_deadline();
            let proxy = start_proxy(&config);
            let mut client = Client::with_open_session(proxy.address);
            let requests: Vec<u8> = (0..count).flat_map(|id| query("look", id, 8000)).collect();
            client.send(&requests);
            endpoint.events.wait_for(1, TEST_TIMEOUT);

            depart(client, departure);

            let begun_later = attempts_begun_later(&endpoint);
            assert_eq!(begun_later, 0, "{departure:?}, {count} requests");
        }
    }
}

/// Sends a query on a new connection and returns the response.
fn respond_to(address: SocketAddr, message: &[u8]) -> Response {
    let mut client = Client::with_open_session(address);
    client.request(message)
}

/// An error after which the client must not assume that a retry is harmless.
fn is_failure(response: &Response) -> bool {
    response.is_error() && *response != Response::error(OVERLOADED)
}

/// Guards against a request that is executed twice: its client left while it was in flight, and the
/// same id came on a new connection.
#[test]
fn id_of_a_request_in_flight_whose_client_has_left_is_not_executed_again() {
    for may_cancel in [true, false] {
        for departure in [Departure::Close, Departure::Reset] {
            let endpoint = slow_endpoint();
            let config =
                config_with_long_waiting_clients(&endpoint).cancellation_allowed(may_cancel);
            let proxy = start_proxy(&config);
            let mut client = Client::with_open_session(proxy.address);
            client.send(&query("pay", 7, 800));
            endpoint.events.wait_for(1, TEST_TIMEOUT);

            depart(client, departure);
            let responses = [0, 50, 400].map(|delay_ms| {
                thread::sleep(Duration::from_millis(delay_ms));
                respond_to(proxy.address, &query("pay", 7, 800))
            });

            assert!(responses.iter().all(is_failure), "{responses:?}");
            assert_eq!(endpoint.events.queries_with("id=7,"), 1, "{departure:?}");
        }
    }
}

/// Guards against a request that is executed twice: its client left before it could read the
/// response, and the same id came on a new connection.
#[test]
fn id_of_a_completed_request_with_a_side_effect_is_not_executed_again() {
    let endpoint = TestEndpoint::responsive();
    let proxy = start_proxy(&config_with_long_waiting_clients(&endpoint));
    let first = respond_to(proxy.address, &query("pay", 7, 800));
    assert!(first.is_row());

    let second = respond_to(proxy.address, &query("pay", 7, 800));

    assert!(is_failure(&second), "{second:?}");
    assert_eq!(endpoint.events.queries_with("id=7,"), 1);
}

/// Guards against a request that is executed twice: its id came on two open connections.
#[test]
fn id_on_two_open_connections_is_executed_once() {
    let endpoint = slow_endpoint();
    let proxy = start_proxy_with_endpoint(&endpoint);
    let mut clients = [(); 2].map(|()| Client::with_open_session(proxy.address));
    for client in &mut clients {
        client.send(&query("pay", 7, 800));
    }

    let responses = clients.map(|mut client| client.response());

    let rows = responses.iter().filter(|response| response.is_row());
    assert_eq!(rows.count(), 1, "{responses:?}");
    assert!(responses.iter().any(is_failure), "{responses:?}");
    assert_eq!(endpoint.events.queries_with("id=7,"), 1);
}

/// Guards against a returning id that is refused for no reason: the endpoint has not executed the
/// request.
#[test]
fn id_of_a_request_that_was_not_executed_is_served_when_it_comes_again() {
    let endpoint = TestEndpoint::responsive_after(|| EndpointAction::Error(OVERLOADED));
    let config = ProxyConfig::new()
        .endpoint(endpoint.address)
        .replace("\"max_attempts\":3", "\"max_attempts\":1");
    let proxy = start_proxy(&config);
    let first = respond_to(proxy.address, &query("pay", 7, 800));
    assert_eq!(first, Response::error(OVERLOADED));

    let second = respond_to(proxy.address, &query("pay", 7, 800));

    assert!(second.is_row(), "{second:?}");
}

/// Guards against attempts for a client that has left: a retry or a hedged attempt was in flight.
#[test]
fn no_attempt_begins_after_a_client_with_a_retry_in_flight_has_disconnected() {
    for departure in [Departure::Close, Departure::Reset] {
        let endpoint = TestEndpoint::start(|index| {
            if index == 0 {
                EndpointAction::Error("XX000")
            } else {
                EndpointAction::NoResponse
            }
        });
        let proxy = start_proxy_with_endpoint(&endpoint);
        let mut client = Client::with_open_session(proxy.address);
        client.send(&query("look", 7, 1200));
        endpoint.events.wait_for(2, TEST_TIMEOUT);

        depart(client, departure);

        assert_eq!(attempts_begun_later(&endpoint), 0, "{departure:?}");
    }
}
