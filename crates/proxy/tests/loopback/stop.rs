//! SIGTERM.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn sigterm_answers_what_still_comes_and_then_ends() {
    let (addr, _) = start_endpoint(|_| {
        thread::sleep(Duration::from_millis(300));
        EndpointAction::Row(vec![5])
    });
    let mut proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let [mut idle, mut busy] = [(); 2].map(|()| Client::open(proxy.addr));
    idle.send(&startup());
    assert_eq!(idle.answer().0, "RSSSZ");
    busy.send(&[startup(), query("look", 1, 1200)].concat());
    assert_eq!(busy.answer().0, "RSSSZ");
    let begun = Instant::now();
    proxy.signal("-TERM");
    assert!(idle.ended());
    thread::sleep(Duration::from_millis(100));
    let mut late = Client::open(proxy.addr);
    late.send(&[startup(), query("pay", 2, 1000)].concat());
    assert_eq!(busy.answer().0, "TDCZ");
    assert_eq!(
        (late.answer().0, late.answer().0),
        ("RSSSZ".into(), "TDCZ".into())
    );
    assert!(busy.ended() && late.ended());
    while proxy.child.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < Duration::from_millis(1900), "it goes on");
        thread::sleep(Duration::from_millis(5));
    }
    assert!(proxy.child.wait().unwrap().success() && begun.elapsed() >= Duration::from_millis(700));
}

#[test]
fn a_client_that_comes_after_sigterm_and_asks_once_it_is_let_in_is_served() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let mut proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let mut idle = Client::admitted(proxy.addr);
    proxy.signal("-TERM");
    assert!(idle.ended());
    let mut late = Client::admitted(proxy.addr);
    late.send(&query("pay", 2, 1000));
    assert_eq!(late.answer().0, "TDCZ");
    assert!(late.ended());
}

#[test]
fn a_message_that_has_begun_when_the_proxy_could_end_is_still_answered() {
    let (addr, _) = start_endpoint(|_| EndpointAction::Row(vec![5]));
    let mut proxy = start_proxy(&config_with_endpoints(&[addr], 128));
    let mut idle = Client::admitted(proxy.addr);
    let begun = Instant::now();
    proxy.signal("-TERM");
    assert!(idle.ended());
    let whole = query("look", 1, 1000);
    let mut late = Client::admitted(proxy.addr);
    late.send(&whole[..20]);
    // The earliest end is 700 ms after SIGTERM.
    thread::sleep(Duration::from_millis(800).saturating_sub(begun.elapsed()));
    late.send(&whole[20..]);
    assert_eq!(late.answer().0, "TDCZ");
    assert!(late.ended() && proxy.child.wait().unwrap().success());
}
