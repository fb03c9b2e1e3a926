//! Graceful shutdown on SIGTERM.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn sigterm_closes_idle_clients_answers_open_and_new_requests_and_exits_in_time() {
    let endpoint = TestEndpoint::start(|_| {
        thread::sleep(Duration::from_millis(300));
        EndpointAction::row()
    });
    let mut proxy = start_proxy_with_endpoint(&endpoint);
    let [mut idle, mut busy] = [(); 2].map(|()| Client::connect(proxy.address));
    assert_eq!(idle.request(&startup()), Response::SessionOpened);
    busy.send_with_startup(&query("look", 1, 1200));
    assert_eq!(busy.response(), Response::SessionOpened);

    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(idle.is_closed());
    thread::sleep(Duration::from_millis(100));
    let mut late = Client::connect(proxy.address);
    late.send_with_startup(&query("pay", 2, 1000));

    assert_eq!(busy.response(), Response::row(VALUE));
    assert_eq!(late.response(), Response::SessionOpened);
    assert_eq!(late.response(), Response::row(VALUE));
    assert!(busy.is_closed());
    assert!(late.is_closed());
    while proxy.child.try_wait().unwrap().is_none() {
        assert!(
            signalled_at.elapsed() < Duration::from_millis(1900),
            "the proxy does not exit"
        );
        thread::sleep(Duration::from_millis(5));
    }
    assert!(proxy.child.wait().unwrap().success());
    assert!(signalled_at.elapsed() >= Duration::from_millis(700));
}

#[test]
fn client_that_connects_after_sigterm_and_sends_a_request_in_its_session_is_served() {
    let endpoint = TestEndpoint::responsive();
    let mut proxy = start_proxy_with_endpoint(&endpoint);
    let mut idle = Client::with_open_session(proxy.address);
    proxy.signal("-TERM");
    assert!(idle.is_closed());

    let mut late = Client::with_open_session(proxy.address);

    assert_eq!(late.request(&query("pay", 2, 1000)), Response::row(VALUE));
    assert!(late.is_closed());
}

#[test]
fn message_that_is_incomplete_when_the_proxy_could_exit_is_still_answered() {
    let endpoint = TestEndpoint::responsive();
    let mut proxy = start_proxy_with_endpoint(&endpoint);
    let mut idle = Client::with_open_session(proxy.address);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(idle.is_closed());

    let message = query("look", 1, 1000);
    let mut late = Client::with_open_session(proxy.address);
    late.send(&message[..20]);
    // The proxy exits no earlier than 700 ms after SIGTERM.
    thread::sleep(Duration::from_millis(800).saturating_sub(signalled_at.elapsed()));
    late.send(&message[20..]);

    assert_eq!(late.response(), Response::row(VALUE));
    assert!(late.is_closed());
    assert!(proxy.child.wait().unwrap().success());
}
