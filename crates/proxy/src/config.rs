//! What the front is told at its start.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use tidescale_policy::settings::Settings;
use tidescale_settings::{ConnectionSettings, RawSettings};

use crate::discovery::Listing;
use crate::rollout_status::News;

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct Pipeline {
    address: SocketAddr,
    news: Option<News>,
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    pipeline: Pipeline,
    known: Listing,
    settings: Value,
}

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    pub news: Option<News>,
    pub known: Listing,
    pub settings: Settings,
    pub connections: ConnectionSettings,
}

/// Lays nested settings flat: `a.b`, lists of objects as `a.count` and `a.0.b`, other lists joined by commas.
fn lay_flat(path: &str, value: &Value, flat: &mut Vec<(String, String)>) {
    let under = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, v)| lay_flat(&under(name), v, flat)),
        Value::Array(items) => {
            flat.push((under("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| lay_flat(&under(&i.to_string()), v, flat));
            let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), String::from);
            flat.push((
                path.into(),
                items.iter().map(plain).collect::<Vec<_>>().join(","),
            ));
        }
        Value::String(text) => flat.push((path.into(), text.clone())),
        Value::Null => flat.push((path.into(), "-".into())),
        other => flat.push((path.into(), other.to_string())),
    }
}

pub fn read(text: &str) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: not hexadecimal: {}", file.seed))?;
    let mut flat = Vec::new();
    lay_flat("", &file.settings, &mut flat);
    let told: RawSettings = flat.into_iter().collect();
    let connections =
        tidescale_settings::connection_settings(&told).map_err(|e| format!("settings: {e}"))?;
    // The protocol has no answer that goes on after its first row.
    for i in 0..told
        .count("classes")
        .map_err(|e| format!("settings: {e}"))?
    {
        let stream = format!("classes.{i}.stream");
        if told.flag(&stream) == Ok(true) {
            return Err(format!(
                "settings: {stream}: answers do not stream over this protocol"
            ));
        }
    }
    let settings = tidescale_settings::decode(&told).map_err(|e| format!("settings: {e}"))?;
    Ok(Config {
        listen: file.listen,
        discovery: file.discovery,
        platform: file.pipeline.address,
        seed,
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        news: file.pipeline.news,
        known: file.known,
        settings,
        connections,
    })
}
