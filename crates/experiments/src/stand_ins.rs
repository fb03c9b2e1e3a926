//! Stand-ins on loopback for the systems around a proxy instance: endpoints, discovery, the
//! platform and clients.
//!
//! The servers run on their own threads until the process exits. Messages are encoded here from the
//! protocol specifications and not by the proxy's codecs, so that a mistake in a codec is detected.

mod client;
mod endpoint;
mod http_server;
mod message;
mod services;

pub use client::{Client, ClientAnswer, ClientNumber};
pub use endpoint::{Behavior, StandInEndpoint};
pub use services::{AnnouncedPhase, Announcement, StandInPlatform, start_discovery};
