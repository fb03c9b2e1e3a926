//! Stand-ins for endpoints, discovery and the platform, a proxy under test and its clients.

mod client;
mod configuration;
mod instance;
mod manual;
mod protocol;
mod servers;
mod system;

use std::time::Duration;

pub use client::*;
pub use configuration::*;
pub use instance::*;
pub use manual::*;
pub use protocol::*;
pub use servers::*;
pub use system::*;

/// Whatever a test waits for comes within this, or the test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);
