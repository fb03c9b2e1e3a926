//! Limits on clients: file descriptors, buffers, idle time, request ids in use and deadlines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn full_descriptor_table_closes_idle_clients_but_no_busy_ones() {
    let endpoint = TestEndpoint::start(|_| {
        thread::sleep(Duration::from_millis(40));
        EndpointAction::row()
    });
    // 50 descriptors leave room for six clients and six endpoint connections.
    let config = ProxyConfig::new().endpoint(endpoint.address).sockets(50);
    let proxy = start_proxy(&config);
    let mut idle: Vec<Client> = (0..6).map(|_| Client::connect(proxy.address)).collect();
    for client in &mut idle {
        assert_eq!(client.request(&startup()), Response::SessionOpened);
    }

    let mut busy: Vec<Client> = (0..9).map(|_| Client::connect(proxy.address)).collect();
    for (id, client) in (0..).zip(&mut busy) {
        client.send_with_startup(&query("look", id, 1200));
    }

    assert!(idle.iter_mut().all(Client::is_closed));
    // The first six clients get responses, or errors if no endpoint connection is free. The others
    // get a session once these clients are idle.
    let mut rows = 0;
    for client in &mut busy {
        assert_eq!(client.response(), Response::SessionOpened);
        let response = client.response();
        let allowed = response.is_row() || response == Response::error(OVERLOADED);
        assert!(allowed, "{response:?}");
        rows += usize::from(response == Response::row(VALUE));
    }
    assert!(rows >= 2, "{rows}");
}

#[test]
fn request_id_in_use_is_rejected_until_its_response_and_idle_clients_are_closed() {
    let gated = GatedEndpoint::start();
    let proxy = start_proxy_with_endpoint(&gated.endpoint);
    let [mut owner, mut other] = [(); 2].map(|()| Client::with_open_session(proxy.address));
    owner.send(&query("look", 1, 1200));
    wait_until("no query received", || {
        !gated.endpoint.events.all().is_empty()
    });

    assert!(other.request(&query("look", 1, 1200)).is_error());

    gated.release();
    assert_eq!(owner.response(), Response::row(VALUE));
    gated.release();
    let response = other.request(&query("look", 1, 1200));
    assert_eq!(response, Response::row(VALUE));
    assert_eq!(gated.endpoint.events.all().len(), 2);
    gated.assert_closed_after_idle_time([owner, other]);
}

/// An endpoint that responds to each query only after the test has called
/// [`GatedEndpoint::release`].
struct GatedEndpoint {
    endpoint: TestEndpoint,
    release: mpsc::Sender<()>,
    responded_at: Arc<Mutex<Vec<Instant>>>,
}

impl GatedEndpoint {
    fn start() -> GatedEndpoint {
        let (release, released) = mpsc::channel();
        let released = Mutex::new(released);
        let responded_at = Arc::new(Mutex::new(Vec::new()));
        let recorded = responded_at.clone();
        let endpoint = TestEndpoint::start(move |_| {
            released.lock().unwrap().recv().unwrap();
            recorded.lock().unwrap().push(Instant::now());
            EndpointAction::row()
        });
        GatedEndpoint {
            endpoint,
            release,
            responded_at,
        }
    }

    /// Lets the endpoint respond to one query.
    fn release(&self) {
        self.release.send(()).unwrap();
    }

    /// Checks that each client is closed at least two seconds after its response. The clients are
    /// in the order of their responses. The idle time is measured from the endpoint's response,
    /// which the client cannot receive any earlier.
    fn assert_closed_after_idle_time(&self, clients: [Client; 2]) {
        let closings = clients.map(|mut client| {
            thread::spawn(move || {
                assert!(client.is_closed());
                Instant::now()
            })
        });
        for (closing, responded_at) in closings
            .into_iter()
            .zip(&*self.responded_at.lock().unwrap())
        {
            let idle = closing.join().unwrap() - *responded_at;
            assert!(idle > Duration::from_millis(2000), "{idle:?}");
        }
    }
}

#[test]
fn clients_idle_after_one_request_are_closed_early_when_too_many_are_open() {
    let endpoint = TestEndpoint::responsive();
    // At most sixteen clients may be idle.
    let proxy = start_proxy_with_endpoint(&endpoint);
    let opened_at = Instant::now();
    let mut clients: Vec<Client> = (0..24).map(|_| Client::connect(proxy.address)).collect();
    for (id, client) in (0..).zip(&mut clients) {
        client.send_with_startup(&query("look", id, 900));
        assert_eq!(client.response(), Response::SessionOpened);
        assert_eq!(client.response(), Response::row(VALUE));
    }
    thread::sleep(Duration::from_millis(150));

    // After one more response the first eight are closed, long before their idle time has passed.
    // The last one stays open.
    let response = clients[23].request(&query("look", 99, 900));
    assert_eq!(response, Response::row(VALUE));

    assert!(clients[..8].iter_mut().all(Client::is_closed));
    assert!(opened_at.elapsed() < Duration::from_millis(1500));
    let response = clients[23].request(&query("look", 100, 900));
    assert_eq!(response, Response::row(VALUE));
}

#[test]
fn incomplete_message_evicted_when_buffers_run_out_gets_an_error() {
    let endpoint = TestEndpoint::responsive();
    // 8 MB give 85 buffers for client input, and each message takes nine of them.
    let config = ProxyConfig::new().endpoint(endpoint.address).memory_mb(8);
    let proxy = start_proxy(&config);
    let message = statement(&format!(
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{}') \
         RETURNING data /* id=1,c=look,d=900 */",
        "0".repeat(131_072)
    ));
    let incomplete = &message[..message.len() - 40];
    let open_and_send = |count: usize| {
        let mut clients: Vec<Client> = (0..count)
            .map(|_| Client::with_open_session(proxy.address))
            .collect();
        for client in &mut clients {
            client.send(incomplete);
        }
        clients
    };

    let mut earlier = open_and_send(9);
    // A message may be evicted once it is 100 ms old.
    thread::sleep(Duration::from_millis(300));
    let _later = open_and_send(2);

    // Each connection is closed with an error, as the rest of its message may still be in transit.
    // Evicted messages get `OVERLOADED`. The others are never completed and time out after 2.4 s.
    let responses: Vec<_> = earlier.iter_mut().map(Client::response).collect();
    let is_fatal = |response: &Response| matches!(response, Response::FatalError(_));
    assert!(responses.iter().all(is_fatal), "{responses:?}");
    assert!(
        responses.contains(&Response::fatal_error(OVERLOADED)),
        "{responses:?}"
    );
}

/// A configuration with this endpoint in which more clients can connect than there are buffers: 8 MB
/// give 85 buffers for client input, and 512 descriptors allow 237 clients.
fn config_with_few_client_buffers(endpoint: SocketAddr) -> ProxyConfig {
    ProxyConfig::new()
        .endpoint(endpoint)
        .memory_mb(8)
        .sockets(512)
}

/// A startup message whose length claims more bytes than are sent.
fn incomplete_startup() -> Vec<u8> {
    let mut message = startup();
    let claimed_length = message.len() as u32 + 100;
    message[..4].copy_from_slice(&claimed_length.to_be_bytes());
    message
}

/// Guards against buffers that cannot be reclaimed: incomplete startup messages kept them until
/// their timeout, and requests of other clients were not read meanwhile.
#[test]
fn incomplete_startup_messages_do_not_keep_requests_of_other_clients_from_being_read() {
    // The time until a request counts as lost: its time limit and half a second.
    const TIME_LIMIT_MS: u64 = 800;
    const MAX_LATENCY: Duration = Duration::from_millis(TIME_LIMIT_MS + 500);
    let endpoint = TestEndpoint::responsive();
    let proxy = start_proxy(&config_with_few_client_buffers(endpoint.address));
    let mut resting = Client::with_open_session(proxy.address);

    let mut incomplete: Vec<Client> = (0..120).map(|_| Client::connect(proxy.address)).collect();
    for client in &mut incomplete {
        client.send(&incomplete_startup());
    }
    for id in 0..8 {
        let sent_at = Instant::now();
        let response = resting.request(&query("look", id, TIME_LIMIT_MS));
        assert_eq!(response, Response::row(VALUE));
        assert!(sent_at.elapsed() < MAX_LATENCY, "{:?}", sent_at.elapsed());
    }
    let sent_at = Instant::now();
    let mut new_client = Client::connect(proxy.address);
    new_client.send_with_startup(&query("look", 99, TIME_LIMIT_MS));
    assert_eq!(new_client.response(), Response::SessionOpened);
    assert_eq!(new_client.response(), Response::row(VALUE));
    assert!(sent_at.elapsed() < MAX_LATENCY, "{:?}", sent_at.elapsed());

    // Each incomplete message still gets an error or a close.
    let responses: Vec<_> = incomplete.iter_mut().map(Client::response).collect();
    assert!(responses.iter().all(Response::ends_connection));
    assert!(responses.contains(&Response::fatal_error(OVERLOADED)));
}

/// Guards against buffers that cannot be reclaimed: input read ahead of open requests used up all of
/// them, and other clients were not read until the responses to these requests.
#[test]
fn input_behind_open_requests_does_not_keep_other_clients_from_being_read() {
    const MAX_LATENCY: Duration = Duration::from_millis(1300);
    let endpoint = TestEndpoint::start(|_| EndpointAction::NoResponse);
    let config = config_with_few_client_buffers(endpoint.address).long_deadline();
    let proxy = start_proxy(&config);
    let mut resting = Client::with_open_session(proxy.address);

    let mut waiting: Vec<Client> = (0..120).map(|_| Client::connect(proxy.address)).collect();
    for (id, client) in (0..).zip(&mut waiting) {
        client.send_with_startup(&query("look", id, 8000));
        assert_eq!(client.response(), Response::SessionOpened);
    }
    for client in &mut waiting {
        client.send(b"Q");
    }

    for _ in 0..8 {
        let sent_at = Instant::now();
        assert_eq!(resting.request(&statement("")), Response::EmptyStatement);
        assert!(sent_at.elapsed() < MAX_LATENCY, "{:?}", sent_at.elapsed());
    }
}

#[test]
fn pipelined_request_whose_deadline_passes_while_it_waits_is_rejected() {
    let server = ManualServer::new();
    let config = ProxyConfig::new()
        .endpoint(server.address())
        .platform(HttpServer::unresponsive().address);
    let proxy = start_proxy(&config);
    let mut client = Client::with_open_session(proxy.address);

    // Both requests are sent in one write. The response to the first is sent only after the
    // deadline of the second.
    client.send(&[query("look", 1, 1200), query("look", 2, 300)].concat());
    let mut endpoint = server.accept_session();
    assert!(endpoint.query().is_some_and(|query| query.contains("id=1")));
    thread::sleep(Duration::from_millis(320));
    endpoint.respond(1);

    assert_eq!(client.response(), Response::row(&[1]));
    assert_eq!(client.response(), Response::error(OVERLOADED));
    // The endpoint receives the third request but not the second.
    client.send(&query("look", 3, 1200));
    let next = endpoint.query().or_else(|| server.accept_session().query());
    assert!(next.is_some_and(|query| query.contains("id=3")));
}
