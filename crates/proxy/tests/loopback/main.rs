//! The proxy on loopback sockets, with stand-ins for endpoints, discovery and the platform. One
//! module per subject.

mod client_limits;
mod clients;
mod common;
mod connecting;
mod discovery;
mod endpoint_list;
mod log;
mod reload;
mod snapshots;
mod start;
mod stop;
mod stream;
mod upstream;
