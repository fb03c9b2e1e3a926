//! The configuration file that the platform writes. It is parsed on startup and reloaded on SIGHUP.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use tidescale_policy::settings::Settings;
use tidescale_settings::{ConnectionSettings, RawSettings};

use crate::endpoint_list::EndpointList;
use crate::rollout_status::StatusMessage;

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is not JSON, or a field outside `settings` is missing or invalid.
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number.
    #[error("seed: not hexadecimal: {seed}")]
    Seed {
        /// The value in the file.
        seed: String,
    },
    /// A setting is missing or invalid.
    #[error("settings: {0}")]
    Settings(String),
    /// A route is configured with streaming responses, which the protocol does not support.
    #[error("settings: {field}: answers do not stream over this protocol")]
    StreamingRoute {
        /// The path of the setting.
        field: String,
    },
}

impl ConfigError {
    fn settings(error: impl ToString) -> ConfigError {
        ConfigError::Settings(error.to_string())
    }
}

/// The parsed and validated configuration.
pub struct Config {
    /// The address on which the proxy listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service, which sends the endpoint list.
    pub discovery: SocketAddr,
    /// The address of the platform, which sends the rollout status and receives votes.
    pub platform: SocketAddr,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The memory limit of the process, in MiB.
    pub memory_mib: usize,
    /// The maximum number of file descriptors that the process may open.
    pub descriptor_limit: usize,
    /// The initial rollout status, used until the platform sends a newer one.
    pub rollout_status: Option<StatusMessage>,
    /// The initial endpoint list, used until discovery sends a newer one.
    pub known_endpoints: EndpointList,
    /// The settings of the load-balancing policy.
    pub settings: Settings,
    /// Timeouts and other settings of the connections to endpoints.
    pub connections: ConnectionSettings,
}

/// The structure of the file. The platform defines its keys, so fields with another name have a
/// `rename` attribute.
#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    pipeline: Pipeline,
    #[serde(rename = "known")]
    known_endpoints: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "memory_mb")]
    memory_mib: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct Pipeline {
    address: SocketAddr,
    #[serde(rename = "news")]
    rollout_status: Option<StatusMessage>,
}

/// Reads and parses a configuration file.
///
/// # Errors
///
/// The file cannot be read, or [`parse`] fails.
pub fn read_file(path: &Path) -> Result<Config, ConfigError> {
    parse(&std::fs::read_to_string(path)?)
}

/// Parses and validates the text of a configuration file.
///
/// # Errors
///
/// The configuration is invalid; the error names the field.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    let Ok(seed) = u64::from_str_radix(&file.seed, 16) else {
        return Err(ConfigError::Seed { seed: file.seed });
    };
    let raw = flatten_settings(&file.settings);
    let connections =
        tidescale_settings::decode_connection_settings(&raw).map_err(ConfigError::settings)?;
    reject_streaming_routes(&raw)?;
    let settings =
        tidescale_settings::decode_policy_settings(&raw).map_err(ConfigError::settings)?;
    Ok(Config {
        listen: file.listen,
        discovery: file.discovery,
        platform: file.pipeline.address,
        seed,
        memory_mib: file.limits.memory_mib,
        descriptor_limit: file.limits.sockets,
        rollout_status: file.pipeline.rollout_status,
        known_endpoints: file.known_endpoints,
        settings,
        connections,
    })
}

fn reject_streaming_routes(raw: &RawSettings) -> Result<(), ConfigError> {
    for index in 0..raw.count("classes").map_err(ConfigError::settings)? {
        let field = format!("classes.{index}.stream");
        if matches!(raw.flag(&field), Ok(true)) {
            return Err(ConfigError::StreamingRoute { field });
        }
    }
    Ok(())
}

/// Flattens nested settings to pairs of a path and a text value. A field has the path `a.b`. A list
/// has the paths `a.count`, `a.0`, `a.1` and so on, and `a` with all items joined by commas.
fn flatten_settings(settings: &Value) -> RawSettings {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    pairs.into_iter().collect()
}

fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(&join_path(path, name), field, pairs);
            }
        }
        Value::Array(items) => {
            pairs.push((join_path(path, "count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(&join_path(path, &index.to_string()), item, pairs);
            }
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            pairs.push((path.into(), texts.join(",")));
        }
        Value::Null => pairs.push((path.into(), "-".into())),
        other => pairs.push((path.into(), plain_text(other))),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the text of a string without quotes, or any other value as JSON.
fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}
