//! Decodes the settings told to a front, as name and value pairs, whichever way they come: from the bench's
//! wire or from a configuration file laid flat.
//!
//! ```
//! let told: tidescale_settings::RawSettings = [("rules.cold".to_string(), "4900.0".to_string())].into_iter().collect();
//! assert_eq!(told.time("rules.cold"), Ok(4_900_000));
//! assert_eq!(told.time("rules.fall").unwrap_err(), "a setting is missing: rules.fall");
//! ```

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope, Route, Settings};

pub type Fault = String;

/// Milliseconds to whole microseconds, rounded.
pub fn micros(text: &str) -> Result<u64, Fault> {
    let ms: f64 = text.parse().map_err(|_| format!("not a time: {text}"))?;
    if !(0.0..1e13).contains(&ms) {
        return Err(format!("time out of range: {text}"));
    }
    Ok((ms * 1000.0).round() as u64)
}

pub fn number<T: FromStr>(text: &str) -> Result<T, Fault> {
    text.parse().map_err(|_| format!("not a number: {text}"))
}

pub fn flag(text: &str) -> Result<bool, Fault> {
    match text {
        "1" | "true" => Ok(true),
        "0" | "false" | "-" => Ok(false),
        _ => Err(format!("not a yes or no: {text}")),
    }
}

/// What was told, by path.
#[derive(Default)]
pub struct RawSettings(BTreeMap<String, String>);

impl FromIterator<(String, String)> for RawSettings {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        RawSettings(pairs.into_iter().collect())
    }
}

impl RawSettings {
    pub fn text(&self, path: &str) -> Result<&str, Fault> {
        self.0
            .get(path)
            .map(String::as_str)
            .ok_or_else(|| format!("a setting is missing: {path}"))
    }
    pub fn number<T: FromStr>(&self, path: &str) -> Result<T, Fault> {
        number(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    pub fn time(&self, path: &str) -> Result<u64, Fault> {
        micros(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    pub fn duration(&self, path: &str) -> Result<Duration, Fault> {
        self.time(path).map(Duration::from_micros)
    }
    pub fn flag(&self, path: &str) -> Result<bool, Fault> {
        flag(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    /// One of these words, by its place among them.
    pub fn word(&self, path: &str, words: &[&str]) -> Result<usize, Fault> {
        let told = self.text(path)?;
        words
            .iter()
            .position(|w| *w == told)
            .ok_or_else(|| format!("{path}: unknown word: {told}"))
    }
    /// A number within these bounds, both included.
    pub fn within(&self, path: &str, least: f64, most: f64) -> Result<f64, Fault> {
        let told: f64 = self.number(path)?;
        if (least..=most).contains(&told) {
            Ok(told)
        } else {
            Err(format!("{path}: out of range: {told}"))
        }
    }
    pub fn count(&self, path: &str) -> Result<usize, Fault> {
        let path = format!("{path}.count");
        if self.0.contains_key(&path) {
            self.number(&path)
        } else {
            Ok(0)
        }
    }
}

/// The raw figures that connections are kept by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    pub connect_timeout: Duration,
    /// The far side closes what has stood idle for so long.
    pub idle_timeout: Duration,
    pub longest_deadline: Duration,
    /// Load is raw only to those who ask for it.
    pub load_on_demand: bool,
}

/// Decodes what connections are kept by.
pub fn connection_settings(raw: &RawSettings) -> Result<ConnectionSettings, Fault> {
    let mut longest_deadline = Duration::ZERO;
    for i in 0..raw.count("classes")? {
        longest_deadline = longest_deadline.max(raw.duration(&format!("classes.{i}.deadline"))?);
    }
    let connect_timeout = raw.duration("policy_limits.connect_timeout")?;
    if connect_timeout.is_zero() {
        return Err(
            "policy_limits.connect_timeout: zero: no connection could come up in time".into(),
        );
    }
    Ok(ConnectionSettings {
        connect_timeout,
        idle_timeout: raw.duration("policy_limits.conn_idle")?,
        longest_deadline,
        load_on_demand: raw.word("stats.how", &["piggyback", "pull", "silent"])? == 1,
    })
}

pub fn decode(raw: &RawSettings) -> Result<Settings, Fault> {
    let mut routes = Vec::new();
    for i in 0..raw.count("classes")? {
        let at = |name: &str| format!("classes.{i}.{name}");
        let idempotency = match raw.text(&at("idempotency"))? {
            "retryable" => Idempotency::Idempotent,
            "fragile" => Idempotency::NotIdempotent,
            "dedup" => Idempotency::IdempotencyKey {
                scope: match raw.text(&at("key_scope"))? {
                    "all" => KeyScope::Fleet,
                    "zone" => KeyScope::Zone,
                    "cell" => KeyScope::Cell,
                    other => return Err(format!("{}: unknown scope {other}", at("key_scope"))),
                },
                window: raw.duration(&at("repeat_window"))?,
            },
            other => return Err(format!("{}: unknown kind {other}", at("idempotency"))),
        };
        routes.push(Route {
            name: raw.text(&at("name"))?.into(),
            latency_objective: raw.duration(&at("target"))?,
            priority_weight: raw.number(&at("value"))?,
            idempotency,
        });
    }
    let caps = raw.text("family_info.stage_cap")?;
    let stage_caps: Vec<f64> = caps
        .split(',')
        .filter(|c| !c.is_empty())
        .map(number)
        .collect::<Result<_, _>>()?;
    if stage_caps.iter().any(|c| !(0.0..=1.0).contains(c)) {
        return Err(format!("family_info.stage_cap: out of range: {caps}"));
    }
    let poll_endpoints = raw.word("membership_mode", &["push", "ask"])? == 1;
    let (instance_index, instance_count) =
        (raw.number("me")?, raw.number::<u32>("balancers")?.max(1));
    if instance_index >= instance_count {
        return Err(format!("me: out of range: {instance_index}"));
    }
    Ok(Settings {
        instance_index,
        instance_count,
        zone: raw.text("zone")?.into(),
        routes,
        poll_endpoints,
        max_poll_interval: if poll_endpoints {
            raw.duration("rules.must_ask_in")?
        } else {
            Duration::MAX
        },
        cross_zone_price: raw.number("tariffs.cross_zone")?,
        health_checks: raw.flag("policy_limits.probes")?,
        cancel_attempts: raw.flag("policy_limits.may_cancel")?,
        hedging: raw.flag("policy_limits.second_copies")?,
        max_attempts: raw.within("policy_limits.max_attempts", 1.0, 1e6)? as usize,
        max_retry_after: if raw.flag("policy_limits.retry_after")? {
            raw.duration("policy_limits.max_retry_after")?
        } else {
            Duration::ZERO
        },
        grace_period: raw.duration("rules.drain_grace")?,
        warm_up_start: raw.within("rules.cold_from", 0.0, 1.0)?,
        warm_up_time: raw.duration("rules.cold")?,
        overload_multiple: raw.within("rules.fall_multiple", 0.0, 1e6)?,
        overload_window: raw.duration("rules.fall")?,
        stage_caps,
        exposure_allowance: raw.within("family_info.allowance", 0.0, 1e9)?,
        exposure_window: raw.duration("family_info.exposure_window")?,
        exposure_by_route: raw.word("family_info.counted_by", &["all", "each_class"])? == 1,
        guarded_stages: raw.number("family_info.guarded_stages")?,
        monotonic_key_builds: raw.flag("family_info.forward_only")?,
        automatic_stages: raw.word(
            "family_info.gate_mode",
            &["first_voice", "by_count", "automatic"],
        )? == 2,
        min_stage_time: raw.duration("family_info.min_dwell")?,
        rollback_votes: raw.number("family_info.to_abort")?,
        votes_per_second: raw.number("family_info.api_rate")?,
        vote_lifetime: raw.duration("family_info.vote_life")?,
        vote_timeout: raw.duration("family_info.vote_wait")?,
    })
}
