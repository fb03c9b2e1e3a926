//! The proxy on loopback sockets, with stand-ins for endpoints, discovery and the platform; by subject.

mod clients;
mod common;
mod discovery;
mod files;
mod list;
mod log;
mod reload;
mod start;
mod stop;
mod stream;
mod upstream;
