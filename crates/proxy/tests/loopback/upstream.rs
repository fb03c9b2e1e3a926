//! Endpoint responses, their translation for clients, and the reuse of endpoint connections.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// What the proxy's only endpoint does with its first query. It responds to all later ones.
type FirstAction = fn() -> EndpointAction;

/// The response that the client receives.
#[derive(Clone, Copy)]
enum Outcome {
    /// The row of a retry or of the first attempt.
    Row,
    /// An error of this code.
    Error(&'static str),
}

/// The client's responses on a route with idempotent requests and on one without.
#[derive(Clone, Copy)]
struct Outcomes {
    idempotent: Outcome,
    not_idempotent: Outcome,
}

/// The request may have been executed before the failure: only an idempotent one is retried.
const FAILURE: Outcomes = Outcomes {
    idempotent: Outcome::Row,
    not_idempotent: Outcome::Error("58000"),
};

/// The request succeeded, or was not executed and is retried.
const SUCCESS: Outcomes = Outcomes {
    idempotent: Outcome::Row,
    not_idempotent: Outcome::Row,
};

/// The request itself is invalid: no other endpoint gets it.
const INVALID_REQUEST: Outcomes = Outcomes {
    idempotent: Outcome::Error("42601"),
    not_idempotent: Outcome::Error("42601"),
};

/// The endpoint's first actions by name, with the client's responses.
const FIRST_ACTIONS: [(&str, FirstAction, Outcomes); 15] = [
    ("row", EndpointAction::row, SUCCESS),
    ("overload", || EndpointAction::Error("53300"), SUCCESS),
    ("internal error", || EndpointAction::Error("XX000"), FAILURE),
    ("closed connection", || EndpointAction::Close, FAILURE),
    (
        "message shorter than its length field",
        || EndpointAction::Bytes(b"D\0\0\0\x03"),
        FAILURE,
    ),
    (
        "CommandComplete for no row",
        || EndpointAction::Bytes(b"C\0\0\0\x0dSELECT 0\0"),
        FAILURE,
    ),
    (
        "random bytes",
        || EndpointAction::Bytes(b"\xf7\x03noise"),
        FAILURE,
    ),
    (
        "message with a length of 3 GB",
        || EndpointAction::Bytes(b"D\xb2\xd0\x5e\0\0\x01"),
        FAILURE,
    ),
    (
        "DataRow without RowDescription",
        || EndpointAction::Bytes(b"D\0\0\0\x0b\0\x01\0\0\0\x01\x05"),
        FAILURE,
    ),
    (
        "RowDescription of two columns that ends before them",
        || EndpointAction::Bytes(b"T\0\0\0\x06\0\x02"),
        FAILURE,
    ),
    (
        "ErrorResponse without terminator",
        || EndpointAction::Bytes(b"E\0\0\0\x08XX00"),
        FAILURE,
    ),
    (
        "ReadyForQuery without a result",
        || EndpointAction::Bytes(b""),
        FAILURE,
    ),
    (
        "invalid request",
        || EndpointAction::Error("42601"),
        INVALID_REQUEST,
    ),
    // An invalid load report or invalid bytes after a row leave the row valid, and are not part of
    // the next response.
    (
        "row with an invalid load report",
        || EndpointAction::RowWithReport {
            report: b"vitals\0inflight=\xff\xfe\0",
            trailing_bytes: b"",
        },
        SUCCESS,
    ),
    (
        "row followed by invalid bytes",
        || EndpointAction::RowWithReport {
            report: b"vitals\0inflight=7\0",
            trailing_bytes: b"\xf7\x03",
        },
        SUCCESS,
    ),
];

#[test]
fn endpoint_failure_is_retried_if_the_request_allows_it_and_otherwise_reported() {
    for (name, first_action, outcomes) in FIRST_ACTIONS {
        for (route, outcome) in [
            ("look", outcomes.idempotent),
            ("pay", outcomes.not_idempotent),
        ] {
            let endpoint = TestEndpoint::responsive_after(first_action);
            let proxy = start_proxy_with_endpoint(&endpoint);
            let mut client = Client::connect(proxy.address);

            client.send_with_startup(&query(route, 1, 900));

            let expected = match outcome {
                Outcome::Row => Response::row(VALUE),
                Outcome::Error(code) => Response::error(code),
            };
            assert_eq!(client.response(), Response::SessionOpened);
            assert_eq!(client.response(), expected, "{name}, {route}");
        }
    }
}

/// The time after which an idle connection may be reused.
const REUSE_DELAY: Duration = Duration::from_millis(25);

/// An endpoint that closes each connection at its third query.
struct ClosingEndpoint {
    address: SocketAddr,
    /// The events of each connection.
    connections: Arc<Mutex<Vec<EventLog>>>,
}

impl ClosingEndpoint {
    fn start() -> ClosingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let recorded = connections.clone();
        let script = |index, _: &str| {
            if index < 2 {
                EndpointAction::row()
            } else {
                EndpointAction::Close
            }
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = EventLog::default();
                recorded.lock().unwrap().push(events.clone());
                thread::spawn(move || serve_connection(stream, &events, &script));
            }
        });
        ClosingEndpoint {
            address,
            connections,
        }
    }

    /// The events of each connection so far.
    fn events(&self) -> Vec<Vec<EndpointEvent>> {
        let connections = self.connections.lock().unwrap();
        connections.iter().map(EventLog::all).collect()
    }

    /// Whether a connection was closed at a query of the route `look`.
    fn has_closed_at_look(&self) -> bool {
        self.events().iter().any(|events| {
            let third = events.get(2);
            third.is_some_and(|query| query.is_query_with("c=look"))
        })
    }
}

#[test]
fn non_idempotent_request_uses_no_reused_connection_after_one_was_closed_by_its_endpoint() {
    let endpoint = ClosingEndpoint::start();
    // Neither a hedge nor a time limit ends an attempt. If its connection is closed, the client's
    // response therefore shows that the proxy has observed that and retried.
    let config = ProxyConfig::new()
        .endpoint(endpoint.address)
        .without_hedging()
        .long_deadline();
    let proxy = start_proxy(&config);
    let mut client = Client::with_open_session(proxy.address);

    // The proxy learns from a closed connection that this endpoint closes reused ones. The client
    // gets the response to a retry.
    let started_at = Instant::now();
    for id in 0.. {
        let response = client.request(&query("look", id, 8000));
        assert_eq!(response, Response::row(VALUE), "{id}");
        if endpoint.has_closed_at_look() {
            break;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no connection was closed"
        );
        thread::sleep(REUSE_DELAY);
    }
    for id in 0x100..0x10a {
        thread::sleep(REUSE_DELAY);
        let response = client.request(&query("pay", id, 900));
        assert_eq!(response, Response::row(VALUE), "{id:x}");
    }

    for events in endpoint.events() {
        let mut reusing = events.iter().skip(1);
        let non_idempotent = reusing.find(|query| query.is_query_with("c=pay"));
        assert_eq!(non_idempotent, None, "{events:?}");
    }
}

#[test]
fn load_report_after_the_response_is_applied_with_it() {
    let endpoint = TestEndpoint::responsive();
    let config = ProxyConfig::new().endpoint(endpoint.address);
    let scenario = |address: SocketAddr| {
        let mut client = Client::connect(address);
        client.send_with_startup(&query("look", 1, 900));
        [client.response(), client.response()]
    };

    let (proxy, responses) = with_proxy(&config, |_| {}, scenario);

    assert_eq!(responses, [Response::SessionOpened, Response::row(VALUE)]);
    let status = proxy.policy.endpoint_status("s-0").unwrap();
    assert_eq!((status.reported_load, status.in_flight), (7.0, 0.0));
}

#[test]
fn failing_build_gets_a_vote_to_roll_back() {
    let healthy = TestEndpoint::start(|_| EndpointAction::Row(vec![1]));
    let failing = TestEndpoint::start(|_| EndpointAction::Error("XX000"));
    let platform = HttpServer::platform_with_canary("rolling_back", "0");
    let proxy = start_proxy(
        &ProxyConfig::new()
            .endpoint(healthy.address)
            .endpoint_of_build(failing.address, 42)
            .discovery(HttpServer::unresponsive().address)
            .platform(platform.address),
    );
    let mut client = Client::with_open_session(proxy.address);
    let is_vote = |request: &String| {
        request.starts_with("POST / HTTP/1.1\r\n")
            && request.ends_with("Action=RecordOpinion&version=42&step=1&vote=reject")
    };

    let started_at = Instant::now();
    while !platform.requests().iter().any(is_vote) {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "{:?}",
            platform.requests()
        );
        client.request(&query("look", 1, 900));
    }
}
