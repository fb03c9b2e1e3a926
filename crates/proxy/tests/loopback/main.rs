//! The proxy on loopback sockets, with stand-ins for endpoints, discovery and the platform. One
//! module per subject.

#[allow(dead_code, reason = "some helpers are for the tests of overload only")]
#[path = "../common/mod.rs"]
mod common;

mod client_limits;
mod clients;
mod connecting;
mod departures;
mod discovery;
mod endpoint_list;
mod log;
mod reload;
mod snapshots;
mod start;
mod stop;
mod stream;
mod upstream;
