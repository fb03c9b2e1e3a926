//! Decodes the settings of a proxy instance from pairs of a dotted path and a text. The pairs come
//! from the input lines of `tidescale-simhost`, or from a configuration file whose nested keys are
//! flattened to dotted paths.
//!
//! [`RawSettings`] holds the texts by path. [`decode_policy_settings`] converts them to the
//! policy's [`Settings`](tidescale_policy::settings::Settings), [`decode_connection_settings`] to
//! the settings of the proxy's connections. Units and ranges are checked here and nowhere else.
//! This crate does no I/O.
//!
//! ```
//! use std::time::Duration;
//! use tidescale_settings::RawSettings;
//!
//! let pair = ("rules.cold".to_string(), "4900.0".to_string());
//! let raw: RawSettings = [pair].into_iter().collect();
//! assert_eq!(raw.duration("rules.cold"), Ok(Duration::from_micros(4_900_000)));
//!
//! let error = raw.duration("rules.fall").unwrap_err();
//! assert_eq!(error.to_string(), "a setting is missing: rules.fall");
//! ```

mod connections;
mod decode;
mod error;
mod raw;
mod routes;
mod values;

pub use connections::{ConnectionSettings, decode_connection_settings};
pub use decode::decode_policy_settings;
pub use error::SettingsError;
pub use raw::RawSettings;
pub use values::{ParseNumberError, ValueError, parse_duration, parse_flag, parse_number};
