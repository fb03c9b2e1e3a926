//! Test support: stand-ins for endpoints, discovery and the platform, the proxy under test, and its
//! clients.

mod client;
mod configuration;
mod endpoint;
mod endpoint_list;
mod http;
mod instance;
mod manual;
mod protocol;
mod system;

use std::time::Duration;

pub use client::*;
pub use configuration::*;
pub use endpoint::*;
pub use endpoint_list::*;
pub use http::*;
pub use instance::*;
pub use manual::*;
pub use protocol::*;
pub use system::*;

/// Maximum wait for any event. A test whose event takes longer fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);
