//! Machines: what they do with a query.

use std::net::TcpListener;
use std::thread;
use std::time::Instant;

use crate::common::*;

#[test]
fn what_a_machine_does_becomes_the_clients_answer() {
    // What the only machine does first; then it answers -> for a route that may run again, for one that may not.
    type First = fn() -> Act;
    let table: [(First, &str, &str); 15] = [
        (|| Act::Row(vec![5]), "TDCZ", "TDCZ"),
        (|| Act::Error("53300"), "TDCZ", "TDCZ"),
        (|| Act::Error("XX000"), "TDCZ", "EZ 58000"),
        (|| Act::Close, "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"D\0\0\0\x03"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"C\0\0\0\x0dSELECT 0\0"), "TDCZ", "EZ 58000"),
        // Noise, a value said to have gigabytes, parts out of order or spoilt: failed at once, and may have run.
        (|| Act::Bytes(b"\xf7\x03noise"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"D\xb2\xd0\x5e\0\0\x01"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"D\0\0\0\x0b\0\x01\0\0\0\x01\x05"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"T\0\0\0\x06\0\x02"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b"E\0\0\0\x08XX00"), "TDCZ", "EZ 58000"),
        (|| Act::Bytes(b""), "TDCZ", "EZ 58000"),
        // The req's own fault: no other machine is asked.
        (|| Act::Error("42601"), "EZ 42601", "EZ 42601"),
        // A good answer stays good, whatever comes behind it; none of that answers what is asked next.
        (|| Act::Spoilt(b"vitals\0inflight=\xff\xfe\0", b""), "TDCZ", "TDCZ"),
        (|| Act::Spoilt(b"vitals\0inflight=7\0", b"\xf7\x03"), "TDCZ", "TDCZ"),
    ];
    for (i, (act, again, never)) in table.into_iter().enumerate() {
        for (route, wanted) in [("look", again), ("pay", never)] {
            let (addr, _) = machine(move |n| if n == 0 { act() } else { Act::Row(vec![5]) });
            let front = start(&told(&[addr], 128));
            let mut client = Client::open(front.addr);
            client.send(&[startup(), query(route, 1, 900)].concat());
            assert_eq!(client.answer().0, "RSSSZ");
            let (tags, value) = client.answer();
            let code =
                if tags == "EZ" { format!(" {}", String::from_utf8_lossy(&value)) } else { String::new() };
            assert_eq!(format!("{tags}{code}"), wanted, "{i} {route}");
        }
    }
}

#[test]
fn what_may_run_once_goes_over_no_kept_connection_where_these_break() {
    // The machine ends each connection under its third query.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let act = |n| if n < 2 { Act::Row(vec![5]) } else { Act::Close };
            thread::spawn(move || serve(stream, &Seen::default(), &act));
        }
    });
    let front = start(&told(&[addr], 128));
    let mut client = Client::open(front.addr);
    client.send(&startup());
    client.answer();
    let mut ask = |route, id| {
        client.send(&query(route, id, 900));
        client.answer().0
    };
    // Repeats hide it here, and the front learns of it.
    (0..5).for_each(|id| assert_eq!(ask("look", id), "TDCZ"));
    for id in 10..20 {
        assert_eq!(ask("pay", id), "TDCZ", "{id}");
    }
}

#[test]
fn a_report_that_follows_the_answer_is_told_with_it() {
    let (addr, _) = machine(|_| Act::Row(vec![5]));
    let (front, tags) = with_front(
        &told(&[addr], 128),
        |_| {},
        |addr| {
            let mut client = Client::open(addr);
            client.send(&[startup(), query("look", 1, 900)].concat());
            (client.answer().0, client.answer().0)
        },
    );
    assert_eq!(tags.1, "TDCZ");
    assert_eq!((front.module.machines[0].load.0, front.module.machines[0].held), (7.0, 0.0));
}

#[test]
fn a_build_that_fails_is_voted_back() {
    let (good, _) = machine(|_| Act::Row(vec![1]));
    let (bad, _) = machine(|_| Act::Error("XX000"));
    let (discovery, _) = http(|_| String::new());
    let (platform, asked) = http(|request| {
        if request.starts_with("GET /bulletin ") {
            let event =
                "event: stage\ndata: version=42&step=1&status=trial&maxWeight=1.0&observedAgoMs=10\n\n";
            return format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                event.len()
            );
        }
        let state = "<Response><groups><item><version>42</version><step>1</step><status>rolling_back</status>\
            <maxWeight>0</maxWeight><observedAgoMs>1</observedAgoMs></item></groups></Response>";
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{state}", state.len())
    });
    let front = start(&told_by(&[(good, 41), (bad, 42)], 128, discovery, platform));
    let mut client = Client::open(front.addr);
    client.send(&startup());
    client.answer();
    let begun = Instant::now();
    let form = "Action=RecordOpinion&version=42&step=1&vote=reject";
    while !asked.lock().unwrap().iter().any(|a| a.starts_with("POST / HTTP/1.1\r\n") && a.ends_with(form)) {
        assert!(begun.elapsed() < PATIENCE, "{:?}", asked.lock().unwrap());
        client.send(&query("look", 1, 900));
        client.answer();
    }
}
