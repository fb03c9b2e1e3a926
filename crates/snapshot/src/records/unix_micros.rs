//! A [`Timestamp`] as the file carries it: a number of microseconds since the Unix epoch. For `#[serde(with)]`.

use serde::{Deserialize, Deserializer, Serializer};
use tidescale_policy::types::Timestamp;

/// Writes the number of microseconds.
pub(super) fn serialize<S: Serializer>(time: &Timestamp, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(time.as_micros())
}

/// Reads the number of microseconds.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Timestamp, D::Error> {
    u64::deserialize(from).map(Timestamp::from_micros)
}
