//! SIGTERM.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn sigterm_answers_what_still_comes_and_then_ends() {
    let (addr, _) = machine(|_| {
        thread::sleep(Duration::from_millis(300));
        Act::Row(vec![5])
    });
    let mut front = start(&told(&[addr], 128));
    let [mut idle, mut busy] = [(); 2].map(|()| Client::open(front.addr));
    idle.send(&startup());
    assert_eq!(idle.answer().0, "RSSSZ");
    busy.send(&[startup(), query("look", 1, 1200)].concat());
    assert_eq!(busy.answer().0, "RSSSZ");
    let begun = Instant::now();
    front.signal("-TERM");
    assert!(idle.ended());
    thread::sleep(Duration::from_millis(100));
    let mut late = Client::open(front.addr);
    late.send(&[startup(), query("pay", 2, 1000)].concat());
    assert_eq!(busy.answer().0, "TDCZ");
    assert_eq!(
        (late.answer().0, late.answer().0),
        ("RSSSZ".into(), "TDCZ".into())
    );
    assert!(busy.ended() && late.ended());
    while front.child.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < Duration::from_millis(1900), "it goes on");
        thread::sleep(Duration::from_millis(5));
    }
    assert!(front.child.wait().unwrap().success() && begun.elapsed() >= Duration::from_millis(700));
}

#[test]
fn a_client_that_comes_after_sigterm_and_asks_once_it_is_let_in_is_served() {
    let (addr, _) = machine(|_| Act::Row(vec![5]));
    let mut front = start(&told(&[addr], 128));
    let mut idle = Client::admitted(front.addr);
    front.signal("-TERM");
    assert!(idle.ended());
    let mut late = Client::admitted(front.addr);
    late.send(&query("pay", 2, 1000));
    assert_eq!(late.answer().0, "TDCZ");
    assert!(late.ended());
}

#[test]
fn a_message_that_has_begun_when_the_front_could_end_is_still_answered() {
    let (addr, _) = machine(|_| Act::Row(vec![5]));
    let mut front = start(&told(&[addr], 128));
    let mut idle = Client::admitted(front.addr);
    let begun = Instant::now();
    front.signal("-TERM");
    assert!(idle.ended());
    let asked = query("look", 1, 1000);
    let mut late = Client::admitted(front.addr);
    late.send(&asked[..20]);
    // The earliest end is 700 ms after SIGTERM.
    thread::sleep(Duration::from_millis(800).saturating_sub(begun.elapsed()));
    late.send(&asked[20..]);
    assert_eq!(late.answer().0, "TDCZ");
    assert!(late.ended() && front.child.wait().unwrap().success());
}
