//! Clients: what they send and how they disconnect.

use std::io::{Read, Write};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use tidescale_policy::Balancer;
use tidescale_proxy::clock::Clock;
use tidescale_proxy::{config, postgres};

use crate::common::*;

#[test]
fn answers_come_whole_and_in_order_however_the_bytes_come() {
    let value: Vec<u8> = (0..60_000u32).map(|i| (i * 7) as u8).collect();
    let long = value.clone();
    let (addr, seen) = start_endpoint(move |n| {
        if n == 0 {
            EndpointAction::Row(long.clone())
        } else {
            EndpointAction::Row(vec![n as u8])
        }
    });
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let mut client = Client::open(proxy.addr);
    let all = [
        startup(),
        query("look", 1, 900),
        encode(|o| postgres::put_query(o, b"")),
        query("pay", 2, 800),
    ]
    .concat();
    for byte in &all[..all.len() - 20] {
        client.send(&[*byte]);
    }
    assert_eq!(client.answer(), ("RSSSZ".into(), vec![]));
    client.send(&all[all.len() - 20..]);
    assert_eq!(client.answer(), ("TDCZ".into(), value));
    assert_eq!(client.answer(), ("IZ".into(), vec![]));
    assert_eq!(client.answer(), ("TDCZ".into(), vec![1]));
    let seen = seen.lock().unwrap();
    assert!(
        seen[0].starts_with("SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=look,d=")
            && seen.len() == 2
    );
}

#[test]
fn malformed_clients_are_answered_and_reach_no_endpoint() {
    let (addr, seen) = start_endpoint(|_| EndpointAction::Row(vec![1]));
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let odd = |statement: &str| encode(|o| postgres::put_query(o, statement.as_bytes()));
    // What is sent once admitted -> tags, code; a dot where the proxy closes.
    let table: [(Vec<u8>, &str, &str); 10] = [
        (odd("SELECT 1"), "EZ", "42601"),
        (
            odd("SELECT data FROM facts WHERE code = '7f3a' /* id=1,c=look */"),
            "EZ",
            "42601",
        ),
        (query("elsewhere", 1, 900), "EZ", "42601"),
        (
            [
                message(b'P', b"\0SELECT 1\0\0\0"),
                message(b'B', b""),
                message(b'S', b""),
            ]
            .concat(),
            "EZ",
            "0A000",
        ),
        (message(b'F', b"1234"), "EZ", "0A000"),
        (message(b'!', b""), "E.", "08P01"),
        (vec![b'Q', 0, 0, 0, 1], "E.", "08P01"),
        (vec![b'Q', 0x7f, 0, 0, 0], "E.", "08P01"),
        (message(b'Q', b"no end"), "E.", "08P01"),
        (message(b'X', b""), ".", ""),
    ];
    for (sent, tags, code) in table {
        let mut client = Client::open(proxy.addr);
        client.send(&startup());
        assert_eq!(client.answer().0, "RSSSZ");
        client.send(&sent);
        assert_eq!(client.answer(), (tags.into(), code.into()), "{sent:?}");
        if tags.ends_with('Z') {
            client.send(&query("look", 7, 900));
            assert_eq!(client.answer().0, "TDCZ", "{sent:?}");
        }
    }
    let mut client = Client::open(proxy.addr);
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut one = [0];
    client.0.read_exact(&mut one).unwrap();
    assert_eq!(one, *b"N");
    client.send(&startup());
    assert_eq!(client.answer().0, "RSSSZ");
    for first in [
        &[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 1][..],
        &[0, 0, 0, 8, 0, 2, 0, 0],
    ] {
        let mut client = Client::open(proxy.addr);
        client.send(first);
        assert!(client.answer().0.ends_with('.'));
    }
    assert!(seen.lock().unwrap().iter().all(|q| q.contains("id=7")));
}

#[test]
fn a_client_that_disconnects_has_its_attempt_cancelled() {
    let (addr, seen) = start_endpoint(|_| EndpointAction::Silence);
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let mut client = Client::open(proxy.addr);
    client.send(&[startup(), query("look", 1, 1200)].concat());
    let wait_for = |n: usize| {
        let begun = Instant::now();
        while seen.lock().unwrap().len() < n {
            assert!(
                begun.elapsed() < Duration::from_millis(1000),
                "{:?}",
                seen.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for(1);
    client.disconnect();
    wait_for(2);
    assert_eq!(seen.lock().unwrap()[1], "gone");
}

#[test]
fn a_full_budget_closes_idle_connections_and_ends_nothing() {
    let (addr, _) = start_endpoint(|_| {
        thread::sleep(Duration::from_millis(40));
        EndpointAction::Row(vec![5])
    });
    // Six clients and six connections to endpoints.
    let proxy = start_proxy(&config_with_endpoints(&[addr], 50));
    let mut idle: Vec<Client> = (0..6).map(|_| Client::open(proxy.addr)).collect();
    for client in &mut idle {
        client.send(&startup());
        assert_eq!(client.answer().0, "RSSSZ");
    }
    let mut busy: Vec<Client> = (0..9).map(|_| Client::open(proxy.addr)).collect();
    for (i, client) in busy.iter_mut().enumerate() {
        client.send(&[startup(), query("look", i as u32, 1200)].concat());
    }
    assert!(idle.iter_mut().all(Client::ended));
    // The first six are served, as far as connections go; the others wait until these stand idle.
    let mut rows = 0;
    for client in &mut busy {
        assert_eq!(client.answer().0, "RSSSZ");
        let (tags, value) = client.answer();
        assert!(
            tags == "TDCZ" || (tags, &value[..]) == ("EZ".into(), b"53300"),
            "{value:?}"
        );
        rows += usize::from(value == [5]);
    }
    assert!(rows >= 2, "{rows}");
}

/// A policy that knows the configured endpoints and only the first of the configured routes.
fn policy_with_one_route(config: &str) -> Balancer {
    let mut config = config::read(config).ok().unwrap();
    config.settings.routes.truncate(1);
    let mut policy = Balancer::new(config.settings, config.seed, Clock::start().now());
    for endpoint in &config.known_endpoints.endpoints {
        policy.on_endpoint(endpoint.entry());
    }
    policy
}

#[test]
fn a_panic_ends_the_connection_that_it_came_from_and_no_other() {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let (addr, seen) = start_endpoint(move |_| {
        released.lock().unwrap().recv().unwrap();
        EndpointAction::Row(vec![5])
    });
    let config = config_with_endpoints(&[addr], 128).replace(
        "\"target\":500.0,\"deadline\":1200.0",
        "\"target\":4000.0,\"deadline\":8000.0",
    );
    let one_route = policy_with_one_route(&config);
    let (_, (struck, others)) = with_proxy(
        &config,
        // The policy knows nothing of the second route.
        |proxy| proxy.policy = one_route,
        move |addr| {
            let [mut struck, mut other] = [(); 2].map(|()| Client::admitted(addr));
            // One request is pending meanwhile, which has no limit but its own deadline: the proxy stands still while
            // the panic's backtrace is printed.
            other.send(&query("look", 2, 8000));
            wait_until("no query came", || !seen.lock().unwrap().is_empty());
            struck.send(&query("pay", 1, 900));
            let struck = struck.answer().0;
            release.send(()).unwrap();
            let pending = other.answer().0;
            release.send(()).unwrap();
            other.send(&query("look", 3, 8000));
            (struck, [pending, other.answer().0])
        },
    );
    assert_eq!(struck, ".");
    assert_eq!(others, ["TDCZ", "TDCZ"]);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table of cases, or one scenario told in order"
)]
fn whatever_clients_send_they_are_answered_or_closed_in_time() {
    let (addr, seen) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let half = startup();
    let begun = Instant::now();
    let mut silent: Vec<Client> = (0..3).map(|_| Client::open(proxy.addr)).collect();
    silent[1].send(&half[..9]);
    silent[2].send(&startup());
    assert_eq!(silent[2].answer().0, "RSSSZ");
    // Half a message, with lengths that are far too long among them; the head alone is refused at once.
    let asked = query("look", 1, 900);
    let table = [
        (asked[..30].to_vec(), 2000..3000),
        (b"Q\x03\x93\x87\0SELECT".to_vec(), 0..500),
    ];
    let refused: Vec<_> = table
        .into_iter()
        .map(|(sent, within)| {
            let mut client = Client::open(proxy.addr);
            let begun = Instant::now();
            client.send(&[startup(), sent].concat());
            thread::spawn(move || {
                assert_eq!(client.answer().0, "RSSSZ");
                assert_eq!(client.answer(), ("E.".into(), b"08P01".to_vec()));
                assert!(
                    within.contains(&begun.elapsed().as_millis()),
                    "{:?}",
                    begun.elapsed()
                );
            })
        })
        .collect();
    // One that sends megabytes reads why it is refused, however late it looks.
    let mut sender = Client::open(proxy.addr);
    sender.send(&[startup(), b"Q\x03\x93\x87\0".to_vec()].concat());
    thread::sleep(Duration::from_millis(50));
    let _ = sender.0.write_all(&vec![b'x'; 200_000]);
    assert_eq!(
        (sender.answer().0, sender.answer().0),
        ("RSSSZ".into(), "E.".into())
    );
    // Hundreds at once, more than is read at a time and more answers than may pile up: all in their order.
    let mut many = Client::open(proxy.addr);
    let mut all = startup();
    let (good, bad) = (|i| query("look", i, 5000), query("nowhere", 1, 900));
    for i in 0..400 {
        all.extend(if i % 20 == 0 {
            good(100 + i)
        } else {
            bad.clone()
        });
    }
    many.send(&all);
    assert_eq!(many.answer().0, "RSSSZ");
    for i in 0..400 {
        assert_eq!(
            many.answer().0,
            if i % 20 == 0 { "TDCZ" } else { "EZ" },
            "{i}"
        );
    }
    for client in &mut silent {
        assert!(client.ended() && begun.elapsed() < Duration::from_millis(3000));
    }
    refused
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    assert!(seen.lock().unwrap().iter().all(|q| q.contains("c=look")));
}

#[test]
fn an_id_in_use_is_refused_and_an_idle_client_is_closed() {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let answered_at = Arc::new(Mutex::new(Vec::new()));
    let noted = answered_at.clone();
    let (addr, seen) = start_endpoint(move |_| {
        released.lock().unwrap().recv().unwrap();
        noted.lock().unwrap().push(Instant::now());
        EndpointAction::Row(vec![5])
    });
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let [mut owner, mut other] = [(); 2].map(|()| Client::admitted(proxy.addr));
    owner.send(&query("look", 1, 1200));
    wait_until("no query came", || !seen.lock().unwrap().is_empty());
    other.send(&query("look", 1, 1200));
    assert_eq!(other.answer().0, "EZ");
    release.send(()).unwrap();
    assert_eq!(owner.answer().0, "TDCZ");
    // The id is free again.
    release.send(()).unwrap();
    other.send(&query("look", 1, 1200));
    assert_eq!(
        (other.answer().0, seen.lock().unwrap().len()),
        ("TDCZ".into(), 2)
    );
    // Not before two seconds have passed since its last answer, which cannot have come before the endpoint sent it.
    let ends = [owner, other].map(|mut client| {
        thread::spawn(move || {
            assert!(client.ended());
            Instant::now()
        })
    });
    for (end, answered_at) in ends.into_iter().zip(&*answered_at.lock().unwrap()) {
        let idle = end.join().unwrap() - *answered_at;
        assert!(idle > Duration::from_millis(2000), "{idle:?}");
    }
}

#[test]
fn clients_that_send_one_request_and_stay_make_room_for_others() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    // Sixteen may be idle.
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let begun = Instant::now();
    let mut clients: Vec<Client> = (0..24).map(|_| Client::open(proxy.addr)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&[startup(), query("look", i as u32, 900)].concat());
        assert_eq!(
            (client.answer().0, client.answer().0),
            ("RSSSZ".into(), "TDCZ".into())
        );
    }
    thread::sleep(Duration::from_millis(150));
    // One more answer, and the first eight are closed long before their time; the others are not.
    clients[23].send(&query("look", 99, 900));
    assert_eq!(clients[23].answer().0, "TDCZ");
    assert!(
        clients[..8].iter_mut().all(Client::ended) && begun.elapsed() < Duration::from_millis(1500)
    );
    clients[23].send(&query("look", 100, 900));
    assert_eq!(clients[23].answer().0, "TDCZ");
}

#[test]
fn a_client_that_leaves_behind_much_that_is_unread_has_gone() {
    let (addr, seen) = start_endpoint(|n| {
        if n == 0 {
            EndpointAction::Silence
        } else {
            EndpointAction::Row(vec![5])
        }
    });
    let proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let mut client = Client::admitted(proxy.addr);
    client.send(&query("look", 1, 1200));
    let wait_for = |n: usize| {
        let begun = Instant::now();
        while seen.lock().unwrap().len() < n {
            assert!(
                begun.elapsed() < Duration::from_millis(1000),
                "{:?}",
                seen.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for(1);
    // More than is read ahead of a pending request.
    let more: Vec<u8> = (0..600)
        .flat_map(|i| query("look", 100 + i, 1200))
        .collect();
    client.send(&more);
    client.disconnect();
    wait_for(2);
    assert_eq!(seen.lock().unwrap()[1], "gone");
    assert_eq!(one_query(proxy.addr, 0xffff).0, "TDCZ");
    let others = seen
        .lock()
        .unwrap()
        .iter()
        .skip(2)
        .filter(|q| !q.contains("id=ffff"))
        .count();
    assert_eq!(others, 0, "attempts for a client that has gone");
}

#[test]
fn where_buffers_run_out_an_unfinished_message_is_refused_before_it_gives_way() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    // 85 buffers for what clients send; each message takes nine.
    let proxy = start_proxy(
        &config_with_endpoints(&[addr], 128).replace("\"memory_mb\":64", "\"memory_mb\":8"),
    );
    let text = format!(
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{}') RETURNING data /* id=1,c=look,d=900 */",
        "0".repeat(131_072)
    );
    let whole = encode(|o| postgres::put_query(o, text.as_bytes()));
    let mut begun: Vec<Client> = (0..9).map(|_| Client::admitted(proxy.addr)).collect();
    for client in &mut begun {
        client.send(&whole[..whole.len() - 40]);
    }
    // It is old enough to give way once it has stood for a tenth of a second.
    thread::sleep(Duration::from_millis(300));
    let mut more: Vec<Client> = (0..2).map(|_| Client::admitted(proxy.addr)).collect();
    for client in &mut more {
        client.send(&whole[..whole.len() - 40]);
    }
    // Their last bytes may be under way: none ends without a word, and whichever gives way is refused. Those that need
    // not are refused after 2.4 s, as their message has no end.
    let answers: Vec<_> = begun.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|(tags, _)| tags == "E."), "{answers:?}");
    assert!(
        answers.iter().any(|(_, code)| code == b"53300"),
        "{answers:?}"
    );
}

#[test]
fn the_time_of_a_request_runs_while_it_waits_behind_another() {
    let gate = ManualServer::new();
    let silent = closed_address();
    let (platform, _) = start_http_server(|_| String::new());
    let proxy = start_proxy(&config_with_control(
        &[(gate.addr(), 41)],
        128,
        silent,
        platform,
    ));
    let mut client = Client::admitted(proxy.addr);
    // Both at once; the first is held until the second's time is over.
    client.send(&[query("look", 1, 1200), query("look", 2, 300)].concat());
    let mut endpoint = gate.accept();
    endpoint.startup();
    endpoint.let_in();
    assert!(endpoint.query().is_some_and(|q| q.contains("id=1")));
    thread::sleep(Duration::from_millis(320));
    endpoint.answer(1);
    assert_eq!(client.answer(), ("TDCZ".into(), vec![1]));
    // Rejected at once; no endpoint hears of it.
    assert_eq!(client.answer(), ("EZ".into(), b"53300".to_vec()));
    client.send(&query("look", 3, 1200));
    let asked = endpoint.query().or_else(|| {
        let mut anew = gate.accept();
        anew.startup();
        anew.let_in();
        anew.query()
    });
    assert!(asked.is_some_and(|q| q.contains("id=3")));
}
