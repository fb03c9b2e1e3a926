//! Parsing of the configuration file.

use tidescale_proxy::config::{self, Config};

const VALID: &str = include_str!("../config.json");

/// The configuration that the proxy's tests share.
pub fn valid_config() -> Config {
    config::parse(VALID).ok().unwrap()
}

/// The text of the error for an invalid configuration.
fn error_text(text: &str) -> String {
    config::parse(text).err().unwrap().to_string()
}

#[test]
fn valid_configuration_is_accepted() {
    assert!(config::parse(VALID).is_ok());
}

#[test]
fn empty_configuration_is_rejected() {
    let error = error_text("");
    assert!(error.contains("EOF"), "{error}");
}

#[test]
fn error_for_a_missing_field_names_it() {
    let cases = [
        ("\"listen\":", "missing field `listen`"),
        (
            "\"rules\":",
            "settings: a setting is missing: rules.drain_grace",
        ),
        (
            "\"conn_idle\":",
            "settings: a setting is missing: policy_limits.conn_idle",
        ),
        (
            "\"idempotency\":",
            "settings: a setting is missing: classes.0.idempotency",
        ),
    ];
    for (field, expected) in cases {
        let error = error_text(&VALID.replacen(field, "\"x\":", 1));
        assert!(error.contains(expected), "{field}: {error}");
    }
}

#[test]
fn configuration_with_an_invalid_value_is_rejected() {
    let cases = [
        ("127.0.0.1:6432", "here"),
        ("\"8c1f30d27a5be964\"", "\"seed\""),
        ("\"retryable\"", "\"odd\""),
    ];
    for (valid, invalid) in cases {
        let text = VALID.replacen(valid, invalid, 1);
        assert!(config::parse(&text).is_err(), "{invalid}");
    }
}
