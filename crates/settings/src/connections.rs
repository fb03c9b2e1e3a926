//! Decodes the settings of the proxy's connections, which the policy does not use.

use std::time::Duration;

use crate::error::SettingsError;
use crate::raw::RawSettings;
use crate::routes::{route_count, route_path};

/// Timeouts of connections, and how endpoints report their load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Maximum duration of a connection attempt; never zero.
    pub connect_timeout: Duration,
    /// An endpoint closes a connection that has been idle for this long.
    pub idle_timeout: Duration,
    /// Longest deadline of any route; zero if there are no routes.
    pub longest_deadline: Duration,
    /// Whether endpoints report their load only on request.
    pub request_load_reports: bool,
}

/// Decodes the settings of connections.
///
/// # Errors
///
/// The first setting that is missing or invalid, including a connect timeout of zero
/// ([`SettingsError::ZeroConnectTimeout`]).
pub fn decode_connection_settings(raw: &RawSettings) -> Result<ConnectionSettings, SettingsError> {
    let longest_deadline = longest_deadline(raw)?;
    let connect_timeout = raw.duration("policy_limits.connect_timeout")?;
    if connect_timeout.is_zero() {
        return Err(SettingsError::ZeroConnectTimeout);
    }
    let load_report_modes = [("piggyback", false), ("pull", true), ("silent", false)];
    Ok(ConnectionSettings {
        connect_timeout,
        idle_timeout: raw.duration("policy_limits.conn_idle")?,
        longest_deadline,
        request_load_reports: raw.one_of("stats.how", &load_report_modes)?,
    })
}

fn longest_deadline(raw: &RawSettings) -> Result<Duration, SettingsError> {
    let mut longest = Duration::ZERO;
    for route_index in 0..route_count(raw)? {
        let deadline = raw.duration(&route_path(route_index, "deadline"))?;
        longest = longest.max(deadline);
    }
    Ok(longest)
}
