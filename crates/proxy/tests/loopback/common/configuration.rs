//! Configurations and endpoint lists in the platform's and discovery's forms.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

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

/// A configuration with these endpoints known, and so many descriptors, discovery and the platform.
pub fn config_with_control(
    endpoints: &[(SocketAddr, u32)],
    sockets: usize,
    discovery: SocketAddr,
    platform: SocketAddr,
) -> String {
    // An address of its own: between here and its start no connection of another test takes the port.
    let own = Ipv4Addr::new(127, 0, 77, NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    let listen = TcpListener::bind((own, 0)).unwrap().local_addr().unwrap();
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
    let silent = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (platform, _) =
        start_http_server(|_| "HTTP/1.1 200 OK\r\n\r\nevent: stage\ndata: noise\n\n".into());
    let known: Vec<_> = endpoints.iter().map(|addr| (*addr, 41)).collect();
    config_with_control(&known, sockets, silent, platform)
}
