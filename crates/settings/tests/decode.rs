//! Decoding of settings: the decoded values, and the error for a missing or invalid setting.

use std::fmt::Debug;
use std::time::Duration;

use tidescale_policy::settings::{Idempotency, KeyScope, Settings};
use tidescale_settings::{
    ConnectionSettings, RawSettings, SettingsError, decode_connection_settings,
    decode_policy_settings,
};

/// A valid text for every setting, one `PATH=TEXT` on each line.
const COMPLETE_SETTINGS: &str = "me=1
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

/// Paths and texts of [`COMPLETE_SETTINGS`].
fn complete_settings() -> impl Iterator<Item = (String, String)> {
    COMPLETE_SETTINGS
        .lines()
        .filter_map(|line| line.split_once('='))
        .map(|(path, text)| (path.to_string(), text.to_string()))
}

/// [`COMPLETE_SETTINGS`] with one setting changed to `PATH=TEXT`, or without this setting if
/// `change` is only a path.
fn raw_settings_with(change: &str) -> RawSettings {
    let changed_path = change.split('=').next().unwrap_or_default();
    assert!(
        complete_settings().any(|(path, _)| path == changed_path),
        "not in COMPLETE_SETTINGS: {change}"
    );
    let replacement = change
        .split_once('=')
        .map(|(path, text)| (path.to_string(), text.to_string()));
    complete_settings()
        .filter(|(path, _)| path != changed_path)
        .chain(replacement)
        .collect()
}

fn decode_with(change: &str) -> Settings {
    match decode_policy_settings(&raw_settings_with(change)) {
        Ok(settings) => settings,
        Err(error) => panic!("{change}: {error}"),
    }
}

fn decode_complete() -> Settings {
    match decode_policy_settings(&complete_settings().collect()) {
        Ok(settings) => settings,
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn complete_settings_are_decoded_to_their_fields() {
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
fn routes_are_decoded_in_order() {
    let settings = decode_complete();

    let [search, pay] = settings.routes.as_slice() else {
        panic!("expected two routes, got {:?}", settings.routes);
    };
    assert_eq!(search.name, "search");
    assert_eq!(search.latency_objective, Duration::from_millis(500));
    assert_eq!(search.client_deadline, Duration::from_millis(900));
    assert_eq!(search.priority_weight, 1.0);
    assert_eq!(search.idempotency, Idempotency::Idempotent);
    assert_eq!(pay.name, "pay");
    // 0.0015 ms are 1.5 µs; halves are rounded away from zero.
    assert_eq!(pay.latency_objective, Duration::from_micros(2));
    assert_eq!(pay.client_deadline, Duration::from_micros(1_500_500));
    assert_eq!(pay.priority_weight, 2.5);
    assert_eq!(pay.idempotency, pay_idempotency(KeyScope::Zone));
}

/// Idempotency of the route `pay` in [`COMPLETE_SETTINGS`], but with this scope.
fn pay_idempotency(scope: KeyScope) -> Idempotency {
    Idempotency::IdempotencyKey {
        scope,
        window: Duration::from_secs(60),
    }
}

#[test]
fn endpoint_list_in_ask_mode_is_polled() {
    let settings = decode_with("membership_mode=ask");

    assert!(settings.poll_endpoints);
    assert_eq!(settings.max_poll_interval, Duration::from_millis(250));
}

#[test]
fn exposure_counted_by_all_is_not_counted_by_route() {
    let settings = decode_with("family_info.counted_by=all");

    assert!(!settings.exposure_by_route);
}

#[test]
fn stages_advance_automatically_only_in_automatic_mode() {
    for change in [
        "family_info.gate_mode=first_voice",
        "family_info.gate_mode=by_count",
    ] {
        let settings = decode_with(change);

        assert!(!settings.automatic_stages, "{change}");
    }
}

#[test]
fn max_retry_after_is_zero_where_retry_after_is_off() {
    let settings = decode_with("policy_limits.retry_after=0");

    assert_eq!(settings.max_retry_after, Duration::ZERO);
}

#[test]
fn key_scope_is_decoded_from_its_word() {
    for (word, scope) in [("all", KeyScope::Fleet), ("cell", KeyScope::Cell)] {
        let settings = decode_with(&format!("classes.1.key_scope={word}"));

        let idempotency = settings.routes[1].idempotency;
        assert_eq!(idempotency, pay_idempotency(scope), "{word}");
    }
}

#[test]
fn fragile_route_is_not_idempotent() {
    let settings = decode_with("classes.1.idempotency=fragile");

    let idempotency = settings.routes[1].idempotency;
    assert_eq!(idempotency, Idempotency::NotIdempotent);
}

#[test]
fn instance_count_of_zero_is_decoded_as_one() {
    let zero_count = [("me", "0"), ("balancers", "0")];
    let zero_count = zero_count.map(|(path, text)| (path.to_string(), text.to_string()));

    let settings = decode_policy_settings(&complete_settings().chain(zero_count).collect());

    assert_eq!(settings.map(|settings| settings.instance_count), Ok(1));
}

/// The connection settings that [`COMPLETE_SETTINGS`] are decoded to.
const COMPLETE_CONNECTION_SETTINGS: ConnectionSettings = ConnectionSettings {
    connect_timeout: Duration::from_millis(100),
    idle_timeout: Duration::from_secs(30),
    longest_deadline: Duration::from_micros(1_500_500),
    request_load_reports: true,
};

#[test]
fn connection_settings_are_decoded_to_their_fields() {
    let decoded = decode_connection_settings(&complete_settings().collect());

    assert_eq!(decoded, Ok(COMPLETE_CONNECTION_SETTINGS));
}

#[test]
fn load_reports_are_requested_only_in_pull_mode() {
    let expected = ConnectionSettings {
        request_load_reports: false,
        ..COMPLETE_CONNECTION_SETTINGS
    };
    for change in ["stats.how=piggyback", "stats.how=silent"] {
        let decoded = decode_connection_settings(&raw_settings_with(change));

        assert_eq!(decoded, Ok(expected.clone()), "{change}");
    }
}

/// A change that removes a setting or makes it invalid, and the complete error message.
struct UnusableSetting {
    change: &'static str,
    message: &'static str,
}

const fn unusable(change: &'static str, message: &'static str) -> UnusableSetting {
    UnusableSetting { change, message }
}

fn assert_error_messages<Decoded: Debug>(
    cases: &[UnusableSetting],
    decode: impl Fn(&RawSettings) -> Result<Decoded, SettingsError>,
) {
    for UnusableSetting { change, message } in cases {
        let error = decode(&raw_settings_with(change)).expect_err(change);

        assert_eq!(error.to_string(), *message, "{change}");
    }
}

const UNUSABLE_SETTINGS: &[UnusableSetting] = &[
    unusable("zone", "a setting is missing: zone"),
    unusable("classes.1.name", "a setting is missing: classes.1.name"),
    unusable("classes.count=many", "classes.count: not a number: many"),
    unusable(
        "classes.0.idempotency=maybe",
        "classes.0.idempotency: unknown kind maybe",
    ),
    unusable(
        "classes.1.key_scope=rack",
        "classes.1.key_scope: unknown scope rack",
    ),
    unusable(
        "classes.1.value=much",
        "classes.1.value: not a number: much",
    ),
    unusable("rules.fall=soon", "rules.fall: not a time: soon"),
    unusable("rules.fall=-1", "rules.fall: time out of range: -1"),
    unusable("rules.fall=NaN", "rules.fall: time out of range: NaN"),
    unusable("rules.fall=1e13", "rules.fall: time out of range: 1e13"),
    unusable(
        "policy_limits.probes=yes",
        "policy_limits.probes: not a yes or no: yes",
    ),
    unusable(
        "membership_mode=gossip",
        "membership_mode: unknown word: gossip",
    ),
    unusable(
        "family_info.gate_mode=later",
        "family_info.gate_mode: unknown word: later",
    ),
    unusable(
        "family_info.counted_by=tenant",
        "family_info.counted_by: unknown word: tenant",
    ),
    unusable(
        "rules.cold_from=1.01",
        "rules.cold_from: out of range: 1.01",
    ),
    unusable(
        "rules.fall_multiple=1000000.5",
        "rules.fall_multiple: out of range: 1000000.5",
    ),
    unusable(
        "policy_limits.max_attempts=0.0",
        "policy_limits.max_attempts: out of range: 0",
    ),
    unusable(
        "family_info.allowance=-0.1",
        "family_info.allowance: out of range: -0.1",
    ),
    unusable("me=3", "me: out of range: 3"),
    unusable(
        "family_info.guarded_stages=-1",
        "family_info.guarded_stages: not a number: -1",
    ),
    unusable("family_info.stage_cap=0.1,half", "not a number: half"),
    unusable(
        "family_info.stage_cap=0.1,1.5",
        "family_info.stage_cap: out of range: 0.1,1.5",
    ),
];

#[test]
fn unusable_setting_is_reported_with_exact_message() {
    assert_error_messages(UNUSABLE_SETTINGS, decode_policy_settings);
}

const UNUSABLE_CONNECTION_SETTINGS: &[UnusableSetting] = &[
    unusable(
        "policy_limits.connect_timeout=0.0001",
        "policy_limits.connect_timeout: zero: no connection could come up in time",
    ),
    unusable(
        "policy_limits.conn_idle",
        "a setting is missing: policy_limits.conn_idle",
    ),
    unusable(
        "classes.1.deadline=late",
        "classes.1.deadline: not a time: late",
    ),
    unusable("stats.how=mail", "stats.how: unknown word: mail"),
];

#[test]
fn unusable_connection_setting_is_reported_with_exact_message() {
    assert_error_messages(UNUSABLE_CONNECTION_SETTINGS, decode_connection_settings);
}

/// Paths of required settings, from the one that is decoded last to the one that is decoded first.
const PATHS_IN_REVERSE_DECODING_ORDER: &[&str] = &[
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
    "classes.1.deadline",
    "classes.1.target",
    "classes.1.name",
    "classes.1.repeat_window",
    "classes.1.key_scope",
    "classes.1.idempotency",
    "classes.0.value",
    "classes.0.idempotency",
];

#[test]
fn first_missing_setting_in_the_order_of_decoding_is_reported() {
    let mut remaining: Vec<(String, String)> = complete_settings().collect();
    for removed in PATHS_IN_REVERSE_DECODING_ORDER {
        remaining.retain(|(path, _)| path != removed);

        let error =
            decode_policy_settings(&remaining.iter().cloned().collect()).expect_err(removed);

        let expected = SettingsError::Missing {
            path: removed.to_string(),
        };
        assert_eq!(error, expected);
        let message = format!("a setting is missing: {removed}");
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn poll_interval_is_required_after_the_zone_in_ask_mode() {
    let without_interval = |removed: &[&str]| -> RawSettings {
        complete_settings()
            .chain([("membership_mode".to_string(), "ask".to_string())])
            .filter(|(path, _)| !removed.contains(&path.as_str()))
            .collect()
    };

    let interval_missing = decode_policy_settings(&without_interval(&["rules.must_ask_in"]));
    let both_missing = decode_policy_settings(&without_interval(&["zone", "rules.must_ask_in"]));

    let missing = |path: &str| {
        Err(SettingsError::Missing {
            path: path.to_string(),
        })
    };
    assert_eq!(interval_missing, missing("rules.must_ask_in"));
    assert_eq!(both_missing, missing("zone"));
}
