//! What the settings decode to, and what the error says about one that cannot be used.

use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope, Settings};
use tidescale_settings::{ConnectionSettings, RawSettings, connection_settings, decode};

/// A complete set of settings, one a line.
const COMPLETE: &str = "me=1
balancers=3
zone=z1
membership_mode=push
rules.must_ask_in=250
tariffs.cross_zone=0.25
classes.count=2
classes.0.name=search
classes.0.idempotency=retryable
classes.0.target=500.0
classes.0.value=1.0
classes.0.deadline=900
classes.1.name=pay
classes.1.idempotency=dedup
classes.1.key_scope=zone
classes.1.repeat_window=60000
classes.1.target=0.0015
classes.1.value=2.5
classes.1.deadline=1500.5
policy_limits.probes=true
policy_limits.may_cancel=0
policy_limits.second_copies=1
policy_limits.max_attempts=3.9
policy_limits.retry_after=true
policy_limits.max_retry_after=2000
policy_limits.connect_timeout=100
policy_limits.conn_idle=30000
rules.drain_grace=500.0
rules.cold_from=0.3
rules.cold=4000.0
rules.fall_multiple=2.0
rules.fall=1500.0
family_info.stage_cap=0.1,,1.0
family_info.allowance=2.0
family_info.exposure_window=4000.0
family_info.counted_by=each_class
family_info.guarded_stages=1
family_info.forward_only=-
family_info.gate_mode=automatic
family_info.min_dwell=1000.0
family_info.to_abort=2
family_info.api_rate=100.0
family_info.vote_life=5000.0
family_info.vote_wait=1000.0
stats.how=pull";

/// Paths and texts of the complete settings.
fn complete() -> impl Iterator<Item = (String, String)> {
    COMPLETE
        .lines()
        .filter_map(|line| line.split_once('='))
        .map(|(path, text)| (path.to_string(), text.to_string()))
}

/// The complete settings with one changed to `PATH=TEXT`, or without the one of which only the path
/// is given.
fn raw_settings_with(change: &str) -> RawSettings {
    let changed_path = change.split('=').next().unwrap_or_default();
    assert!(
        complete().any(|(path, _)| path == changed_path),
        "no such setting: {change}"
    );
    let replacement = change
        .split_once('=')
        .map(|(path, text)| (path.to_string(), text.to_string()));
    complete()
        .filter(|(path, _)| path != changed_path)
        .chain(replacement)
        .collect()
}

fn decode_with(change: &str) -> Settings {
    match decode(&raw_settings_with(change)) {
        Ok(settings) => settings,
        Err(error) => panic!("{change}: {error}"),
    }
}

fn decode_complete() -> Settings {
    match decode(&complete().collect()) {
        Ok(settings) => settings,
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn every_setting_reaches_its_field() {
    let settings = decode_complete();
    assert_eq!(settings.instance_index, 1);
    assert_eq!(settings.instance_count, 3);
    assert_eq!(settings.zone, "z1");
    assert!(!settings.poll_endpoints);
    assert_eq!(settings.max_poll_interval, Duration::MAX);
    assert_eq!(settings.cross_zone_price, 0.25);
    assert!(settings.health_checks);
    assert!(!settings.cancel_attempts);
    assert!(settings.hedging);
    assert_eq!(settings.max_attempts, 3);
    assert_eq!(settings.max_retry_after, Duration::from_secs(2));
    assert_eq!(settings.grace_period, Duration::from_millis(500));
    assert_eq!(settings.warm_up_start, 0.3);
    assert_eq!(settings.warm_up_time, Duration::from_secs(4));
    assert_eq!(settings.overload_multiple, 2.0);
    assert_eq!(settings.overload_window, Duration::from_millis(1500));
    assert_eq!(settings.stage_caps, [0.1, 1.0]);
    assert_eq!(settings.exposure_allowance, 2.0);
    assert_eq!(settings.exposure_window, Duration::from_secs(4));
    assert!(settings.exposure_by_route);
    assert_eq!(settings.guarded_stages, 1);
    assert!(!settings.monotonic_key_builds);
    assert!(settings.automatic_stages);
    assert_eq!(settings.min_stage_time, Duration::from_secs(1));
    assert_eq!(settings.rollback_votes, 2);
    assert_eq!(settings.votes_per_second, 100.0);
    assert_eq!(settings.vote_lifetime, Duration::from_secs(5));
    assert_eq!(settings.vote_timeout, Duration::from_secs(1));
}

#[test]
fn every_route_is_decoded_in_order() {
    let settings = decode_complete();
    let [search, pay] = settings.routes.as_slice() else {
        panic!("not two routes: {:?}", settings.routes);
    };
    assert_eq!(search.name, "search");
    assert_eq!(search.latency_objective, Duration::from_millis(500));
    assert_eq!(search.priority_weight, 1.0);
    assert_eq!(search.idempotency, Idempotency::Idempotent);
    assert_eq!(pay.name, "pay");
    // 1.5 us are rounded away from zero.
    assert_eq!(pay.latency_objective, Duration::from_micros(2));
    assert_eq!(pay.priority_weight, 2.5);
    let keyed = Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
        window: Duration::from_secs(60),
    };
    assert_eq!(pay.idempotency, keyed);
}

#[test]
fn each_word_has_its_meaning() {
    let polled = decode_with("membership_mode=ask");
    assert!(polled.poll_endpoints);
    assert_eq!(polled.max_poll_interval, Duration::from_millis(250));
    assert!(!decode_with("family_info.counted_by=all").exposure_by_route);
    assert!(!decode_with("family_info.gate_mode=first_voice").automatic_stages);
    assert!(!decode_with("family_info.gate_mode=by_count").automatic_stages);
    let without_retry_after = decode_with("policy_limits.retry_after=0");
    assert_eq!(without_retry_after.max_retry_after, Duration::ZERO);
    for (word, scope) in [("all", KeyScope::Fleet), ("cell", KeyScope::Cell)] {
        let settings = decode_with(&format!("classes.1.key_scope={word}"));
        let keyed = Idempotency::IdempotencyKey {
            scope,
            window: Duration::from_secs(60),
        };
        assert_eq!(settings.routes[1].idempotency, keyed, "{word}");
    }
    let not_idempotent = decode_with("classes.1.idempotency=fragile");
    assert_eq!(
        not_idempotent.routes[1].idempotency,
        Idempotency::NotIdempotent
    );
}

#[test]
fn an_instance_count_of_zero_counts_as_one() {
    let zero = [("me", "0"), ("balancers", "0")];
    let zero = zero.map(|(path, text)| (path.to_string(), text.to_string()));
    let settings = decode(&complete().chain(zero).collect());
    assert_eq!(settings.map(|settings| settings.instance_count), Ok(1));
}

#[test]
fn connections_are_decoded() {
    let mut wanted = ConnectionSettings {
        connect_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_secs(30),
        longest_deadline: Duration::from_micros(1_500_500),
        load_on_demand: true,
    };
    let decoded = connection_settings(&complete().collect());
    assert_eq!(decoded, Ok(wanted.clone()));
    wanted.load_on_demand = false;
    for change in ["stats.how=piggyback", "stats.how=silent"] {
        let decoded = connection_settings(&raw_settings_with(change));
        assert_eq!(decoded, Ok(wanted.clone()), "{change}");
    }
}

/// Checks the whole message for each change in a table of lines `CHANGE -> MESSAGE`.
fn check_messages<T>(table: &str, decode: impl Fn(&RawSettings) -> Result<T, String>) {
    for row in table.lines() {
        let Some((change, wanted)) = row.split_once(" -> ") else {
            panic!("not a row: {row}");
        };
        match decode(&raw_settings_with(change)) {
            Ok(_) => panic!("{change}: accepted"),
            Err(message) => assert_eq!(message, wanted, "{change}"),
        }
    }
}

#[test]
fn an_unusable_setting_is_named_word_for_word() {
    let table = "zone -> a setting is missing: zone
classes.1.name -> a setting is missing: classes.1.name
classes.count=many -> classes.count: not a number: many
classes.0.idempotency=maybe -> classes.0.idempotency: unknown kind maybe
classes.1.key_scope=rack -> classes.1.key_scope: unknown scope rack
classes.1.value=much -> classes.1.value: not a number: much
rules.fall=soon -> rules.fall: not a time: soon
rules.fall=-1 -> rules.fall: time out of range: -1
rules.fall=NaN -> rules.fall: time out of range: NaN
rules.fall=1e13 -> rules.fall: time out of range: 1e13
policy_limits.probes=yes -> policy_limits.probes: not a yes or no: yes
membership_mode=gossip -> membership_mode: unknown word: gossip
family_info.gate_mode=later -> family_info.gate_mode: unknown word: later
family_info.counted_by=tenant -> family_info.counted_by: unknown word: tenant
rules.cold_from=1.01 -> rules.cold_from: out of range: 1.01
rules.fall_multiple=1000000.5 -> rules.fall_multiple: out of range: 1000000.5
policy_limits.max_attempts=0.0 -> policy_limits.max_attempts: out of range: 0
family_info.allowance=-0.1 -> family_info.allowance: out of range: -0.1
me=3 -> me: out of range: 3
family_info.guarded_stages=-1 -> family_info.guarded_stages: not a number: -1
family_info.stage_cap=0.1,half -> not a number: half
family_info.stage_cap=0.1,1.5 -> family_info.stage_cap: out of range: 0.1,1.5";
    check_messages(table, |raw| decode(raw).map_err(|e| e.to_string()));
}

#[test]
fn an_unusable_connection_setting_is_named_word_for_word() {
    let table = "policy_limits.connect_timeout=0.0001 -> \
policy_limits.connect_timeout: zero: no connection could come up in time
policy_limits.conn_idle -> a setting is missing: policy_limits.conn_idle
classes.1.deadline=late -> classes.1.deadline: not a time: late
stats.how=mail -> stats.how: unknown word: mail";
    check_messages(table, |raw| {
        connection_settings(raw).map_err(|e| e.to_string())
    });
}

#[test]
fn of_several_unusable_settings_the_first_in_order_is_named() {
    // From the last to the first in the order of decoding.
    let in_reverse = [
        "family_info.vote_wait",
        "family_info.vote_life",
        "family_info.api_rate",
        "family_info.to_abort",
        "family_info.min_dwell",
        "family_info.gate_mode",
        "family_info.forward_only",
        "family_info.guarded_stages",
        "family_info.counted_by",
        "family_info.exposure_window",
        "family_info.allowance",
        "rules.fall",
        "rules.fall_multiple",
        "rules.cold",
        "rules.cold_from",
        "rules.drain_grace",
        "policy_limits.max_retry_after",
        "policy_limits.max_attempts",
        "policy_limits.second_copies",
        "policy_limits.may_cancel",
        "policy_limits.probes",
        "tariffs.cross_zone",
        "zone",
        "balancers",
        "me",
        "membership_mode",
        "family_info.stage_cap",
        "classes.1.value",
        "classes.1.target",
        "classes.1.name",
        "classes.1.repeat_window",
        "classes.1.key_scope",
        "classes.1.idempotency",
        "classes.0.value",
        "classes.0.idempotency",
    ];
    let mut given: Vec<(String, String)> = complete().collect();
    for removed in in_reverse {
        given.retain(|(path, _)| path != removed);
        let message = decode(&given.iter().cloned().collect()).map_err(|e| e.to_string());
        let wanted = format!("a setting is missing: {removed}");
        assert_eq!(message.err(), Some(wanted));
    }
}
