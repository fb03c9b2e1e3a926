//! Small stand-ins on loopback for what a proxy instance meets: endpoints, discovery, the platform, clients.
//!
//! Each runs on threads of its own until the process ends. Bytes are made here from the protocols' pages and not by the
//! proxy's codecs, so that a fault there does not hide itself.

mod client;
mod endpoint;
mod http_server;
mod message;
mod services;

pub use client::{Client, ClientAnswer};
pub use endpoint::{Behavior, StandInEndpoint};
pub use services::{Announcement, StandInPlatform, start_discovery};
