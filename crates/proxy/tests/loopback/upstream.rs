//! Endpoints: what they do with a query.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tidescale_proxy::postgres;

use crate::common::*;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table of cases, or one scenario told in order"
)]
fn what_an_endpoint_does_becomes_the_clients_response() {
    // What the only endpoint does first; then it answers -> for a route that may be retried, for one that may not.
    type First = fn() -> EndpointAction;
    let table: [(First, &str, &str); 15] = [
        (|| EndpointAction::Row(vec![5]), "TDCZ", "TDCZ"),
        (|| EndpointAction::Error("53300"), "TDCZ", "TDCZ"),
        (|| EndpointAction::Error("XX000"), "TDCZ", "EZ 58000"),
        (|| EndpointAction::Close, "TDCZ", "EZ 58000"),
        (|| EndpointAction::Bytes(b"D\0\0\0\x03"), "TDCZ", "EZ 58000"),
        (
            || EndpointAction::Bytes(b"C\0\0\0\x0dSELECT 0\0"),
            "TDCZ",
            "EZ 58000",
        ),
        // Noise, a value said to have gigabytes, parts out of order or spoilt: failed at once, and may have been executed.
        (
            || EndpointAction::Bytes(b"\xf7\x03noise"),
            "TDCZ",
            "EZ 58000",
        ),
        (
            || EndpointAction::Bytes(b"D\xb2\xd0\x5e\0\0\x01"),
            "TDCZ",
            "EZ 58000",
        ),
        (
            || EndpointAction::Bytes(b"D\0\0\0\x0b\0\x01\0\0\0\x01\x05"),
            "TDCZ",
            "EZ 58000",
        ),
        (
            || EndpointAction::Bytes(b"T\0\0\0\x06\0\x02"),
            "TDCZ",
            "EZ 58000",
        ),
        (
            || EndpointAction::Bytes(b"E\0\0\0\x08XX00"),
            "TDCZ",
            "EZ 58000",
        ),
        (|| EndpointAction::Bytes(b""), "TDCZ", "EZ 58000"),
        // The request itself is invalid: no other endpoint is asked.
        (|| EndpointAction::Error("42601"), "EZ 42601", "EZ 42601"),
        // A good answer stays good, whatever comes behind it; none of that answers what is asked next.
        (
            || EndpointAction::RowThen(b"vitals\0inflight=\xff\xfe\0", b""),
            "TDCZ",
            "TDCZ",
        ),
        (
            || EndpointAction::RowThen(b"vitals\0inflight=7\0", b"\xf7\x03"),
            "TDCZ",
            "TDCZ",
        ),
    ];
    for (i, (act, again, never)) in table.into_iter().enumerate() {
        for (route, wanted) in [("look", again), ("pay", never)] {
            let (addr, _) = start_endpoint(move |n| {
                if n == 0 {
                    act()
                } else {
                    EndpointAction::Row(vec![5])
                }
            });
            let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
            let mut client = Client::open(proxy.addr);
            client.send(&[startup(), query(route, 1, 900)].concat());
            assert_eq!(client.answer().0, "RSSSZ");
            let (tags, value) = client.answer();
            let code = if tags == "EZ" {
                format!(" {}", String::from_utf8_lossy(&value))
            } else {
                String::new()
            };
            assert_eq!(format!("{tags}{code}"), wanted, "{i} {route}");
        }
    }
}

/// A connection that has stood idle for so long may be used again.
const UNTIL_REUSABLE: Duration = Duration::from_millis(25);

#[test]
fn a_request_that_must_not_repeat_goes_over_no_reused_connection_where_these_break() {
    let (addr, connections) = start_endpoint_that_closes_at_the_third_query();
    // No hedge and no time-out ends an attempt: where its connection breaks, its answer comes after the proxy has seen
    // that and tried again.
    let config = config_with_endpoints(&[addr], 128)
        .replace("\"second_copies\":true", "\"second_copies\":false")
        .replace(
            "\"target\":500.0,\"deadline\":1200.0",
            "\"target\":4000.0,\"deadline\":8000.0",
        );
    let proxy = start_proxy(&config);
    let mut client = Client::admitted(proxy.addr);
    let mut ask = |route, id, wait| {
        client.send(&query(route, id, wait));
        client.answer().0
    };
    let broke_under_look = || {
        let connections = connections.lock().unwrap();
        connections.iter().any(|queries| {
            let queries = queries.lock().unwrap();
            queries.get(2).is_some_and(|query| query.contains("c=look"))
        })
    };
    // Retries hide it here, and the proxy learns of it.
    let begun = Instant::now();
    for id in 0.. {
        assert_eq!(ask("look", id, 8000), "TDCZ", "{id}");
        if broke_under_look() {
            break;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "no connection broke");
        thread::sleep(UNTIL_REUSABLE);
    }
    for id in 0x100..0x10a {
        thread::sleep(UNTIL_REUSABLE);
        assert_eq!(ask("pay", id, 900), "TDCZ", "{id:x}");
    }
    for queries in connections.lock().unwrap().iter() {
        let queries = queries.lock().unwrap();
        let reused = queries.iter().skip(1).find(|query| query.contains("c=pay"));
        assert_eq!(reused, None, "{queries:?}");
    }
}

/// An endpoint that ends each connection under its third query, and the queries that came over each connection.
fn start_endpoint_that_closes_at_the_third_query() -> (SocketAddr, Arc<Mutex<Vec<Notes>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Arc::new(Mutex::new(Vec::new()));
    let noted = connections.clone();
    let act = |index| {
        if index < 2 {
            EndpointAction::Row(vec![5])
        } else {
            EndpointAction::Close
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let queries = Notes::default();
            noted.lock().unwrap().push(queries.clone());
            thread::spawn(move || serve(stream, &queries, &act));
        }
    });
    (addr, connections)
}

#[test]
fn a_load_report_that_follows_the_answer_counts_with_it() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let (proxy, tags) = with_proxy(
        &config_with_endpoints(&[addr], 128),
        |_| {},
        |addr| {
            let mut client = Client::open(addr);
            client.send(&[startup(), query("look", 1, 900)].concat());
            (client.answer().0, client.answer().0)
        },
    );
    assert_eq!(tags.1, "TDCZ");
    let status = proxy.policy.endpoint_status("s-0").unwrap();
    assert_eq!((status.reported_load, status.in_flight), (7.0, 0.0));
}

#[test]
fn a_failing_build_gets_a_vote_to_roll_back() {
    let (good, _) = start_endpoint(|_| EndpointAction::Row(vec![1]));
    let (bad, _) = start_endpoint(|_| EndpointAction::Error("XX000"));
    let (discovery, _) = start_http_server(|_| String::new());
    let (platform, asked) = start_http_server(|request| {
        if request.starts_with("GET /bulletin ") {
            let event = "event: stage\ndata: version=42&step=1&status=trial&maxWeight=1.0&observedAgoMs=10\n\n";
            return format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                event.len()
            );
        }
        let state = "<Response><groups><item><version>42</version><step>1</step><status>rolling_back</status>\
            <maxWeight>0</maxWeight><observedAgoMs>1</observedAgoMs></item></groups></Response>";
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{state}",
            state.len()
        )
    });
    let proxy = start_proxy(&config_with_control(
        &[(good, 41), (bad, 42)],
        128,
        discovery,
        platform,
    ));
    let mut client = Client::open(proxy.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    let form = "Action=RecordOpinion&version=42&step=1&vote=reject";
    while !asked
        .lock()
        .unwrap()
        .iter()
        .any(|a| a.starts_with("POST / HTTP/1.1\r\n") && a.ends_with(form))
    {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "{:?}",
            asked.lock().unwrap()
        );
        client.send(&query("look", 1, 900));
        client.answer();
    }
}

/// The only known endpoints let nobody in until the test says so.
fn known_only(gate: &ManualServer, discovery: &ManualServer) -> String {
    let (platform, _) = start_http_server(|_| String::new());
    config_with_control(&[(gate.addr(), 41)], 128, discovery.addr(), platform)
        .replace("\"connect_timeout\":250.0", "\"connect_timeout\":4000.0")
        .replace(
            "\"target\":500.0,\"deadline\":1200.0",
            "\"target\":4000.0,\"deadline\":8000.0",
        )
}

#[test]
fn an_attempt_whose_endpoint_changes_while_it_connects_goes_elsewhere() {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    // How the endpoint is listed before its connection is made.
    let table = [
        ("leaving", 0, 41, false),
        ("left", 0, 41, false),
        ("active", now, 41, true),
        ("active", 0, 42, true),
    ];
    for (state, started, build, moves) in table {
        let (gate, discovery) = (ManualServer::new(), ManualServer::new());
        let [(other, _), (moved, _)] =
            [5, 6].map(|value| start_endpoint(move |_| EndpointAction::Row(vec![value])));
        let proxy = start_proxy(&known_only(&gate, &discovery));
        let mut watch = discovery.accept();
        watch.begin_stream();
        let [mut first, mut second] = [(); 2].map(|()| Client::admitted(proxy.addr));
        first.send(&query("look", 1, 8000));
        let mut late = gate.accept();
        late.startup();
        let listed = list_entry(
            "s-0",
            if moves { moved } else { gate.addr() },
            state,
            started,
            build,
        );
        watch.chunk(&format!(
            "{}\n",
            list(
                42,
                false,
                &[listed, list_entry("s-1", other, "active", 0, 41)]
            )
        ));
        // Whoever is served elsewhere shows that the list has been read.
        second.send(&query("look", 2, 8000));
        assert_eq!(second.answer().0, "TDCZ", "{state} {started} {build}");
        late.let_in();
        assert_eq!(late.query(), None, "{state} {started} {build}");
        assert_eq!(first.answer().0, "TDCZ", "{state} {started} {build}");
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_attempt_connects() {
    // Nor where an attempt in flight may not be cancelled.
    for cancel in ["true", "false"] {
        // Servers of its own for each proxy: a connection that the first proxy opened may wait to be accepted.
        let (gate, discovery) = (ManualServer::new(), ManualServer::new());
        let config = known_only(&gate, &discovery)
            .replace("\"may_cancel\":true", &format!("\"may_cancel\":{cancel}"));
        let proxy = start_proxy(&config);
        let [mut leaves, mut stays] = [(); 2].map(|()| Client::admitted(proxy.addr));
        leaves.send(&query("look", 1, 8000));
        let mut late = gate.accept();
        late.startup();
        leaves.disconnect();
        // Answered by the proxy itself, after it has found that the other has gone.
        stays.send(&encode(|o| postgres::put_query(o, b"")));
        assert_eq!(stays.answer().0, "IZ");
        late.let_in();
        stays.send(&query("look", 2, 8000));
        let asked = late.query().or_else(|| {
            let mut anew = gate.accept();
            anew.startup();
            anew.let_in();
            anew.query()
        });
        assert!(
            asked.as_ref().is_some_and(|q| q.contains("id=2")),
            "{cancel}: {asked:?}"
        );
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_left_while_the_instance_stood_still() {
    // Nothing may begin for a client that left so long ago.
    let limit = Duration::from_millis(100);
    for cancel in ["true", "false"] {
        let (gate, discovery) = (ManualServer::new(), ManualServer::new());
        let config = known_only(&gate, &discovery)
            .replace("\"may_cancel\":true", &format!("\"may_cancel\":{cancel}"));
        let mut proxy = start_proxy(&config);
        let mut leaves = Client::admitted(proxy.addr);
        leaves.send(&query("look", 1, 8000));
        let mut late = gate.accept();
        late.startup();
        // It finds both at once: that its connection is made, and that its client has gone.
        proxy.pause();
        late.let_in();
        leaves.disconnect();
        thread::sleep(limit);
        proxy.resume();
        assert_eq!(late.query(), None, "{cancel}");
    }
}

#[test]
fn a_retry_whose_idempotency_window_ends_while_it_connects_is_not_written() {
    let (gate, discovery) = (ManualServer::new(), ManualServer::new());
    let config = known_only(&gate, &discovery).replace(
        "\"pay\",\"idempotency\":\"fragile\",\"target\":500.0,\"deadline\":1000.0",
        "\"pay\",\"idempotency\":\"dedup\",\"key_scope\":\"all\",\"repeat_window\":300.0,\"target\":4000.0,\"deadline\":8000.0",
    );
    let proxy = start_proxy(&config);
    let mut client = Client::admitted(proxy.addr);
    let keyed = "SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=pay,d=8000,k=5c */";
    client.send(&encode(|o| postgres::put_query(o, keyed.as_bytes())));
    let mut first = gate.accept();
    first.startup();
    first.let_in();
    assert!(first.query().is_some());
    let ran = Instant::now();
    // It may have been executed. The connection takes no further query.
    first.send(&error("XX000"));
    let mut second = gate.accept();
    second.startup();
    thread::sleep(Duration::from_millis(310).saturating_sub(ran.elapsed()));
    second.let_in();
    // No endpoint may execute it again: the client is answered at once.
    assert_eq!(client.answer().0, "EZ");
    drop(proxy);
    assert_eq!(second.query(), None);
}

#[test]
fn a_connection_that_is_refused_and_then_accepted_takes_no_query() {
    let (gate, discovery) = (ManualServer::new(), ManualServer::new());
    let proxy = start_proxy(&known_only(&gate, &discovery));
    let mut client = Client::admitted(proxy.addr);
    client.send(&query("pay", 1, 900));
    let mut odd = gate.accept();
    odd.startup();
    odd.send(&[message(b'R', &[0; 4]), error("XX000"), message(b'Z', b"I")].concat());
    // What must not be executed twice counts as never written, and is sent again.
    let mut good = gate.accept();
    good.startup();
    good.let_in();
    assert!(good.query().is_some());
    good.answer(5);
    assert_eq!(client.answer().0, "TDCZ");
    drop(proxy);
    assert_eq!(odd.query(), None);
}

#[test]
fn a_late_second_answer_is_not_given_to_the_next_request() {
    let begun = Instant::now();
    while !late_second_answer_meets_the_next_request() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "no second answer was late");
    }
}

/// An answer comes a second time while the next request is out. False where the proxy itself was so slow with that
/// request that it took the first one's connection again: a second answer that comes still later can't be told from the
/// next one's.
fn late_second_answer_meets_the_next_request() -> bool {
    let (gate, discovery) = (ManualServer::new(), ManualServer::new());
    let proxy = start_proxy(&known_only(&gate, &discovery));
    let mut client = Client::admitted(proxy.addr);
    // The second waits behind the first, and is taken as soon as that has its answer.
    client.send(&[query("look", 1, 8000), query("look", 2, 8000)].concat());
    let mut kept = gate.accept();
    kept.startup();
    kept.let_in();
    assert!(kept.query().is_some());
    kept.answer(1);
    assert_eq!(client.answer(), ("TDCZ".into(), vec![1]));
    let Some(mut anew) = gate.accept_unless(|| kept.has_sent()) else {
        assert!(kept.query().is_some());
        kept.answer(2);
        assert_eq!(client.answer(), ("TDCZ".into(), vec![2]));
        return false;
    };
    kept.answer(1);
    anew.startup();
    anew.let_in();
    assert!(anew.query().is_some());
    anew.answer(2);
    assert_eq!(client.answer(), ("TDCZ".into(), vec![2]));
    true
}
