//! Decodes the settings told to a front, as name and value pairs, whichever way they come: from the bench's
//! wire or from a configuration file laid flat.
//!
//! ```
//! let told: tidescale_settings::Told = [("rules.cold".to_string(), "4900.0".to_string())].into_iter().collect();
//! assert_eq!(told.time("rules.cold"), Ok(4_900_000));
//! assert_eq!(told.time("rules.fall").unwrap_err(), "a setting is missing: rules.fall");
//! ```

use std::collections::BTreeMap;
use std::str::FromStr;

use tidescale_policy::front::{Repeat, Route, Scope, Settings};

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
pub struct Told(BTreeMap<String, String>);

impl FromIterator<(String, String)> for Told {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        Told(pairs.into_iter().collect())
    }
}

impl Told {
    pub fn text(&self, path: &str) -> Result<&str, Fault> {
        self.0.get(path).map(String::as_str).ok_or_else(|| format!("a setting is missing: {path}"))
    }
    pub fn number<T: FromStr>(&self, path: &str) -> Result<T, Fault> {
        number(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    pub fn time(&self, path: &str) -> Result<u64, Fault> {
        micros(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    pub fn flag(&self, path: &str) -> Result<bool, Fault> {
        flag(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    /// One of these words, by its place among them.
    pub fn word(&self, path: &str, words: &[&str]) -> Result<usize, Fault> {
        let told = self.text(path)?;
        words.iter().position(|w| *w == told).ok_or_else(|| format!("{path}: unknown word: {told}"))
    }
    /// A number within these bounds, both included.
    pub fn within(&self, path: &str, least: f64, most: f64) -> Result<f64, Fault> {
        let told: f64 = self.number(path)?;
        if (least..=most).contains(&told) { Ok(told) } else { Err(format!("{path}: out of range: {told}")) }
    }
    pub fn count(&self, path: &str) -> Result<usize, Fault> {
        let path = format!("{path}.count");
        if self.0.contains_key(&path) { self.number(&path) } else { Ok(0) }
    }
}

/// The told figures that connections are kept by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Links {
    pub connect_within: u64,
    /// The far side closes what has stood idle for so long.
    pub idle_for: u64,
    pub longest_timeout: u64,
    /// Load is told only to those who ask for it.
    pub load_on_demand: bool,
}

pub fn links(told: &Told) -> Result<Links, Fault> {
    let mut longest_timeout = 0;
    for i in 0..told.count("classes")? {
        longest_timeout = longest_timeout.max(told.time(&format!("classes.{i}.deadline"))?);
    }
    let connect_within = told.time("policy_limits.connect_timeout")?;
    if connect_within == 0 {
        return Err("policy_limits.connect_timeout: zero: no connection could come up in time".into());
    }
    Ok(Links {
        connect_within,
        idle_for: told.time("policy_limits.conn_idle")?,
        longest_timeout,
        load_on_demand: told.word("stats.how", &["piggyback", "pull", "silent"])? == 1,
    })
}

pub fn decode(told: &Told) -> Result<Settings, Fault> {
    let mut routes = Vec::new();
    for i in 0..told.count("classes")? {
        let at = |name: &str| format!("classes.{i}.{name}");
        let repeat = match told.text(&at("idempotency"))? {
            "retryable" => Repeat::Retriable,
            "fragile" => Repeat::NonRetriable,
            "dedup" => Repeat::Deduped {
                scope: match told.text(&at("key_scope"))? {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    "cell" => Scope::Cell,
                    other => return Err(format!("{}: unknown scope {other}", at("key_scope"))),
                },
                window: told.time(&at("repeat_window"))?,
            },
            other => return Err(format!("{}: unknown kind {other}", at("idempotency"))),
        };
        routes.push(Route {
            name: told.text(&at("name"))?.into(),
            objective: told.time(&at("target"))?,
            earnings: told.number(&at("value"))?,
            repeat,
        });
    }
    let caps = told.text("family_info.stage_cap")?;
    let stage_caps: Vec<f64> =
        caps.split(',').filter(|c| !c.is_empty()).map(number).collect::<Result<_, _>>()?;
    if stage_caps.iter().any(|c| !(0.0..=1.0).contains(c)) {
        return Err(format!("family_info.stage_cap: out of range: {caps}"));
    }
    let ask_list = told.word("membership_mode", &["push", "ask"])? == 1;
    let (me, fronts) = (told.number("me")?, told.number::<u32>("balancers")?.max(1));
    if me >= fronts {
        return Err(format!("me: out of range: {me}"));
    }
    Ok(Settings {
        me,
        fronts,
        zone: told.text("zone")?.into(),
        routes,
        ask_list,
        must_ask_in: if ask_list { told.time("rules.must_ask_in")? } else { u64::MAX },
        cross_zone_price: told.number("tariffs.cross_zone")?,
        probes: told.flag("policy_limits.probes")?,
        cancel: told.flag("policy_limits.may_cancel")?,
        second_copies: told.flag("policy_limits.second_copies")?,
        max_tries: told.within("policy_limits.max_attempts", 1.0, 1e6)? as usize,
        max_come_back: if told.flag("policy_limits.retry_after")? {
            told.time("policy_limits.max_retry_after")?
        } else {
            0
        },
        grace: told.time("rules.drain_grace")?,
        cold_from: told.within("rules.cold_from", 0.0, 1.0)?,
        cold_for: told.time("rules.cold")?,
        fall_multiple: told.within("rules.fall_multiple", 0.0, 1e6)?,
        fall_for: told.time("rules.fall")?,
        stage_caps,
        free: told.within("family_info.allowance", 0.0, 1e9)?,
        exposure_window: told.time("family_info.exposure_window")?,
        by_route: told.word("family_info.counted_by", &["all", "each_class"])? == 1,
        guarded_stages: told.number("family_info.guarded_stages")?,
        one_way: told.flag("family_info.forward_only")?,
        timed: told.word("family_info.gate_mode", &["first_voice", "by_count", "automatic"])? == 2,
        min_dwell: told.time("family_info.min_dwell")?,
        back_votes: told.number("family_info.to_abort")?,
        votes_per_s: told.number("family_info.api_rate")?,
        vote_life: told.time("family_info.vote_life")?,
        vote_wait: told.time("family_info.vote_wait")?,
    })
}
