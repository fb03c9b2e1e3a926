//! Decodes the settings that the policy reads.
//!
//! If several settings are missing or invalid, the error names the one that is decoded first.

use std::ops::RangeInclusive;
use std::time::Duration;

use tidescale_policy::settings::Settings;

use crate::error::SettingsError;
use crate::raw::RawSettings;
use crate::routes::decode_routes;
use crate::values::parse_number;

/// Range of a fraction of capacity or of traffic.
const FRACTION_RANGE: RangeInclusive<f64> = 0.0..=1.0;

/// Range of the maximum number of attempts of a request. The upper bound only rejects typing
/// errors; it converts to an integer exactly.
const ATTEMPTS_RANGE: RangeInclusive<f64> = 1.0..=1e6;

/// Range of a multiple of a capacity. The upper bound only rejects typing errors.
const MULTIPLE_RANGE: RangeInclusive<f64> = 0.0..=1e6;

/// Range of the number of attempts that are allowed in addition to the traffic cap. The upper bound
/// only rejects typing errors.
const ALLOWANCE_RANGE: RangeInclusive<f64> = 0.0..=1e9;

/// Decodes all settings that the policy reads.
///
/// # Errors
///
/// The first setting that is missing or invalid.
pub fn decode_policy_settings(raw: &RawSettings) -> Result<Settings, SettingsError> {
    let routes = decode_routes(raw)?;
    let stage_caps = decode_stage_caps(raw)?;
    let poll_endpoints = raw.one_of("membership_mode", &[("push", false), ("ask", true)])?;
    let instance = decode_instance(raw)?;
    Ok(Settings {
        instance_index: instance.index,
        instance_count: instance.count,
        zone: raw.text("zone")?.to_string(),
        routes,
        poll_endpoints,
        max_poll_interval: decode_max_poll_interval(raw, poll_endpoints)?,
        cross_zone_price: raw.number("tariffs.cross_zone")?,
        health_checks: raw.flag("policy_limits.probes")?,
        cancel_attempts: raw.flag("policy_limits.may_cancel")?,
        hedging: raw.flag("policy_limits.second_copies")?,
        max_attempts: raw.number_in_range("policy_limits.max_attempts", ATTEMPTS_RANGE)? as usize,
        max_retry_after: decode_max_retry_after(raw)?,
        grace_period: raw.duration("rules.drain_grace")?,
        warm_up_start: raw.number_in_range("rules.cold_from", FRACTION_RANGE)?,
        warm_up_time: raw.duration("rules.cold")?,
        overload_multiple: raw.number_in_range("rules.fall_multiple", MULTIPLE_RANGE)?,
        overload_window: raw.duration("rules.fall")?,
        stage_caps,
        exposure_allowance: raw.number_in_range("family_info.allowance", ALLOWANCE_RANGE)?,
        exposure_window: raw.duration("family_info.exposure_window")?,
        exposure_by_route: decode_exposure_by_route(raw)?,
        guarded_stages: raw.number("family_info.guarded_stages")?,
        monotonic_key_builds: raw.flag("family_info.forward_only")?,
        automatic_stages: decode_automatic_stages(raw)?,
        min_stage_time: raw.duration("family_info.min_dwell")?,
        rollback_votes: raw.number("family_info.to_abort")?,
        votes_per_second: raw.number("family_info.api_rate")?,
        vote_lifetime: raw.duration("family_info.vote_life")?,
        vote_timeout: raw.duration("family_info.vote_wait")?,
    })
}

/// Index of this proxy instance, and the number of instances.
struct Instance {
    index: u32,
    count: u32,
}

fn decode_instance(raw: &RawSettings) -> Result<Instance, SettingsError> {
    let index: u32 = raw.number("me")?;
    let configured_count: u32 = raw.number("balancers")?;
    let count = configured_count.max(1);
    if index >= count {
        return Err(SettingsError::OutOfRange {
            path: "me".to_string(),
            value: index.to_string(),
        });
    }
    Ok(Instance { index, count })
}

/// Decodes the longest time between polls of the endpoint list; unlimited if changes are pushed.
fn decode_max_poll_interval(
    raw: &RawSettings,
    poll_endpoints: bool,
) -> Result<Duration, SettingsError> {
    if poll_endpoints {
        raw.duration("rules.must_ask_in")
    } else {
        Ok(Duration::MAX)
    }
}

/// Decodes the traffic caps of the stages from a comma-separated list; empty items are skipped.
fn decode_stage_caps(raw: &RawSettings) -> Result<Vec<f64>, SettingsError> {
    let path = "family_info.stage_cap";
    let list = raw.text(path)?;
    let stage_caps = list
        .split(',')
        .filter(|item| !item.is_empty())
        .map(parse_number)
        .collect::<Result<Vec<f64>, _>>()
        .map_err(SettingsError::InvalidStageCap)?;
    if stage_caps.iter().any(|cap| !FRACTION_RANGE.contains(cap)) {
        return Err(SettingsError::OutOfRange {
            path: path.to_string(),
            value: list.to_string(),
        });
    }
    Ok(stage_caps)
}

/// Decodes the longest retry delay that may be sent to a client; zero if none is sent.
fn decode_max_retry_after(raw: &RawSettings) -> Result<Duration, SettingsError> {
    if raw.flag("policy_limits.retry_after")? {
        raw.duration("policy_limits.max_retry_after")
    } else {
        Ok(Duration::ZERO)
    }
}

fn decode_exposure_by_route(raw: &RawSettings) -> Result<bool, SettingsError> {
    let counting_modes = [("all", false), ("each_class", true)];
    raw.one_of("family_info.counted_by", &counting_modes)
}

fn decode_automatic_stages(raw: &RawSettings) -> Result<bool, SettingsError> {
    let gate_modes = [
        ("first_voice", false),
        ("by_count", false),
        ("automatic", true),
    ];
    raw.one_of("family_info.gate_mode", &gate_modes)
}
