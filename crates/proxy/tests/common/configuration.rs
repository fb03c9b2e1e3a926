//! Configurations of the proxy under test.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

use socket2::{Domain, Protocol, Socket, Type};

use super::endpoint_list::{EndpointList, RELEASED_BUILD};
use super::http::HttpServer;

/// The last octet of the address of the next proxy.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// The port that proxies listen on, below the system's ephemeral ports.
const PROXY_PORT: u16 = 16_432;

/// An address for one proxy, which no other test and no concurrent run of the tests uses.
///
/// It is not chosen by binding a socket to port 0: a child process that another test is spawning
/// would hold a copy of the listening socket until it executes its program, and connections to the
/// proxy could end up there, for a long time on a busy host.
fn next_proxy_address() -> SocketAddr {
    let process_id = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(
        127,
        64 | (process_id >> 8 & 63) as u8,
        process_id as u8,
        host,
    );
    (host, PROXY_PORT).into()
}

/// An address that refuses connections for as long as the tests run. Its port stays bound, but
/// without a listener: if it were free, a server of another test could bind it and receive the
/// connections of this test's proxy.
pub fn closed_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket
        .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// Builds a configuration file for the proxy under test, in the platform's format.
///
/// By default, discovery refuses connections and the platform's stream cannot be parsed.
#[derive(Clone)]
pub struct ProxyConfig {
    text: String,
    listen: SocketAddr,
    endpoints: Vec<(SocketAddr, u32)>,
    discovery: Option<SocketAddr>,
    platform: Option<SocketAddr>,
}

impl ProxyConfig {
    /// A configuration without endpoints, and with a listen address of its own.
    pub fn new() -> ProxyConfig {
        ProxyConfig {
            text: include_str!("../config.json").to_string(),
            listen: next_proxy_address(),
            endpoints: Vec::new(),
            discovery: None,
            platform: None,
        }
    }

    /// Adds an endpoint that runs the released build. The first endpoint has the id `s-0`.
    pub fn endpoint(self, address: SocketAddr) -> ProxyConfig {
        self.endpoint_of_build(address, RELEASED_BUILD)
    }

    pub fn endpoint_of_build(mut self, address: SocketAddr, build: u32) -> ProxyConfig {
        self.endpoints.push((address, build));
        self
    }

    pub fn discovery(mut self, address: SocketAddr) -> ProxyConfig {
        self.discovery = Some(address);
        self
    }

    pub fn platform(mut self, address: SocketAddr) -> ProxyConfig {
        self.platform = Some(address);
        self
    }

    /// Sets the limit on the proxy's file descriptors.
    pub fn sockets(self, sockets: usize) -> ProxyConfig {
        self.replace("\"sockets\":128", &format!("\"sockets\":{sockets}"))
    }

    pub fn memory_mb(self, memory_mb: usize) -> ProxyConfig {
        self.replace("\"memory_mb\":64", &format!("\"memory_mb\":{memory_mb}"))
    }

    pub fn connect_timeout_ms(self, timeout_ms: u32) -> ProxyConfig {
        self.replace(
            "\"connect_timeout\":250.0",
            &format!("\"connect_timeout\":{timeout_ms}.0"),
        )
    }

    /// Sets the objective of the route `look` to 4 s and its deadline to 8 s, so that no time limit
    /// ends its attempts during a test.
    pub fn long_deadline(self) -> ProxyConfig {
        self.replace(
            "\"target\":500.0,\"deadline\":1200.0",
            "\"target\":4000.0,\"deadline\":8000.0",
        )
    }

    pub fn without_hedging(self) -> ProxyConfig {
        self.replace("\"second_copies\":true", "\"second_copies\":false")
    }

    pub fn cancellation_allowed(self, allowed: bool) -> ProxyConfig {
        self.replace("\"may_cancel\":true", &format!("\"may_cancel\":{allowed}"))
    }

    /// Replaces all occurrences of `current` in the text of the configuration.
    pub fn replace(mut self, current: &str, replacement: &str) -> ProxyConfig {
        assert!(
            self.text.contains(current),
            "{current}: not in the configuration"
        );
        self.text = self.text.replace(current, replacement);
        self
    }

    /// The text of the configuration file.
    pub fn text(&self) -> String {
        let discovery = self.discovery.unwrap_or_else(closed_address);
        let platform = self.platform.unwrap_or_else(|| {
            HttpServer::start(|_| "HTTP/1.1 200 OK\r\n\r\nevent: stage\ndata: noise\n\n".into())
                .address
        });
        self.text
            .replace("127.0.0.1:6432\"", &format!("{}\"", self.listen))
            .replace("127.0.0.1:8500\"", &format!("{discovery}\""))
            .replace("127.0.0.1:6400\"", &format!("{platform}\""))
            .replace(
                r#"{"version":41,"full":true,"servers":[]}"#,
                &EndpointList::of_endpoints(&self.endpoints).to_string(),
            )
    }
}
