//! The configuration file that the platform writes. It is decoded at the start and again at each
//! SIGHUP.

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
    /// It is not JSON, or a field is missing or invalid.
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number.
    #[error("seed: not hexadecimal: {seed}")]
    Seed {
        /// Its value.
        seed: String,
    },
    /// A setting is missing or out of range.
    #[error("settings: {0}")]
    Settings(String),
    /// A route with streaming responses, which the protocol does not support.
    #[error("settings: {field}: answers do not stream over this protocol")]
    StreamingRoute {
        /// The setting of the route.
        field: String,
    },
}

impl ConfigError {
    fn settings(error: impl ToString) -> ConfigError {
        ConfigError::Settings(error.to_string())
    }
}

/// The decoded and validated configuration.
pub struct Config {
    /// The address to listen on for clients.
    pub listen: SocketAddr,
    /// The address of discovery, for the endpoint list.
    pub discovery: SocketAddr,
    /// The address of the platform, for the rollout status and votes.
    pub platform: SocketAddr,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// Descriptors that the process may open.
    pub descriptor_limit: usize,
    /// The rollout status, until the platform announces a newer one.
    pub rollout_status: Option<StatusMessage>,
    /// The endpoint list, until discovery sends a newer one.
    pub known_endpoints: EndpointList,
    /// The settings of the policy.
    pub settings: Settings,
    /// The settings of connections.
    pub connections: ConnectionSettings,
}

/// The format of the file; its keys are defined by the platform.
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
    memory_mb: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct Pipeline {
    address: SocketAddr,
    #[serde(rename = "news")]
    rollout_status: Option<StatusMessage>,
}

/// Reads a configuration file.
///
/// # Errors
///
/// The file cannot be read, or those of [`parse`].
pub fn read_file(path: &Path) -> Result<Config, ConfigError> {
    parse(&std::fs::read_to_string(path)?)
}

/// Decodes a configuration.
///
/// # Errors
///
/// It is invalid; the error names the field.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    let Ok(seed) = u64::from_str_radix(&file.seed, 16) else {
        return Err(ConfigError::Seed { seed: file.seed });
    };
    let raw = flatten_settings(&file.settings);
    let connections =
        tidescale_settings::connection_settings(&raw).map_err(ConfigError::settings)?;
    reject_streaming_routes(&raw)?;
    let settings = tidescale_settings::decode(&raw).map_err(ConfigError::settings)?;
    Ok(Config {
        listen: file.listen,
        discovery: file.discovery,
        platform: file.pipeline.address,
        seed,
        memory_mb: file.limits.memory_mb,
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

/// Flattens nested settings to pairs of path and text: fields as `a.b`; lists as `a.count`, `a.0`,
/// … and, joined by commas, `a`.
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

/// A string without quotes, any other value as JSON.
fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}
