//! Endpoints that do not read large requests, and clients that do not read large responses: the
//! memory of the process, and the requests of other clients.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::common::*;
use crate::flood::{FloodingClients, QueryTemplate, TEMPLATE_ID};
use crate::memory::{MEMORY_LIMIT_MB, assert_below_memory_limit, highest_memory_kib};
use crate::run_alone;
use crate::steady_clients::{SteadyClients, assert_served_in_time, print_summary, small_query};

const DESCRIPTOR_LIMIT: usize = 1024;
const CLIENTS: usize = DESCRIPTOR_LIMIT / 3;
const FIRST_STEADY_ID: u32 = 1 << 24;
/// The segment size and the receive buffer of a peer that does not read. Both are small, so that the
/// system accepts few bytes from the proxy, as on a slow network: it sizes the send buffer by the
/// segments.
const SEGMENT_BYTES: u32 = 536;
const RECEIVE_BUFFER_BYTES: usize = 4096;
const DISTURBANCE: Duration = Duration::from_secs(6);

/// A socket to which the proxy can write little.
fn slow_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket
}

/// An endpoint that opens sessions and then never reads.
fn start_endpoint_that_does_not_read() -> SocketAddr {
    let socket = slow_socket();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(128).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            if read_startup(&mut stream, &mut Vec::new()) {
                let _ = stream.write_all(&session_accepted());
            }
            open.push(stream);
        }
    });
    address
}

fn config() -> ProxyConfig {
    ProxyConfig::new()
        .long_deadline()
        .memory_mb(MEMORY_LIMIT_MB)
        .sockets(DESCRIPTOR_LIMIT)
}

/// Guards against memory without a bound: statements were copied to the output of connections whose
/// endpoints do not read.
#[test]
fn large_writes_to_endpoints_that_do_not_read_stay_within_the_memory_limit() {
    let _alone = run_alone();
    let config = (0..16).fold(config(), |config, _| {
        config.endpoint(start_endpoint_that_does_not_read())
    });
    let mut proxy = start_proxy(&config);
    let write = QueryTemplate::new(&format!(
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x{}') \
         RETURNING data /* id={TEMPLATE_ID},c=look,d=8000 */",
        "ab".repeat(65_536)
    ));
    let flood = FloodingClients::start(proxy.address, CLIENTS, &write);

    let highest = highest_memory_kib(&mut proxy, DISTURBANCE);

    flood.finish();
    println!("highest private memory: {highest} KiB");
    assert_below_memory_limit(highest);
}

/// Guards against responses that clients do not read: they used up the buffers that the responses
/// of endpoints need.
#[test]
fn large_responses_that_clients_do_not_read_do_not_keep_others_from_being_served() {
    let _alone = run_alone();
    let value = vec![7; 900_000];
    let endpoint = TestEndpoint::start_for_queries(move |_, text| {
        if text.contains("code = 'b16'") {
            EndpointAction::Row(value.clone())
        } else {
            EndpointAction::row()
        }
    });
    let mut proxy = start_proxy(&config().endpoint(endpoint.address));
    let steady = SteadyClients::start(proxy.address, FIRST_STEADY_ID, small_query);
    let unread: Vec<TcpStream> = (0..CLIENTS)
        .map(|id| {
            let socket = slow_socket();
            socket.connect(&proxy.address.into()).unwrap();
            let mut stream = TcpStream::from(socket);
            let request = statement(&format!(
                "SELECT data FROM facts WHERE code = 'b16' /* id={id:x},c=look,d=8000 */"
            ));
            stream.write_all(&[startup(), request].concat()).unwrap();
            stream
        })
        .collect();

    let highest = highest_memory_kib(&mut proxy, DISTURBANCE);

    let responses = steady.finish();
    print_summary(&responses);
    assert!(SockRef::from(&unread[0]).recv_buffer_size().is_ok());
    println!("highest private memory: {highest} KiB");
    assert_below_memory_limit(highest);
    assert_served_in_time(&responses);
}
