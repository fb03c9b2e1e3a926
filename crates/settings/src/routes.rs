//! Decodes the routes. In the settings they are called classes: the list `classes` has one item for
//! each route.

use tidescale_policy::settings::{Idempotency, KeyScope, Route};

use crate::error::SettingsError;
use crate::raw::RawSettings;

pub(crate) fn route_count(raw: &RawSettings) -> Result<usize, SettingsError> {
    raw.count("classes")
}

pub(crate) fn route_path(route_index: usize, field: &str) -> String {
    format!("classes.{route_index}.{field}")
}

/// Decodes all routes, in the order of their indexes.
pub(crate) fn decode_routes(raw: &RawSettings) -> Result<Vec<Route>, SettingsError> {
    let mut routes = Vec::new();
    for route_index in 0..route_count(raw)? {
        routes.push(decode_route(raw, route_index)?);
    }
    Ok(routes)
}

fn decode_route(raw: &RawSettings, route_index: usize) -> Result<Route, SettingsError> {
    let path = |field| route_path(route_index, field);
    let idempotency = decode_idempotency(raw, route_index)?;
    Ok(Route {
        name: raw.text(&path("name"))?.to_string(),
        latency_objective: raw.duration(&path("target"))?,
        client_deadline: raw.duration(&path("deadline"))?,
        priority_weight: raw.number(&path("value"))?,
        idempotency,
    })
}

fn decode_idempotency(raw: &RawSettings, route_index: usize) -> Result<Idempotency, SettingsError> {
    let path = route_path(route_index, "idempotency");
    match raw.text(&path)? {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NotIdempotent),
        "dedup" => Ok(Idempotency::IdempotencyKey {
            scope: decode_key_scope(raw, route_index)?,
            window: raw.duration(&route_path(route_index, "repeat_window"))?,
        }),
        unknown => Err(SettingsError::UnknownIdempotency {
            kind: unknown.to_string(),
            path,
        }),
    }
}

fn decode_key_scope(raw: &RawSettings, route_index: usize) -> Result<KeyScope, SettingsError> {
    let path = route_path(route_index, "key_scope");
    match raw.text(&path)? {
        "all" => Ok(KeyScope::Fleet),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        unknown => Err(SettingsError::UnknownKeyScope {
            scope: unknown.to_string(),
            path,
        }),
    }
}
