//! Decodes the settings that an instance is started with.

use std::collections::BTreeMap;

use tidescale::front::{Repeat, Route, Scope, Settings};

use crate::{Fault, flag, micros, number};

struct Told<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Told<'a> {
    fn text(&self, path: &str) -> Result<&'a str, Fault> {
        self.0.get(path).copied().ok_or_else(|| format!("a setting is missing: {path}"))
    }
    fn number<T: std::str::FromStr>(&self, path: &str) -> Result<T, Fault> {
        number(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    fn time(&self, path: &str) -> Result<u64, Fault> {
        micros(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    fn flag(&self, path: &str) -> Result<bool, Fault> {
        flag(self.text(path)?).map_err(|e| format!("{path}: {e}"))
    }
    fn count(&self, path: &str) -> Result<usize, Fault> {
        match self.0.get(format!("{path}.count").as_str()) {
            Some(n) => number(n).map_err(|e| format!("{path}.count: {e}")),
            None => Ok(0),
        }
    }
}

pub fn decode(text: &str) -> Result<Settings, Fault> {
    let mut told = BTreeMap::new();
    for pair in text.split(' ').filter(|p| !p.is_empty()) {
        let (path, value) = pair.split_once('=').ok_or_else(|| format!("not a setting: {pair}"))?;
        told.insert(path, value);
    }
    let told = Told(told);
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
    Ok(Settings {
        me: told.number("me")?,
        fronts: told.number::<u32>("balancers")?.max(1),
        zone: told.text("zone")?.into(),
        routes,
        ask_list: told.text("membership_mode")? == "ask",
        cross_zone_price: told.number("tariffs.cross_zone")?,
        probes: told.flag("policy_limits.probes")?,
        cancel: told.flag("policy_limits.may_cancel")?,
        max_tries: told.number("policy_limits.max_attempts")?,
        max_come_back: if told.flag("policy_limits.retry_after")? {
            told.time("policy_limits.max_retry_after")?
        } else {
            0
        },
        grace: told.time("rules.drain_grace")?,
        cold_from: told.number("rules.cold_from")?,
        cold_for: told.time("rules.cold")?,
        fall_multiple: told.number("rules.fall_multiple")?,
        fall_for: told.time("rules.fall")?,
        stage_caps: caps.split(',').filter(|c| !c.is_empty()).map(number).collect::<Result<_, _>>()?,
        free: told.number("family_info.allowance")?,
        exposure_window: told.time("family_info.exposure_window")?,
        by_route: told.text("family_info.counted_by")? == "each_class",
        guarded_stages: told.number("family_info.guarded_stages")?,
        one_way: told.flag("family_info.forward_only")?,
        timed: told.text("family_info.gate_mode")? == "automatic",
        min_dwell: told.time("family_info.min_dwell")?,
        back_votes: told.number("family_info.to_abort")?,
        votes_per_s: told.number("family_info.api_rate")?,
        vote_life: told.time("family_info.vote_life")?,
        vote_wait: told.time("family_info.vote_wait")?,
    })
}
