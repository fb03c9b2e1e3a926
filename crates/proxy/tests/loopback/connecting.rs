//! Attempts that wait for their connection while the endpoint changes, the client disconnects or
//! the idempotency window ends, and connections that must not be reused.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::common::*;

/// How the list entry of an endpoint changes while an attempt connects to it.
#[derive(Clone, Copy, Debug)]
struct EndpointUpdate {
    state: &'static str,
    started_ms: u64,
    build: u32,
    address_changed: bool,
}

/// The entry as it was first listed.
const UNCHANGED: EndpointUpdate = EndpointUpdate {
    state: "active",
    started_ms: 0,
    build: RELEASED_BUILD,
    address_changed: false,
};

#[test]
fn attempt_whose_endpoint_changes_while_it_connects_goes_to_another_endpoint() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let updates = [
        EndpointUpdate {
            state: "leaving",
            ..UNCHANGED
        },
        EndpointUpdate {
            state: "left",
            ..UNCHANGED
        },
        EndpointUpdate {
            started_ms: now.as_millis() as u64,
            address_changed: true,
            ..UNCHANGED
        },
        EndpointUpdate {
            build: 42,
            address_changed: true,
            ..UNCHANGED
        },
    ];
    for update in updates {
        assert_attempt_goes_to_another_endpoint(update);
    }
}

/// Updates the endpoint's list entry while an attempt connects to it, adds another endpoint, and
/// checks that the client gets a response without a query over the pending connection.
fn assert_attempt_goes_to_another_endpoint(update: EndpointUpdate) {
    let servers = ManualServers::new();
    let [other, relocated] =
        [5, 6].map(|value| TestEndpoint::start(move |_| EndpointAction::Row(vec![value])));
    let proxy = start_proxy(&servers.long_timeout_config());
    let mut list_stream = servers.discovery.accept_stream();
    let [mut first, mut second] = [(); 2].map(|()| Client::with_open_session(proxy.address));
    first.send(&query("look", 1, 8000));
    let mut connecting = servers.endpoint.accept_startup();

    let updated = ListedEndpoint {
        id: "s-0".to_string(),
        address: if update.address_changed {
            relocated.address
        } else {
            servers.endpoint.address()
        },
        state: update.state,
        started_ms: update.started_ms,
        build: update.build,
    };
    let change = EndpointList {
        version: 42,
        complete: false,
        endpoints: vec![updated, ListedEndpoint::active("s-1", other.address)],
    };
    list_stream.send_chunk(&format!("{change}\n"));
    // A response from another endpoint shows that the update has been applied.
    let response = second.request(&query("look", 2, 8000));
    assert!(response.is_row(), "{update:?}: {response:?}");
    connecting.open_session();

    assert_eq!(connecting.query(), None, "{update:?}");
    let response = first.response();
    assert!(response.is_row(), "{update:?}: {response:?}");
}

#[test]
fn no_query_is_sent_for_a_client_that_disconnects_while_its_attempt_connects() {
    // This holds even if attempts in flight may not be cancelled.
    for cancellation_allowed in [true, false] {
        // Each proxy gets its own servers, as a connection from the first proxy may still wait to
        // be accepted.
        let servers = ManualServers::new();
        let config = servers
            .long_timeout_config()
            .cancellation_allowed(cancellation_allowed);
        let proxy = start_proxy(&config);
        let [mut leaving, mut staying] = [(); 2].map(|()| Client::with_open_session(proxy.address));
        leaving.send(&query("look", 1, 8000));
        let mut connecting = servers.endpoint.accept_startup();

        leaving.disconnect();
        // The proxy itself responds to an empty statement, after it has observed that the other
        // client has disconnected.
        assert_eq!(staying.request(&statement("")), Response::EmptyStatement);
        connecting.open_session();
        staying.send(&query("look", 2, 8000));

        let first_query = connecting
            .query()
            .or_else(|| servers.endpoint.accept_session().query());
        assert!(
            first_query
                .as_ref()
                .is_some_and(|query| query.contains("id=2")),
            "{cancellation_allowed}: {first_query:?}"
        );
    }
}

#[test]
fn no_query_is_sent_for_a_client_that_disconnects_while_the_instance_is_stalled() {
    // No attempt may start for a client that disconnected longer ago than this.
    let limit = Duration::from_millis(100);
    for cancellation_allowed in [true, false] {
        let servers = ManualServers::new();
        let config = servers
            .long_timeout_config()
            .cancellation_allowed(cancellation_allowed);
        let mut proxy = start_proxy(&config);
        let mut client = Client::with_open_session(proxy.address);
        client.send(&query("look", 1, 8000));
        let mut connecting = servers.endpoint.accept_startup();

        // The proxy observes in the same iteration that the session is open and that the client
        // has disconnected.
        proxy.pause();
        connecting.open_session();
        client.disconnect();
        thread::sleep(limit);
        proxy.resume();

        assert_eq!(connecting.query(), None, "{cancellation_allowed}");
    }
}

#[test]
fn retry_whose_idempotency_window_ends_while_it_connects_is_not_written() {
    let servers = ManualServers::new();
    let config = servers.long_timeout_config().replace(
        "\"pay\",\"idempotency\":\"fragile\",\"target\":500.0,\"deadline\":1000.0",
        "\"pay\",\"idempotency\":\"dedup\",\"key_scope\":\"all\",\"repeat_window\":300.0,\
         \"target\":4000.0,\"deadline\":8000.0",
    );
    let proxy = start_proxy(&config);
    let mut client = Client::with_open_session(proxy.address);
    client.send(&statement(
        "SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=pay,d=8000,k=5c */",
    ));
    let mut first = servers.endpoint.accept_session();
    assert!(first.query().is_some());
    let executed_at = Instant::now();
    // The query may have been executed. The retry needs another connection, as this one accepts no
    // query until ReadyForQuery.
    first.send(&error("XX000"));
    let mut second = servers.endpoint.accept_startup();

    thread::sleep(Duration::from_millis(310).saturating_sub(executed_at.elapsed()));
    second.open_session();

    // No endpoint may execute the query again, so the client gets an error immediately.
    assert!(client.response().is_error());
    drop(proxy);
    assert_eq!(second.query(), None);
}

#[test]
fn connection_that_is_rejected_and_then_accepted_is_sent_no_query() {
    let servers = ManualServers::new();
    let proxy = start_proxy(&servers.long_timeout_config());
    let mut client = Client::with_open_session(proxy.address);
    client.send(&query("pay", 1, 900));
    let mut contradictory = servers.endpoint.accept_startup();

    contradictory.send(&[message(b'R', &[0; 4]), error("XX000"), ready_for_query()].concat());

    // The request is not idempotent; it is retried because no query was written.
    let mut accepting = servers.endpoint.accept_session();
    assert!(accepting.query().is_some());
    accepting.respond(5);
    assert_eq!(client.response(), Response::row(&[5]));
    drop(proxy);
    assert_eq!(contradictory.query(), None);
}

#[test]
fn late_duplicate_response_is_not_taken_for_the_next_requests_response() {
    let started_at = Instant::now();
    while !duplicate_response_arrives_during_next_request() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no duplicate response arrived during the next request"
        );
    }
}

/// Sends a response a second time while the next request is in flight.
///
/// Returns false if the proxy was so slow to send the next request that it reused the connection of
/// the first one. A duplicate cannot be distinguished from the next response in that case.
fn duplicate_response_arrives_during_next_request() -> bool {
    let servers = ManualServers::new();
    let proxy = start_proxy(&servers.long_timeout_config());
    let mut client = Client::with_open_session(proxy.address);
    // The second request waits behind the first, and is read after the response to the first.
    client.send(&[query("look", 1, 8000), query("look", 2, 8000)].concat());
    let mut first = servers.endpoint.accept_session();
    assert!(first.query().is_some());
    first.respond(1);
    assert_eq!(client.response(), Response::row(&[1]));

    let Some(mut second) = servers.endpoint.accept_unless(|| first.is_readable()) else {
        assert!(first.query().is_some());
        first.respond(2);
        assert_eq!(client.response(), Response::row(&[2]));
        return false;
    };
    first.respond(1);
    second.read_startup();
    second.open_session();
    assert!(second.query().is_some());
    second.respond(2);

    assert_eq!(client.response(), Response::row(&[2]));
    true
}
