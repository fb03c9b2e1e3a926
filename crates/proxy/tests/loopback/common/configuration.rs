//! Configurations and endpoint lists in the platform's and discovery's forms.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

use socket2::{Domain, Protocol, Socket, Type};

use super::servers::start_http_server;

/// One entry of an endpoint list, in discovery's form.
pub fn list_entry(id: &str, addr: SocketAddr, state: &str, started: u64, build: u32) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"z1","kind":"k","cell":0,"state":"{state}","weight":1.0,"started_ms":{started},"image_id":{build}}}"#
    )
}

/// An endpoint list, in discovery's form.
pub fn list(version: u64, full: bool, entries: &[String]) -> String {
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        entries.join(",")
    )
}

/// A complete list of these endpoints and their builds, `s-0` and so on, at version 41.
pub fn complete_list(endpoints: &[(SocketAddr, u32)]) -> String {
    let entries = endpoints.iter().enumerate();
    let entries =
        entries.map(|(i, (addr, build))| list_entry(&format!("s-{i}"), *addr, "active", 0, *build));
    list(41, true, &entries.collect::<Vec<_>>())
}

/// The last part of the address that the next proxy listens on.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// The port that proxies listen on, below those that the system gives to connections.
const PROXY_PORT: u16 = 16_432;

/// An address of a proxy's own: no other test takes it, nor does another run of the tests at the same time.
///
/// It is not found by opening a socket: a process that another test is just starting would hold a copy of that, and
/// take the proxy's connections for as long as the machine is too busy to start it.
fn next_proxy_address() -> SocketAddr {
    let process = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 64 | (process >> 8 & 63) as u8, process as u8, host);
    (host, PROXY_PORT).into()
}

/// An address at which connections are refused for as long as the tests run: its port is taken and nobody listens, or
/// the next server of another test could get it and meet the wrong proxy.
pub fn closed_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket
        .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// A configuration with these endpoints known, and so many descriptors, discovery and the platform.
pub fn config_with_control(
    endpoints: &[(SocketAddr, u32)],
    sockets: usize,
    discovery: SocketAddr,
    platform: SocketAddr,
) -> String {
    let listen = next_proxy_address();
    include_str!("../../config.json")
        .replace("127.0.0.1:6432\"", &format!("{listen}\""))
        .replace("127.0.0.1:8500\"", &format!("{discovery}\""))
        .replace("127.0.0.1:6400\"", &format!("{platform}\""))
        .replace(
            r#"{"version":41,"full":true,"servers":[]}"#,
            &complete_list(endpoints),
        )
        .replace("\"sockets\":128", &format!("\"sockets\":{sockets}"))
}

/// A configuration with these endpoints known; discovery can't be reached and the platform sends nothing that can be
/// read.
pub fn config_with_endpoints(endpoints: &[SocketAddr], sockets: usize) -> String {
    let (platform, _) =
        start_http_server(|_| "HTTP/1.1 200 OK\r\n\r\nevent: stage\ndata: noise\n\n".into());
    let known: Vec<_> = endpoints.iter().map(|addr| (*addr, 41)).collect();
    config_with_control(&known, sockets, closed_address(), platform)
}
